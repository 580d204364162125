package org.fuchsiaspindle.daemon.agent;

/**
 * A unit of work that is queued for the target or runs on it. Confined to the agent's event loop.
 */
abstract sealed class Work permits OnlineWork, BatchWork {

    private final long id;
    private final EntryPeer peer;
    private TargetRun run;
    private int runs;

    Work(long id, EntryPeer peer) {
        this.id = id;
        this.peer = peer;
    }

    /** Returns the identifier in the scheduler. */
    final long id() {
        return id;
    }

    /** Returns the entry that the work came from. */
    final EntryPeer peer() {
        return peer;
    }

    /** Returns the current run, or null while the work is queued. */
    final TargetRun run() {
        return run;
    }

    final void setRun(TargetRun value) {
        run = value;
    }

    /** Returns a new run number, so that no two runs share an identifier at the target. */
    final int nextRun() {
        return ++runs;
    }

    /** Returns the estimated memory use of the work in bytes; constant. */
    abstract long bytes();
}
