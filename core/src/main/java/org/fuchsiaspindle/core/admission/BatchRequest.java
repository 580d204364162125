package org.fuchsiaspindle.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A batch item that waits for a target. Immutable.
 *
 * @param id identifies the item within one scheduler; never reused
 * @param customer the customer
 * @param weight weight of the customer in fair sharing, at least 1
 * @param deadlineNanos monotonic time at which the item's job is due
 * @param cost expected work in tokens, at least 1
 * @param tokens output tokens that earlier runs have produced
 * @param suspect true if the item is suspected of crashing targets; at most one such item runs at a
 *     time
 */
public record BatchRequest(
        long id,
        String customer,
        int weight,
        long deadlineNanos,
        long cost,
        long tokens,
        boolean suspect) {

    /** Validates the components. */
    public BatchRequest {
        checkNotNull(customer, "customer");
        checkArgument(weight >= 1, "weight not positive: %s", weight);
        checkArgument(cost >= 1, "cost not positive: %s", cost);
        checkArgument(tokens >= 0, "negative token count: %s", tokens);
    }

    /** Returns this item with another number of output tokens. */
    BatchRequest withTokens(long count) {
        return new BatchRequest(id, customer, weight, deadlineNanos, cost, count, suspect);
    }
}
