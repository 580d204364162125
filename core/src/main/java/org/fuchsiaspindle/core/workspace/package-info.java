/**
 * Workspaces, which hold the keys of callers, and what a caller may do with its key.
 *
 * <p>A configuration without workspaces accepts every caller.
 */
package org.fuchsiaspindle.core.workspace;
