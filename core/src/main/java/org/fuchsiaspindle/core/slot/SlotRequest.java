package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.fuchsiaspindle.core.work.RequestSize;

/**
 * A request of a gateway for a slot for one online request.
 *
 * @param holder the gateway that will hold the slot, not null
 * @param ticket identifies the request among those of the gateway
 * @param mayWait whether the request waits for a slot if none is available now
 * @param priority the priority of its workspace or route, 0 is the most urgent
 * @param workspace the workspace of its caller, empty if there are no workspaces
 * @param size what is known of its size, not null
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
        String workspace,
        RequestSize size,
        long onTimeUntilNanos,
        long startUntilNanos,
        ImmutableSet<String> avoided,
        boolean lastResort) {

    /** Validates the components. */
    public SlotRequest {
        checkNotNull(holder, "holder");
        checkNotNull(workspace, "workspace");
        checkNotNull(size, "size");
        checkNotNull(avoided, "avoided");
    }
}
