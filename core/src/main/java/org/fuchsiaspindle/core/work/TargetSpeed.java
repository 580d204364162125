package org.fuchsiaspindle.core.work;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Optional;

/**
 * How long one target needs now for the same work, relative to an average target of its pool.
 *
 * <p>While nothing is observed, the estimate returns to the average, so a target that was slow and
 * therefore gets no work is tried again. Not thread-safe; times are monotonic nanoseconds.
 */
public final class TargetSpeed {

    /** Time in which the estimate loses half of its distance to the average. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(4);

    /** Largest factor by which one run may say that a target is slower or faster. */
    private static final double MAX_RATIO = 8;

    /** Weight of an observation beside others of the same moment. */
    private static final double SAMPLE_WEIGHT = 0.2;

    /** Weight of an observation after which nothing else is known. */
    private static final double MAX_SAMPLE_WEIGHT = 0.5;

    private double logSlowness;
    private long updatedNanos;
    private boolean observed;
    private boolean paced;
    private double meanLogEventNanos;
    private double meanRunning;

    /**
     * The deviation of a run from other runs on the same target.
     *
     * @param logEventNanos of the logarithm of the time of one event, in nanoseconds
     * @param running of the number of other requests on the target
     */
    record Deviation(double logEventNanos, double running) {}

    /** Creates the speed of a target of which nothing was observed. */
    public TargetSpeed() {}

    /**
     * Returns how many times as long as an average target this one needs; positive, 1 if nothing
     * was observed for long.
     */
    public double slowness(long now) {
        return Math.exp(logSlowness(now));
    }

    private double logSlowness(long now) {
        return observed ? logSlowness * keptShare(now) : 0;
    }

    /** Returns the share of what was known at the last observation that still counts. */
    private double keptShare(long now) {
        double halfLives = (double) (now - updatedNanos) / HALF_LIFE.toNanos();
        return Math.pow(0.5, Math.max(0, halfLives));
    }

    /** Records how many times as long as expected of an average target a run took. */
    void record(double ratio, long now) {
        checkArgument(ratio > 0 && Double.isFinite(ratio), "ratio not positive: %s", ratio);
        double sample = Math.log(Math.clamp(ratio, 1 / MAX_RATIO, MAX_RATIO));
        double current = logSlowness(now);
        logSlowness = current + sampleWeight(now) * (sample - current);
        updatedNanos = now;
        observed = true;
    }

    /** Returns the weight of an observation, which is the larger the less is known otherwise. */
    private double sampleWeight(long now) {
        double known = observed ? (1 - SAMPLE_WEIGHT) * keptShare(now) : 0;
        return Math.min(MAX_SAMPLE_WEIGHT, 1 - known);
    }

    /** Returns how a run deviates from those before it, empty for the first one. */
    Optional<Deviation> deviation(double logEventNanos, double running) {
        Deviation deviation =
                new Deviation(logEventNanos - meanLogEventNanos, running - meanRunning);
        double weight = paced ? SAMPLE_WEIGHT : 1;
        meanLogEventNanos += weight * deviation.logEventNanos();
        meanRunning += weight * deviation.running();
        boolean first = !paced;
        paced = true;
        return first ? Optional.empty() : Optional.of(deviation);
    }
}
