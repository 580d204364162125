package org.fuchsiaspindle.daemon.entry.batch;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates the run time of a job from the observed times of earlier items. Not thread-safe;
 * guarded by the worker's lock.
 */
final class CapacityEstimate {

    /** A job is not refused on the basis of fewer observations, which are too unreliable. */
    private static final int MIN_SAMPLES = 50;

    private static final double SMOOTHING = 0.05;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Fraction of an item's observed time that is counted as execution; the rest may be waiting
     * time at the agent. A job is refused only if it cannot be done even without that wait.
     */
    private static final double EXECUTION_SHARE = 0.5;

    private double itemSeconds;
    private int samples;

    /** Adds the time between the dispatch of an item and its result. */
    void observe(long nanos) {
        double seconds = nanos / NANOS_PER_SECOND;
        itemSeconds = samples == 0 ? seconds : itemSeconds + SMOOTHING * (seconds - itemSeconds);
        samples = Math.min(samples + 1, MIN_SAMPLES);
    }

    /**
     * Returns why a job cannot meet its deadline, empty if no reason is known.
     *
     * @param backlog number of unfinished items of the model that are due earlier
     * @param items number of items of the job
     * @param slots number of streams that the model's targets run at once, 0 if unknown
     * @param window completion window of the job
     */
    Optional<String> infeasibilityReason(long backlog, int items, int slots, Duration window) {
        if (samples < MIN_SAMPLES || slots == 0) {
            return Optional.empty();
        }
        double seconds = (backlog + items) * itemSeconds * EXECUTION_SHARE / slots;
        if (seconds <= window.toSeconds()) {
            return Optional.empty();
        }
        return Optional.of(
                "the job would take at least "
                        + Math.round(seconds)
                        + " s including "
                        + backlog
                        + " items with earlier deadlines, but its completion window is "
                        + window.toSeconds()
                        + " s");
    }
}
