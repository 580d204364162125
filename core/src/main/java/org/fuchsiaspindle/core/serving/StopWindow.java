package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * The time between the start of a graceful stop and the end of the process.
 *
 * <p>Decides which requests that arrive in this time are still executed: a request that the end of
 * the process would cut off is better refused at once, because another process can execute it.
 * Immutable and thread-safe.
 *
 * @param beginNanos when the stop began, in monotonic nanoseconds
 * @param endNanos when requests in progress are cut off, in monotonic nanoseconds, not before the
 *     beginning
 * @param arrivalTime how long after the beginning new requests must be expected, because the load
 *     balancer has not detected the stop yet; not null
 */
public record StopWindow(long beginNanos, long endNanos, Duration arrivalTime) {

    /** Processor time for the last answers and the end of the process. */
    private static final Duration END_PROCESSOR_TIME = Duration.ofMillis(100);

    /** Time that is left at the end for everything that does not depend on the processor. */
    private static final Duration MIN_MARGIN = Duration.ofMillis(500);

    /** Validates the components. */
    public StopWindow {
        checkArgument(endNanos - beginNanos >= 0, "ends before it begins: %s", endNanos);
        checkNotNull(arrivalTime, "arrivalTime");
    }

    /**
     * Returns the window of a stop that begins now.
     *
     * <p>Requests are cut off before the end of the grace period, by a margin within which an
     * instance with a small processor share can still send the last answers and end the process.
     *
     * @param nowNanos the current time, in monotonic nanoseconds
     * @param grace the time after which the process is killed, not null
     * @param cpuCapacity the processor capacity of the instance in cores, positive
     * @param arrivalTime how long new requests must be expected, not null
     */
    public static StopWindow begin(
            long nowNanos, Duration grace, double cpuCapacity, Duration arrivalTime) {
        checkArgument(cpuCapacity > 0, "processor capacity is not positive: %s", cpuCapacity);
        long marginNanos =
                MIN_MARGIN.toNanos() + (long) (END_PROCESSOR_TIME.toNanos() / cpuCapacity);
        long endNanos = nowNanos + Math.max(0, grace.toNanos() - marginNanos);
        return new StopWindow(nowNanos, endNanos, arrivalTime);
    }

    /**
     * Returns whether a request that arrives now is executed.
     *
     * <p>While the load balancer still sends requests, all of them are. Later ones are if the
     * longest time that they may take is left.
     *
     * @param nowNanos the current time, in monotonic nanoseconds
     * @param longestTime the time after which the request ends by itself, not null
     */
    public boolean admits(long nowNanos, Duration longestTime) {
        boolean expected = nowNanos - beginNanos <= arrivalTime.toNanos();
        return expected || hasTimeFor(nowNanos, longestTime);
    }

    /**
     * Returns whether some time is left before requests are cut off.
     *
     * @param nowNanos the current time, in monotonic nanoseconds
     * @param time the time that is needed, not null
     */
    public boolean hasTimeFor(long nowNanos, Duration time) {
        return endNanos - nowNanos >= time.toNanos();
    }
}
