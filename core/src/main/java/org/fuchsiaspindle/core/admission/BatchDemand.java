package org.fuchsiaspindle.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Computes how many batch items an agent requests, and divides the number between entries.
 *
 * <p>Not thread-safe.
 */
public final class BatchDemand {

    /** An online burst that is shorter than this does not reduce the demand for batch items. */
    private static final long HOLD_NANOS = 5_000_000_000L;

    /**
     * Items queued at the agent as a fraction of the capacity, so that a freed slot is refilled
     * from memory.
     */
    private static final double RESERVE_FRACTION = 1.0;

    private static final int MIN_RESERVE = 4;

    /** Largest share of an entry that has no outstanding items at the agent. */
    private static final int MAX_INITIAL_SHARE = 4;

    private int recentCapacity;
    private long recentSinceNanos;

    private BatchDemand() {}

    /** Creates an instance without history. */
    public static BatchDemand create() {
        return new BatchDemand();
    }

    /**
     * Returns the total demand: the recent capacity for batch streams plus a reserve that is queued
     * at the agent.
     *
     * @param load the state of the scheduler
     * @param nowNanos the monotonic time
     */
    public int total(AdmissionLoad load, long nowNanos) {
        int online = load.onlineRunning() + load.onlineWaiting();
        int capacity = Math.max(0, load.limit() - load.headroom() - online);
        if (capacity >= recentCapacity || nowNanos - recentSinceNanos > HOLD_NANOS) {
            recentCapacity = capacity;
            recentSinceNanos = nowNanos;
        }
        return recentCapacity + Math.max(MIN_RESERVE, (int) (recentCapacity * RESERVE_FRACTION));
    }

    /**
     * Divides a total between entries.
     *
     * <p>Entries that have items at the agent share the total evenly; the others get a small
     * initial share, so that an entry with new items can start. The sum exceeds the total by at
     * most the initial shares.
     *
     * @param total the total, not negative
     * @param outstanding items of each entry that are at the agent
     * @return the share of each entry, in the same order
     */
    public static int[] divide(int total, int[] outstanding) {
        checkArgument(total >= 0, "negative total: %s", total);
        int[] shares = new int[outstanding.length];
        if (total == 0 || outstanding.length == 0) {
            return shares;
        }
        int active = 0;
        for (int count : outstanding) {
            if (count > 0) {
                active++;
            }
        }
        int initial = Math.clamp(total / outstanding.length, 1, MAX_INITIAL_SHARE);
        int share = active == 0 ? initial : Math.max(initial, total / active);
        for (int i = 0; i < shares.length; i++) {
            shares[i] = outstanding[i] > 0 ? share : initial;
        }
        return shares;
    }
}
