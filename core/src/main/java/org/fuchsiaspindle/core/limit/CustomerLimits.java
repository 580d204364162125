package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Limits of the online requests of a customer, summed over all entries.
 *
 * @param rate the limit of the number of requests in a time, not null
 * @param concurrency the number of requests that may run concurrently, positive
 */
public record CustomerLimits(RateLimit rate, int concurrency) {

    /** Validates the components. */
    public CustomerLimits {
        checkNotNull(rate, "rate");
        checkArgument(concurrency >= 1, "concurrency not positive: %s", concurrency);
    }
}
