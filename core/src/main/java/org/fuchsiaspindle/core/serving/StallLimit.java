package org.fuchsiaspindle.core.serving;

import java.time.Duration;

/**
 * Decides how long a stream may send nothing while its target sends data of other streams.
 *
 * <p>Its connection is probably dead then. The limit doubles with each run of the same request that
 * was given up for this reason, because its target may only be slow.
 */
public final class StallLimit {

    private static final Duration FIRST_LIMIT = Duration.ofSeconds(2);
    private static final int MAX_DOUBLINGS = 4;

    private StallLimit() {}

    /**
     * Returns the limit of a run.
     *
     * @param stalledRuns how many runs of the same request were given up for this reason since one
     *     sent data, not negative
     */
    public static Duration after(int stalledRuns) {
        return FIRST_LIMIT.multipliedBy(1L << Math.min(stalledRuns, MAX_DOUBLINGS));
    }
}
