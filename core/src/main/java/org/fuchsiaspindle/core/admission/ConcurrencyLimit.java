package org.fuchsiaspindle.core.admission;

import java.util.Arrays;

/**
 * Adapts the number of concurrent streams so that the time between tokens stays within its target.
 *
 * <p>The step time of an engine is nearly a linear function of its running streams. After each
 * window of observations the slope is estimated from recent windows, and the limit moves to the
 * number of streams at which the policy's percentile of the step time meets the target. Not
 * thread-safe; an observation is O(1), the end of a window sorts a bounded sample.
 */
final class ConcurrencyLimit {

    private static final long WINDOW_NANOS = 150_000_000L;
    private static final int MIN_SAMPLES = 20;
    private static final int MAX_SAMPLES = 256;

    /**
     * Fraction by which online streams may push the step time above its target. Without this
     * allowance, online requests would queue behind each other if the step time of the online load
     * alone is near the target.
     */
    private static final double ONLINE_EXCESS = 0.2;

    /** Initial limit of online streams as a multiple of the overall limit. */
    private static final int INITIAL_ONLINE_FACTOR = 2;

    /**
     * Fraction of the distance to the computed limit by which one window moves the limit, to damp
     * noise.
     */
    private static final double GAIN = 0.3;

    /**
     * Factor by which the weight of past windows in the slope estimate decays with each window; the
     * weight halves in about 10 s.
     */
    private static final double WINDOW_DECAY = 0.99;

    /** Variance of the number of running streams below which the slope is not updated. */
    private static final double MIN_VARIANCE = 2;

    /** Lower bound of the slope as a fraction of the average step time per stream. */
    private static final double MIN_SLOPE = 0.15;

    /** Largest factor, plus one stream, by which one window raises the limit. */
    private static final double MAX_GROWTH = 1.25;

    /** Smallest factor by which one window lowers the limit. */
    private static final double MAX_SHRINK = 0.75;

    /** Fraction of the limit that must have been in use before the limit grows. */
    private static final double MIN_UTILISATION = 0.85;

    /**
     * Interval at which the cap is raised by one after it was set because the target queued a
     * stream.
     */
    private static final long CAP_RAISE_NANOS = 30_000_000_000L;

    private final boolean adaptive;
    private final long[] samples = new long[MAX_SAMPLES];
    private long targetNanos;
    private int maxLimit;
    private double percentile;
    private int sampleCount;
    private long runningSum;
    private int maxRunning;
    private long windowStartNanos;
    private double limit;
    private double onlineLimit;
    private int cap;
    private long capRaiseNanos;
    private long stepNanos;
    private double weight;
    private double sumRunning;
    private double sumStep;
    private double sumSquare;
    private double sumProduct;
    private double slope;

    ConcurrencyLimit(AdmissionPolicy policy, long nowNanos) {
        apply(policy);
        adaptive = policy.adaptiveLimit();
        limit = policy.initialLimit();
        onlineLimit = adaptive ? limit * INITIAL_ONLINE_FACTOR : limit;
        cap = maxLimit;
        windowStartNanos = nowNanos;
    }

    /** Applies a changed policy; the estimates for the target are kept. */
    void apply(AdmissionPolicy policy) {
        targetNanos = policy.interTokenTarget().toNanos();
        maxLimit = policy.maxLimit();
        percentile = policy.stepPercentile();
    }

    /** Returns the number of streams that may run concurrently if batch items are among them. */
    int limit() {
        return Math.min((int) limit, cap);
    }

    /** Returns the number of online streams that may run concurrently. */
    int onlineLimit() {
        return Math.min((int) Math.max(limit, onlineLimit), cap);
    }

    /** Returns the policy's percentile of the step time in the last window, 0 before the first. */
    long stepNanos() {
        return stepNanos;
    }

    /** Records the time between two tokens of one stream while {@code running} streams ran. */
    void observe(long intervalNanos, int running, long nowNanos) {
        if (!adaptive) {
            return;
        }
        samples[sampleCount % MAX_SAMPLES] = intervalNanos;
        sampleCount++;
        runningSum += running;
        maxRunning = Math.max(maxRunning, running);
        if (sampleCount >= MIN_SAMPLES && nowNanos - windowStartNanos >= WINDOW_NANOS) {
            endWindow(nowNanos);
        }
    }

    /** Records that the target itself queued a stream while {@code others} ran there. */
    void targetQueued(int others, long nowNanos) {
        if (adaptive) {
            cap = Math.max(1, Math.min(cap, others));
            capRaiseNanos = nowNanos + CAP_RAISE_NANOS;
        }
    }

    /** Records that the target's queue is empty, which raises the cap by one. */
    void targetQueueEmpty() {
        cap = Math.min(maxLimit, cap + 1);
    }

    private void endWindow(long nowNanos) {
        int samplesUsed = Math.min(sampleCount, MAX_SAMPLES);
        Arrays.sort(samples, 0, samplesUsed);
        double median = Math.max(1, samples[samplesUsed / 2]);
        stepNanos = Math.max(1, samples[(int) (samplesUsed * percentile)]);
        double running = (double) runningSum / sampleCount;
        updateSlope(running, median);
        double timePerStream = timePerStream(running, median);
        double computedLimit = running + (targetNanos - stepNanos) / timePerStream;
        double smoothedLimit = limit + GAIN * (computedLimit - limit);
        if (computedLimit < limit) {
            limit = Math.max(1, Math.max(smoothedLimit, limit * MAX_SHRINK));
        } else if (maxRunning >= (int) limit * MIN_UTILISATION - 1) {
            limit = Math.min(maxLimit, Math.min(smoothedLimit, limit * MAX_GROWTH + 1));
        }
        onlineLimit = limit + targetNanos * ONLINE_EXCESS / timePerStream;
        if (cap < maxLimit && nowNanos - capRaiseNanos >= 0) {
            cap++;
            capRaiseNanos = nowNanos + CAP_RAISE_NANOS;
        }
        sampleCount = 0;
        runningSum = 0;
        maxRunning = 0;
        windowStartNanos = nowNanos;
    }

    /** Adds a window to the linear regression of the step time on the number of running streams. */
    private void updateSlope(double running, double step) {
        weight = weight * WINDOW_DECAY + 1;
        sumRunning = sumRunning * WINDOW_DECAY + running;
        sumStep = sumStep * WINDOW_DECAY + step;
        sumSquare = sumSquare * WINDOW_DECAY + running * running;
        sumProduct = sumProduct * WINDOW_DECAY + running * step;
        double variance = sumSquare / weight - Math.pow(sumRunning / weight, 2);
        if (variance >= MIN_VARIANCE) {
            double covariance = sumProduct / weight - sumRunning / weight * (sumStep / weight);
            slope = covariance / variance;
        }
    }

    /**
     * Returns the time that one more stream adds to a step; the average per stream if no slope is
     * known.
     */
    private double timePerStream(double running, double step) {
        double average = step / running;
        return slope <= 0 ? average : Math.clamp(slope, MIN_SLOPE * average, average);
    }
}
