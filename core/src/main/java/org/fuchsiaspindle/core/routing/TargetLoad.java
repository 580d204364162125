package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The load of a target as reported by its agent.
 *
 * @param running the number of running online requests
 * @param waiting the number of online requests queued in the agent
 * @param capacity the number of requests that may run concurrently
 * @param expectedWaitNanos the estimated waiting time of a new request
 * @param receivedNanos the monotonic time at which the report arrived
 */
public record TargetLoad(
        int running, int waiting, int capacity, long expectedWaitNanos, long receivedNanos) {

    /** Waiting time per queued request if it cannot be derived from the report. */
    private static final long DEFAULT_NANOS_PER_QUEUED_REQUEST = 50_000_000;

    private static final long MIN_NANOS_PER_QUEUED_REQUEST = 1_000_000;

    /**
     * Cost of a fully occupied target relative to an idle one while no request waits; spreads the
     * load.
     */
    private static final long OCCUPANCY_COST_NANOS = 5_000_000;

    /** Validates the components. */
    public TargetLoad {
        checkArgument(running >= 0, "negative running requests: %s", running);
        checkArgument(waiting >= 0, "negative waiting requests: %s", waiting);
        checkArgument(capacity >= 0, "negative capacity: %s", capacity);
        checkArgument(expectedWaitNanos >= 0, "negative wait: %s", expectedWaitNanos);
    }

    /**
     * Estimates the waiting time of one more request.
     *
     * <p>The reported wait is reduced by the age of the report, because the queue has drained in
     * the meantime. Each request sent since the report takes a free slot or lengthens the queue.
     *
     * @param sentSince the number of requests that this entry has sent since the report
     * @param nowNanos the monotonic time
     */
    long estimatedWaitNanos(int sentSince, long nowNanos) {
        long remainingWait = Math.max(0, expectedWaitNanos - Math.max(0, nowNanos - receivedNanos));
        int slots = Math.max(1, capacity);
        int used = running + waiting + sentSince;
        long occupancy = OCCUPANCY_COST_NANOS * Math.min(used, slots) / slots;
        int queuedSince = Math.min(sentSince, Math.max(0, used + 1 - slots));
        return remainingWait + occupancy + queuedSince * nanosPerQueuedRequest();
    }

    private long nanosPerQueuedRequest() {
        if (waiting == 0 || expectedWaitNanos == 0) {
            return DEFAULT_NANOS_PER_QUEUED_REQUEST;
        }
        return Math.max(MIN_NANOS_PER_QUEUED_REQUEST, expectedWaitNanos / waiting);
    }
}
