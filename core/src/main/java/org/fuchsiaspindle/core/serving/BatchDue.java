package org.fuchsiaspindle.core.serving;

import java.time.Duration;

/**
 * The due times by which batch items are ordered, on the store's clock in milliseconds. Pure
 * functions; thread-safe.
 */
public final class BatchDue {

    /**
     * Added to the due time of an item that can no longer finish on time, so that it sorts after
     * all items that still can: a late result is worth only a fraction of its value.
     */
    private static final long LATE_PENALTY_MILLIS = Duration.ofDays(1000).toMillis();

    private BatchDue() {}

    /**
     * Returns the due time by which an item is ordered, in milliseconds. An item that would finish
     * late gets a due time after those of all items that can finish on time.
     *
     * @param dueMillis when its result is due, in milliseconds
     * @param finishMillis when it is expected to finish if it runs from now on, in milliseconds
     */
    public static long ordered(long dueMillis, long finishMillis) {
        boolean late = finishMillis > dueMillis;
        return Math.max(1, late ? dueMillis + LATE_PENALTY_MILLIS : dueMillis);
    }
}
