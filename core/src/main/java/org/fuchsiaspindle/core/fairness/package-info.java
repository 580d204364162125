/** Fair sharing of scarce capacity between the customers or workspaces that compete for it. */
package org.fuchsiaspindle.core.fairness;
