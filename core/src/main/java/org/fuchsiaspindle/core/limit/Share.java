package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A part of a customer's limits.
 *
 * @param rate the requests per second, not negative
 * @param concurrency the number of requests that may run concurrently, not negative
 */
public record Share(double rate, int concurrency) {

    /** The empty share. */
    public static final Share NONE = new Share(0, 0);

    /** Validates the components. */
    public Share {
        checkArgument(rate >= 0, "negative rate: %s", rate);
        checkArgument(concurrency >= 0, "negative concurrency: %s", concurrency);
    }
}
