package org.fuchsiaspindle.daemon.entry.batch;

/**
 * Reports whether other entries have detected an outage of the table. Thread-safe; never blocks.
 */
@FunctionalInterface
public interface TableOutage {

    /**
     * Returns true if at least one other entry is connected and at least half of the connected ones
     * reported, at most 2.5 s ago, that they cannot reach the table.
     */
    boolean isReportedByPeers();
}
