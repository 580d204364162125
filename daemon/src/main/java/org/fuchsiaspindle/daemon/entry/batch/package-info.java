/** Batch jobs at the entry: files, jobs, segment leases, dispatch to agents and results. */
package org.fuchsiaspindle.daemon.entry.batch;
