package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/** The next step for a batch item whose last run did not complete it. */
public enum ItemOutcome {
    /** The item runs again. */
    RUN_AGAIN,
    /** The item is abandoned and listed as not completed. */
    GIVE_UP;

    /**
     * Returns the next step after a target reported a failure of the item.
     *
     * @param failures the number of failures so far, positive
     * @param maxAttempts the number of failures at which the item is abandoned, positive
     */
    public static ItemOutcome afterFailure(int failures, int maxAttempts) {
        checkArgument(failures > 0, "failures not positive: %s", failures);
        return failures >= maxAttempts ? GIVE_UP : RUN_AGAIN;
    }

    /**
     * Returns the next step by the age of the job.
     *
     * @param age the time since the job was accepted
     * @param retention the time after which an item may be abandoned
     */
    public static ItemOutcome byAge(Duration age, Duration retention) {
        return age.compareTo(retention) > 0 ? GIVE_UP : RUN_AGAIN;
    }
}
