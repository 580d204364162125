package org.fuchsiaspindle.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.fuchsiaspindle.core.contract.Contract;

/**
 * An online request that waits for a target. Immutable.
 *
 * @param id identifies the request within one scheduler; never reused
 * @param customer the customer
 * @param urgency 0 (most urgent) to 9
 * @param weight weight of the customer in fair sharing, at least 1
 * @param deadlineNanos monotonic time by which it must have started, or {@link #NO_DEADLINE}
 * @param cost expected work in tokens, at least 1
 */
public record OnlineRequest(
        long id, String customer, int urgency, int weight, long deadlineNanos, long cost) {

    /** Value of {@code deadlineNanos} for a request without a deadline. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    /** Validates the components. */
    public OnlineRequest {
        checkNotNull(customer, "customer");
        checkArgument(
                urgency >= 0 && urgency <= Contract.MAX_URGENCY,
                "urgency out of range: %s",
                urgency);
        checkArgument(weight >= 1, "weight not positive: %s", weight);
        checkArgument(cost >= 1, "cost not positive: %s", cost);
    }
}
