package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/** What happens to an item after a run that did not complete it. */
public enum ItemOutcome {
    /** The item runs again. */
    RUN_AGAIN,
    /** The item is listed as given up. */
    GIVE_UP;

    /**
     * Decides after a target reported that the item failed.
     *
     * @param failures how often it has failed, positive
     * @param maxAttempts how many failures the route allows, positive
     */
    public static ItemOutcome afterFailure(int failures, int maxAttempts) {
        checkArgument(failures > 0, "failures not positive: %s", failures);
        return failures >= maxAttempts ? GIVE_UP : RUN_AGAIN;
    }

    /**
     * Decides by the age of the job.
     *
     * @param age the time since the job was accepted
     * @param retention the time after which an item may be given up
     */
    public static ItemOutcome byAge(Duration age, Duration retention) {
        return age.compareTo(retention) > 0 ? GIVE_UP : RUN_AGAIN;
    }
}
