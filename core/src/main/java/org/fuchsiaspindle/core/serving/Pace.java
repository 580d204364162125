package org.fuchsiaspindle.core.serving;

import java.time.Duration;

/**
 * How fast waiting requests are expected to start.
 *
 * @param nowNanos the time, in monotonic nanoseconds
 * @param timePerRequest the time between two starts of average requests
 */
public record Pace(long nowNanos, Duration timePerRequest) {

    /**
     * Returns when a request is expected to start, in monotonic nanoseconds.
     *
     * @param costAhead the expected work that starts before it
     */
    long startNanos(double costAhead) {
        return nowNanos + expectedWait(costAhead).toNanos();
    }

    /**
     * Returns how long a request is expected to wait. It waits for its own slot too.
     *
     * @param costAhead the expected work that starts before it
     */
    public Duration expectedWait(double costAhead) {
        double nanos = timePerRequest.toNanos() * (costAhead + 1.0);
        return Duration.ofNanos((long) Math.min(nanos, RequestQueue.MAX_WAIT.toNanos()));
    }
}
