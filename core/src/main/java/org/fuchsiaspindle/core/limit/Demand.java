package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An entry's demand for a part of a customer's limits.
 *
 * @param rate the requests per second that callers send, admitted or not
 * @param concurrency the number of requests that would run concurrently without a limit
 * @param running the number of running requests
 */
public record Demand(double rate, int concurrency, int running) {

    /** Validates the components. */
    public Demand {
        checkArgument(rate >= 0, "negative rate: %s", rate);
        checkArgument(concurrency >= 0, "negative concurrency: %s", concurrency);
        checkArgument(running >= 0, "negative running requests: %s", running);
    }
}
