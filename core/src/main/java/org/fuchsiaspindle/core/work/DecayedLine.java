package org.fuchsiaspindle.core.work;

/**
 * A line that is fitted to recent points by least squares; older points weigh less with each new
 * one.
 *
 * <p>Neither its slope nor its value at zero is negative. Not thread-safe.
 */
final class DecayedLine {

    /** Share of its weight that a point keeps with each new one. */
    private static final double KEPT_SHARE = 0.99;

    /** Share of the mean value that is assumed to grow with x while all points have the same x. */
    private static final double INITIAL_GROWING_SHARE = 0.5;

    /** Relative deviation of x at which the points count as much as the assumed slope. */
    private static final double INITIAL_DEVIATION = 0.1;

    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    DecayedLine() {}

    /** Adds a point; both coordinates must not be negative. */
    void add(double x, double y) {
        weight = weight * KEPT_SHARE + 1;
        sumX = sumX * KEPT_SHARE + x;
        sumY = sumY * KEPT_SHARE + y;
        sumXx = sumXx * KEPT_SHARE + x * x;
        sumXy = sumXy * KEPT_SHARE + x * y;
    }

    boolean isEmpty() {
        return weight == 0;
    }

    /** Returns the value of the line, 0 without points. */
    double at(double x) {
        if (isEmpty()) {
            return 0;
        }
        double meanX = sumX / weight;
        double meanY = sumY / weight;
        double slope = slope(meanX, meanY);
        return meanY + slope * (x - meanX);
    }

    private double slope(double meanX, double meanY) {
        if (meanX <= 0) {
            return 0;
        }
        double variance = Math.max(0, sumXx / weight - meanX * meanX);
        double covariance = sumXy / weight - meanX * meanY;
        double steepest = meanY / meanX;
        double initialWeight = Math.pow(INITIAL_DEVIATION * meanX, 2);
        double slope =
                (covariance + initialWeight * INITIAL_GROWING_SHARE * steepest)
                        / (variance + initialWeight);
        return Math.clamp(slope, 0, steepest);
    }
}
