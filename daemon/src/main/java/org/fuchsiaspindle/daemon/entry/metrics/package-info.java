/** Metrics of an entry. */
package org.fuchsiaspindle.daemon.entry.metrics;
