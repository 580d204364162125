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

/** An open job as this entry sees it. Guarded by the worker's lock. */
final class JobState {

    private static final long FIRST_SCAN_DELAY_NANOS = 1_000_000_000L;

    /** Short enough for lease observations, which must not have gaps of 20 s. */
    private static final long MAX_SCAN_DELAY_NANOS = 10_000_000_000L;

    private final BitSet done = new BitSet();
    private final BitSet free = new BitSet();
    private final Map<Integer, Row> abandoned = new HashMap<>();
    private final Set<Integer> busy = new HashSet<>();
    private final JobProgressEstimator pace = new JobProgressEstimator();
    private ActiveJob active;
    private JobRecord record;
    private SegmentPlan plan;
    private JobRecord.Outcome outcome = JobRecord.Outcome.NONE;
    private int busyItems;
    private boolean scanning;
    private boolean ending;
    private boolean stopped;
    private boolean atRisk;
    private long nextScanNanos;
    private long lastScanNanos;
    private long scanDelayNanos = FIRST_SCAN_DELAY_NANOS;
    private long retryNanos;

    JobState(ActiveJob active, long nowNanos) {
        this.active = active;
        this.nextScanNanos = nowNanos;
        this.lastScanNanos = nowNanos;
        this.retryNanos = nowNanos;
    }

    ActiveJob active() {
        return active;
    }

    void setActive(ActiveJob value) {
        active = value;
    }

    /** Returns the job's row, null until the first scan. */
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

    /** Returns true if items may be sent: the job is open and no cancel is known. */
    boolean isDispatchable() {
        return !stopped && active.status().isDispatchable();
    }

    /** Stops dispatch because of a cancel that the directory may not show yet. */
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

    /** Returns true if a segment is known that this entry could take. */
    boolean hasOpen() {
        if (plan == null) {
            return false;
        }
        for (int number : abandoned.keySet()) {
            if (!busy.contains(number)) {
                return true;
            }
        }
        for (int n = free.nextSetBit(0); n >= 0; n = free.nextSetBit(n + 1)) {
            if (!busy.contains(n)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the first segment that is not known to be done. */
    int firstOpen() {
        return done.nextClearBit(0);
    }

    void segmentDone(int number, JobRecord.Outcome sums) {
        if (!done.get(number)) {
            done.set(number);
            outcome = outcome.plus(sums);
        }
        free.clear(number);
        abandoned.remove(number);
    }

    void segmentTaken(int number) {
        free.clear(number);
        abandoned.remove(number);
    }

    /** Replaces what is known of the segments that are not done. */
    void scanned(BitSet newFree, List<Row> newAbandoned, long nowNanos) {
        free.clear();
        free.or(newFree);
        abandoned.clear();
        for (Row row : newAbandoned) {
            abandoned.put(BatchKeys.segmentNumber(row.key()), row);
        }
        pace.observe(nowNanos, outcome.completed() + outcome.failed());
    }

    /** Chooses an open segment, starting at a random one so that entries rarely collide. */
    OptionalInt pickOpen(RandomGenerator random) {
        for (int number : abandoned.keySet()) {
            if (!busy.contains(number)) {
                return OptionalInt.of(number);
            }
        }
        if (free.isEmpty()) {
            return OptionalInt.empty();
        }
        int start = random.nextInt(plan.segments());
        for (int i = 0, number = start; i < plan.segments(); i++) {
            number = free.nextSetBit(number);
            if (number < 0) {
                number = free.nextSetBit(0);
            }
            if (!busy.contains(number)) {
                return OptionalInt.of(number);
            }
            number = (number + 1) % plan.segments();
        }
        return OptionalInt.empty();
    }

    /** Returns the row of a segment whose holder is gone, null if it has no row. */
    Row abandonedRow(int number) {
        return abandoned.get(number);
    }

    void beginClaim(int number) {
        if (busy.add(number)) {
            busyItems += plan.segment(number).items();
        }
    }

    void endClaim(int number) {
        if (busy.remove(number)) {
            busyItems -= plan.segment(number).items();
        }
    }

    /** Returns the number of items of the claims that are under way. */
    int busyItems() {
        return busyItems;
    }

    boolean mayScan(long nowNanos) {
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
                        ? FIRST_SCAN_DELAY_NANOS
                        : Math.min(scanDelayNanos * 2, MAX_SCAN_DELAY_NANOS);
        nextScanNanos = nowNanos + scanDelayNanos;
    }

    /** Asks for a scan soon, because it may find the job done. */
    void scanSoon(long nowNanos) {
        long earliest = lastScanNanos + FIRST_SCAN_DELAY_NANOS;
        nextScanNanos = earliest - nowNanos > 0 ? earliest : nowNanos;
    }

    boolean mayEnd(long nowNanos) {
        return !ending && nowNanos - retryNanos >= 0;
    }

    void beginEnd() {
        ending = true;
    }

    /** Notes that the job has ended; the directory drops it with its next refresh. */
    void ended() {
        stopped = true;
    }

    void endEnd(long nowNanos) {
        ending = false;
        retryNanos = nowNanos + FIRST_SCAN_DELAY_NANOS;
    }

    /** Judges the deadline; returns true if the job has just become at risk. */
    boolean judgeRisk(long nowMs, long nowNanos) {
        boolean was = atRisk;
        atRisk = pace.isAtRisk(remaining(), active.deadlineMs() - nowMs, nowNanos);
        return atRisk && !was;
    }

    boolean isAtRisk() {
        return atRisk;
    }

    double slackSeconds(long nowMs, long nowNanos) {
        return pace.slackSeconds(remaining(), active.deadlineMs() - nowMs, nowNanos);
    }
}
