package org.fuchsiaspindle.core.work;

import java.util.OptionalDouble;

/**
 * What recent requests of one kind needed: the events of streams, the time of other responses.
 *
 * <p>Not thread-safe.
 */
final class KindEstimate {

    /** Smallest deviation of lengths, so that a kind of equal lengths leaves room to hints. */
    private static final double MIN_DEVIATION = 0.05;

    /** Assumed error of a hint before one was compared with its result: by half or double. */
    private static final double INITIAL_HINT_ERROR = Math.log(2);

    /** A hint that is farther off counts as this far off, so that a few do not spoil the rest. */
    private static final double MAX_HINT_ERROR = Math.log(8);

    /** Weight of one request in the averages. */
    private static final double SAMPLE_WEIGHT = 0.05;

    /** The quantiles one standard deviation off the median of a normal distribution. */
    private static final double LOWER_QUANTILE = 0.16;

    private static final double UPPER_QUANTILE = 0.84;

    private final LengthHistogram events = new LengthHistogram();
    private double hintVariance = INITIAL_HINT_ERROR * INITIAL_HINT_ERROR;
    private double meanNanos;

    KindEstimate() {}

    /** Records the events of a complete stream, and the hint that it came with. */
    void recordStream(int eventCount, OptionalDouble hintedEvents) {
        events.add(eventCount);
        if (hintedEvents.isPresent()) {
            double error = Math.log(eventCount / hintedEvents.getAsDouble());
            double bounded = Math.clamp(error, -MAX_HINT_ERROR, MAX_HINT_ERROR);
            hintVariance += SAMPLE_WEIGHT * (bounded * bounded - hintVariance);
        }
    }

    /** Records the time of a complete response that is no stream. */
    void recordBody(double nanos) {
        meanNanos += (meanNanos == 0 ? 1 : SAMPLE_WEIGHT) * (nanos - meanNanos);
    }

    boolean isStream() {
        return !events.isEmpty();
    }

    /** Returns the time of responses that are no streams, empty before one was recorded. */
    OptionalDouble bodyNanos() {
        return meanNanos == 0 ? OptionalDouble.empty() : OptionalDouble.of(meanNanos);
    }

    /**
     * Returns the expected events of a stream, of which one must have been recorded.
     *
     * <p>The usual length and the hint are averaged on a logarithmic scale, each weighted by how
     * close to the results it was.
     */
    double expectedEvents(OptionalDouble hintedEvents) {
        double usual = events.logQuantile(0.5);
        if (hintedEvents.isEmpty()) {
            return Math.exp(usual);
        }
        double spread =
                (events.logQuantile(UPPER_QUANTILE) - events.logQuantile(LOWER_QUANTILE)) / 2;
        double deviation = Math.max(MIN_DEVIATION, spread);
        double hintShare = deviation * deviation / (deviation * deviation + hintVariance);
        double hinted = Math.log(hintedEvents.getAsDouble());
        return Math.exp(usual + hintShare * (hinted - usual));
    }
}
