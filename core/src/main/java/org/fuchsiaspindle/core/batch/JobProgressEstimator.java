package org.fuchsiaspindle.core.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the remaining run time of a job from counts of its finished items over time. Not
 * thread-safe.
 */
public final class JobProgressEstimator {

    /** Shortest observation over which the rate is accurate enough to use. */
    private static final double MIN_WINDOW_SECONDS = 30;

    /**
     * Longest observation without a finished item before a job is at risk, as a fraction of the
     * time left. Items count only when their segment is committed, which takes a long time for a
     * large segment.
     */
    private static final double MAX_FIRST_COMMIT_FRACTION = 0.1;

    private static final long MAX_WINDOW_NANOS = Duration.ofMinutes(10).toNanos();

    /** Fraction of the time left that the expected run time may take before a job is at risk. */
    private static final double MAX_RUN_FRACTION = 0.8;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MS_PER_SECOND = 1000;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long nanos, int finished) {}

    /** Records the number of finished items at a monotonic time. */
    public void observe(long nowNanos, int finished) {
        samples.add(new Sample(nowNanos, finished));
        while (samples.size() > 2 && nowNanos - samples.peek().nanos() > MAX_WINDOW_NANOS) {
            samples.remove();
        }
    }

    /**
     * Returns the time until the deadline minus the expected remaining run time, in seconds.
     *
     * @param remaining items that are not finished
     * @param timeLeftMs time until the deadline in milliseconds
     * @param nowNanos monotonic time
     */
    public double slackSeconds(int remaining, long timeLeftMs, long nowNanos) {
        return (double) timeLeftMs / MS_PER_SECOND - expectedSeconds(remaining, nowNanos);
    }

    /**
     * Returns true if the expected remaining run time is more than 80% of the time left, or if no
     * item has finished during an observation of more than 10% of the time left. Always false in
     * the first 30 s.
     */
    public boolean isAtRisk(int remaining, long timeLeftMs, long nowNanos) {
        double timeLeft = (double) timeLeftMs / MS_PER_SECOND;
        if (remaining == 0 || observedSeconds(nowNanos) < MIN_WINDOW_SECONDS) {
            return false;
        }
        return finished() == 0
                ? observedSeconds(nowNanos) > MAX_FIRST_COMMIT_FRACTION * timeLeft
                : expectedSeconds(remaining, nowNanos) > MAX_RUN_FRACTION * timeLeft;
    }

    private double expectedSeconds(int remaining, long nowNanos) {
        return finished() == 0 ? 0 : remaining * observedSeconds(nowNanos) / finished();
    }

    private int finished() {
        return samples.isEmpty() ? 0 : samples.getLast().finished() - samples.getFirst().finished();
    }

    private double observedSeconds(long nowNanos) {
        return samples.isEmpty() ? 0 : (nowNanos - samples.getFirst().nanos()) / NANOS_PER_SECOND;
    }
}
