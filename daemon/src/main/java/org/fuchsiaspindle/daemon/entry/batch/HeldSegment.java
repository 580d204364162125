package org.fuchsiaspindle.daemon.entry.batch;

import org.fuchsiaspindle.core.batch.SegmentRecord;
import org.fuchsiaspindle.core.batch.SegmentWork;

/** A segment leased by this entry. Guarded by the worker's lock. */
final class HeldSegment {

    private static final long RETRY_DELAY_NANOS = 1_000_000_000L;

    private final SegmentKey key;
    private final int items;
    private SegmentRecord record;
    private long rowVersion;
    private SegmentWork work;
    private SegmentStore.Write pendingWrite;
    private int pendingSuspectChanges;
    private boolean callRunning;
    private long retryNanos;

    /**
     * Creates a held segment.
     *
     * @param items number of items in the segment
     * @param record content of its row as last read or written
     * @param rowVersion the row's version, 0 if there is no row yet
     */
    HeldSegment(SegmentKey key, int items, SegmentRecord record, long rowVersion) {
        this.key = key;
        this.items = items;
        this.record = record;
        this.rowVersion = rowVersion;
    }

    SegmentKey key() {
        return key;
    }

    SegmentRecord record() {
        return record;
    }

    /** Returns the state of the items, null until the input lines have been read. */
    SegmentWork work() {
        return work;
    }

    void setWork(SegmentWork value) {
        work = value;
    }

    long epoch() {
        return record.epoch();
    }

    /** Returns the number of items that are not finished. */
    int openItems() {
        return work == null ? items : work.openItems();
    }

    boolean needsLines() {
        return work == null;
    }

    /** Returns true if the segment row must be written. */
    boolean needsWrite() {
        return work != null && (work.isComplete() || work.hasUnsavedSuspects());
    }

    /** Returns true if a call for this segment may be made now. */
    boolean mayCall(long nowNanos) {
        return !callRunning && nowNanos - retryNanos >= 0;
    }

    void beginCall(long nowNanos) {
        callRunning = true;
        retryNanos = nowNanos;
    }

    void endCall() {
        callRunning = false;
    }

    void endFailedCall(long nowNanos) {
        callRunning = false;
        retryNanos = nowNanos + RETRY_DELAY_NANOS;
    }

    /**
     * Returns the write that is due. A write whose outcome is unknown is returned again unchanged,
     * because only its nonce shows whether it took effect.
     */
    SegmentStore.Write nextWrite(SegmentStore store) {
        if (pendingWrite == null) {
            pendingSuspectChanges = work.suspectChanges();
            pendingWrite =
                    work.isComplete()
                            ? store.done(key, rowVersion, record, work)
                            : store.suspects(key, rowVersion, record, work);
        }
        return pendingWrite;
    }

    void writeSucceeded(SegmentStore.Write write, long version) {
        pendingWrite = null;
        record = write.record();
        rowVersion = version;
        work.suspectsSaved(pendingSuspectChanges);
    }
}
