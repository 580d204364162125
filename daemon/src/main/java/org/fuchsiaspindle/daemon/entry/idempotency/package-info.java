/** Runs calls with an idempotency key at most once across all entries. */
package org.fuchsiaspindle.daemon.entry.idempotency;
