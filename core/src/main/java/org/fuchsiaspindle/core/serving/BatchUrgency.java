package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How urgent the batch items of one gateway are, by the due times of their jobs on the store's
 * clock.
 *
 * @param waitingDue the earliest ordered due time of a waiting item, {@link #NONE} if there is none
 * @param runningDue the latest ordered due time of a running item, {@link #NONE} if there is none
 */
public record BatchUrgency(long waitingDue, long runningDue) {

    /** The due time of no job. */
    public static final long NONE = 0;

    /** The urgency of a gateway without batch items. */
    public static final BatchUrgency IDLE = new BatchUrgency(NONE, NONE);

    /**
     * What is added to the due time of an item that cannot be on time any more: it comes after all
     * items that can, because a late result is worth a fraction.
     */
    private static final long LATE_MILLIS = Duration.ofDays(1000).toMillis();

    /** Checks the arguments. */
    public BatchUrgency {
        checkArgument(waitingDue >= 0 && runningDue >= 0, "negative due time");
    }

    /**
     * Returns the due time by which an item is ordered.
     *
     * @param dueMillis when its result is due
     * @param doneMillis when it will be done if it runs from now on
     */
    public static long orderedDue(long dueMillis, long doneMillis) {
        boolean late = doneMillis > dueMillis;
        return Math.max(1, late ? dueMillis + LATE_MILLIS : dueMillis);
    }

    /** Returns whether the other gateway fills a free slot before this one. */
    public boolean waitsBehind(BatchUrgency other, boolean otherFirstIfEqual) {
        if (other.waitingDue == NONE) {
            return false;
        }
        return other.waitingDue == waitingDue ? otherFirstIfEqual : other.waitingDue < waitingDue;
    }

    /** Returns whether the other gateway gives way before this one. */
    public boolean staysBefore(BatchUrgency other, boolean otherFirstIfEqual) {
        if (other.runningDue == NONE) {
            return false;
        }
        return other.runningDue == runningDue ? otherFirstIfEqual : other.runningDue > runningDue;
    }
}
