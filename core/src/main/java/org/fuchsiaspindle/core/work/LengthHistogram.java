package org.fuchsiaspindle.core.work;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The distribution of recent lengths, in buckets of equal width on a logarithmic scale.
 *
 * <p>Older lengths weigh less with each new one, so a change of the lengths shows after about
 * {@value #MEMORY} of them. Not thread-safe.
 */
final class LengthHistogram {

    /** Number of lengths after which one weighs about a third of what it did. */
    static final int MEMORY = 200;

    private static final int BUCKETS_PER_DOUBLING = 4;

    /** The longest length that is told from longer ones, as a power of two. */
    private static final int MAX_DOUBLINGS = 20;

    /** Width of a bucket, as a natural logarithm. */
    private static final double LOG_WIDTH = Math.log(2) / BUCKETS_PER_DOUBLING;

    private static final double KEPT_SHARE = 1 - 1.0 / MEMORY;

    private final double[] weights = new double[BUCKETS_PER_DOUBLING * MAX_DOUBLINGS];
    private double total;

    LengthHistogram() {}

    /** Adds a length, which must be positive. */
    void add(double length) {
        checkArgument(length > 0, "length not positive: %s", length);
        for (int bucket = 0; bucket < weights.length; bucket++) {
            weights[bucket] *= KEPT_SHARE;
        }
        int bucket = (int) Math.round(Math.log(length) / LOG_WIDTH);
        weights[Math.clamp(bucket, 0, weights.length - 1)] += 1;
        total = total * KEPT_SHARE + 1;
    }

    boolean isEmpty() {
        return total == 0;
    }

    /** Returns the natural logarithm of a quantile; there must be a length. */
    double logQuantile(double share) {
        double below = 0;
        for (int bucket = 0; bucket < weights.length; bucket++) {
            double above = below + weights[bucket];
            if (above >= share * total && weights[bucket] > 0) {
                double position = (share * total - below) / weights[bucket];
                return Math.max(0, (bucket - 0.5 + position) * LOG_WIDTH);
            }
            below = above;
        }
        return (weights.length - 1) * LOG_WIDTH;
    }
}
