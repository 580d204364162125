package org.fuchsiaspindle.daemon.entry.batch;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.batch.ActiveJob;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.JobProgressEstimator;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.SegmentPlan;
import org.fuchsiaspindle.platform.table.Row;

/** This entry's view of an open job. Guarded by the worker's lock. */
final class JobState {

    private static final long MIN_SCAN_DELAY_NANOS = 1_000_000_000L;

    /** A scan also observes leases; two observations must be less than 20 s apart. */
    private static final long MAX_SCAN_DELAY_NANOS = 10_000_000_000L;

    private final BitSet done = new BitSet();
    private final BitSet unclaimed = new BitSet();
    private final Map<Integer, Row> abandoned = new HashMap<>();
    private final Set<Integer> pendingClaims = new HashSet<>();
    private final JobProgressEstimator progressEstimator = new JobProgressEstimator();
    private ActiveJob active;
    private JobRecord record;
    private SegmentPlan plan;
    private JobRecord.Outcome outcome = JobRecord.Outcome.NONE;
    private int itemsBeingClaimed;
    private boolean scanning;
    private boolean changingStatus;
    private boolean stopped;
    private boolean atRisk;
    private long nextScanNanos;
    private long lastScanNanos;
    private long scanDelayNanos = MIN_SCAN_DELAY_NANOS;
    private long nextStatusChangeNanos;

    JobState(ActiveJob active, long nowNanos) {
        this.active = active;
        this.nextScanNanos = nowNanos;
        this.lastScanNanos = nowNanos;
        this.nextStatusChangeNanos = nowNanos;
    }

    ActiveJob active() {
        return active;
    }

    void setActive(ActiveJob value) {
        active = value;
    }

    /** Returns the job's row, null before the first scan. */
    JobRecord record() {
        return record;
    }

    SegmentPlan plan() {
        return plan;
    }

    void setRecord(JobRecord value) {
        record = value;
        plan = value.source().plan();
    }

    /** Returns true if items may be sent: the job is open and no cancellation is known. */
    boolean isDispatchable() {
        return !stopped && active.status().isDispatchable();
    }

    /** Stops dispatch because of a cancellation that the job directory may not show yet. */
    void stop() {
        stopped = true;
    }

    boolean isStopped() {
        return stopped;
    }

    int remaining() {
        return active.items() - outcome.completed() - outcome.failed();
    }

    JobRecord.Outcome outcome() {
        return outcome;
    }

    boolean isDone() {
        return plan != null && done.cardinality() == plan.segments();
    }

    /** Returns true if a segment is known that this entry could claim. */
    boolean hasClaimable() {
        if (plan == null) {
            return false;
        }
        for (int number : abandoned.keySet()) {
            if (!pendingClaims.contains(number)) {
                return true;
            }
        }
        for (int n = unclaimed.nextSetBit(0); n >= 0; n = unclaimed.nextSetBit(n + 1)) {
            if (!pendingClaims.contains(n)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of the first segment that is not known to be done. */
    int firstNotDone() {
        return done.nextClearBit(0);
    }

    void segmentDone(int number, JobRecord.Outcome segmentOutcome) {
        if (!done.get(number)) {
            done.set(number);
            outcome = outcome.plus(segmentOutcome);
        }
        unclaimed.clear(number);
        abandoned.remove(number);
    }

    void segmentClaimed(int number) {
        unclaimed.clear(number);
        abandoned.remove(number);
    }

    /** Replaces the known state of the segments that are not done. */
    void applyScan(BitSet newUnclaimed, List<Row> newAbandoned, long nowNanos) {
        unclaimed.clear();
        unclaimed.or(newUnclaimed);
        abandoned.clear();
        for (Row row : newAbandoned) {
            abandoned.put(BatchKeys.segmentNumber(row.key()), row);
        }
        progressEstimator.observe(nowNanos, outcome.completed() + outcome.failed());
    }

    /**
     * Chooses a claimable segment, abandoned ones first. Among unclaimed segments the search starts
     * at a random number, so that entries rarely claim the same one.
     */
    OptionalInt pickClaimable(RandomGenerator random) {
        for (int number : abandoned.keySet()) {
            if (!pendingClaims.contains(number)) {
                return OptionalInt.of(number);
            }
        }
        if (unclaimed.isEmpty()) {
            return OptionalInt.empty();
        }
        int start = random.nextInt(plan.segments());
        for (int i = 0, number = start; i < plan.segments(); i++) {
            number = unclaimed.nextSetBit(number);
            if (number < 0) {
                number = unclaimed.nextSetBit(0);
            }
            if (!pendingClaims.contains(number)) {
                return OptionalInt.of(number);
            }
            number = (number + 1) % plan.segments();
        }
        return OptionalInt.empty();
    }

    /** Returns the row of an abandoned segment, null if the segment is not abandoned. */
    Row abandonedRow(int number) {
        return abandoned.get(number);
    }

    void beginClaim(int number) {
        if (pendingClaims.add(number)) {
            itemsBeingClaimed += plan.segment(number).items();
        }
    }

    void endClaim(int number) {
        if (pendingClaims.remove(number)) {
            itemsBeingClaimed -= plan.segment(number).items();
        }
    }

    /** Returns the number of items in the segments that are being claimed. */
    int itemsBeingClaimed() {
        return itemsBeingClaimed;
    }

    boolean isScanDue(long nowNanos) {
        return !scanning && nowNanos - nextScanNanos >= 0;
    }

    boolean isScanning() {
        return scanning;
    }

    long lastScanNanos() {
        return lastScanNanos;
    }

    void beginScan(long nowNanos) {
        scanning = true;
        lastScanNanos = nowNanos;
    }

    void endScan(long nowNanos, boolean foundOpen) {
        scanning = false;
        scanDelayNanos =
                foundOpen
                        ? MIN_SCAN_DELAY_NANOS
                        : Math.min(scanDelayNanos * 2, MAX_SCAN_DELAY_NANOS);
        nextScanNanos = nowNanos + scanDelayNanos;
    }

    /**
     * Makes a scan due as soon as the minimum delay allows, because the scan may find the job done.
     */
    void requestScan(long nowNanos) {
        long earliest = lastScanNanos + MIN_SCAN_DELAY_NANOS;
        nextScanNanos = earliest - nowNanos > 0 ? earliest : nowNanos;
    }

    boolean mayChangeStatus(long nowNanos) {
        return !changingStatus && nowNanos - nextStatusChangeNanos >= 0;
    }

    void beginStatusChange() {
        changingStatus = true;
    }

    /** Marks the job as ended; the job directory omits it after the next refresh. */
    void markEnded() {
        stopped = true;
    }

    void endStatusChange(long nowNanos) {
        changingStatus = false;
        nextStatusChangeNanos = nowNanos + MIN_SCAN_DELAY_NANOS;
    }

    /** Updates the deadline risk; returns true if the job has just become at risk. */
    boolean updateRisk(long nowMs, long nowNanos) {
        boolean wasAtRisk = atRisk;
        atRisk = progressEstimator.isAtRisk(remaining(), active.deadlineMs() - nowMs, nowNanos);
        return atRisk && !wasAtRisk;
    }

    boolean isAtRisk() {
        return atRisk;
    }

    double slackSeconds(long nowMs, long nowNanos) {
        return progressEstimator.slackSeconds(remaining(), active.deadlineMs() - nowMs, nowNanos);
    }
}
