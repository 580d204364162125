package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;

/**
 * A request of a gateway for a slot for one online request.
 *
 * @param holder the gateway that will hold the slot, not null
 * @param ticket identifies the request among those of the gateway
 * @param mayWait whether the request waits for a slot if none is available now
 * @param priority the priority of its route, 0 is the most urgent
 * @param onTimeUntilNanos the latest start for a response within the latency target, in monotonic
 *     nanoseconds
 * @param startUntilNanos the latest useful start, in monotonic nanoseconds
 * @param avoided targets that the gateway does not want, not null
 * @param lastResort whether avoided and ejected targets are acceptable
 */
public record SlotRequest(
        String holder,
        long ticket,
        boolean mayWait,
        int priority,
        long onTimeUntilNanos,
        long startUntilNanos,
        ImmutableSet<String> avoided,
        boolean lastResort) {

    /** Validates the components. */
    public SlotRequest {
        checkNotNull(holder, "holder");
        checkNotNull(avoided, "avoided");
    }
}
