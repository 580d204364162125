package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A limit of requests, summed over all processes that admit them.
 *
 * @param requestsPerSecond the sustained rate, positive
 * @param burst the number of requests by which a burst may exceed the rate, not negative
 */
public record RateLimit(double requestsPerSecond, double burst) {

    /** Validates the components. */
    public RateLimit {
        checkArgument(
                requestsPerSecond > 0 && Double.isFinite(requestsPerSecond),
                "rate is not positive: %s",
                requestsPerSecond);
        checkArgument(burst >= 0 && Double.isFinite(burst), "burst is not zero or more: %s", burst);
    }
}
