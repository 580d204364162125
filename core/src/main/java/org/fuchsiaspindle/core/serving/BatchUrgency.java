package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The urgency of the batch items of one gateway, given by the due times of their jobs on the
 * store's clock, in milliseconds.
 *
 * @param waitingDue the earliest ordered due time of a waiting item, {@link #NONE} if there is none
 * @param runningDue the latest ordered due time of a running item, {@link #NONE} if there is none
 */
public record BatchUrgency(long waitingDue, long runningDue) {

    /** The due time if there is no item. */
    public static final long NONE = 0;

    /** The urgency of a gateway without batch items. */
    public static final BatchUrgency IDLE = new BatchUrgency(NONE, NONE);

    /**
     * Added to the due time of an item that can no longer finish on time, so that it sorts after
     * all items that still can: a late result is worth only a fraction of its value.
     */
    private static final long LATE_PENALTY_MILLIS = Duration.ofDays(1000).toMillis();

    /** Validates the components. */
    public BatchUrgency {
        checkArgument(waitingDue >= 0 && runningDue >= 0, "negative due time");
    }

    /**
     * Returns the due time by which an item is ordered, in milliseconds. An item that would finish
     * late gets a due time after those of all items that can finish on time.
     *
     * @param dueMillis when its result is due, in milliseconds
     * @param finishMillis when it is expected to finish if it runs from now on, in milliseconds
     */
    public static long orderedDue(long dueMillis, long finishMillis) {
        boolean late = finishMillis > dueMillis;
        return Math.max(1, late ? dueMillis + LATE_PENALTY_MILLIS : dueMillis);
    }

    /**
     * Returns whether the other gateway fills a free slot before this one.
     *
     * @param other the urgency of the other gateway, not null
     * @param otherFirstIfEqual the result for equal urgencies; the two gateways must pass opposite
     *     values
     */
    public boolean fillsSlotsAfter(BatchUrgency other, boolean otherFirstIfEqual) {
        if (other.waitingDue == NONE) {
            return false;
        }
        return other.waitingDue == waitingDue ? otherFirstIfEqual : other.waitingDue < waitingDue;
    }

    /**
     * Returns whether running items of the other gateway are preempted before those of this one.
     *
     * @param other the urgency of the other gateway, not null
     * @param otherFirstIfEqual the result for equal urgencies; the two gateways must pass opposite
     *     values
     */
    public boolean isPreemptedAfter(BatchUrgency other, boolean otherFirstIfEqual) {
        if (other.runningDue == NONE) {
            return false;
        }
        return other.runningDue == runningDue ? otherFirstIfEqual : other.runningDue > runningDue;
    }
}
