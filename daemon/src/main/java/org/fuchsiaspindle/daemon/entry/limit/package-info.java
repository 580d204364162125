/** Enforces the limits of a customer across all entries. */
package org.fuchsiaspindle.daemon.entry.limit;
