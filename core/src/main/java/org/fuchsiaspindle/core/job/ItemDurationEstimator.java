package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Estimates the remaining run time of batch items by exponential moving averages over completed
 * items.
 *
 * <p>Not thread-safe.
 */
public final class ItemDurationEstimator {

    private static final double NEW_SAMPLE_WEIGHT = 0.1;
    private static final double INITIAL_EVENTS = 120;
    private static final double INITIAL_NANOS_PER_EVENT = 30e6;

    /**
     * Lower bound of the estimate, for items that have already produced more events than the
     * average.
     */
    private static final double MIN_REMAINING_EVENTS = 10;

    /** Expected time from the start of a run to its first event. */
    private static final Duration TIME_TO_FIRST_EVENT = Duration.ofMillis(80);

    private double averageEvents = INITIAL_EVENTS;
    private double nanosPerEvent = INITIAL_NANOS_PER_EVENT;

    /** Creates an estimator that starts from the initial averages. */
    public ItemDurationEstimator() {}

    /** Records the number of events of a completed item. */
    public void recordCompletedItem(long itemEvents) {
        checkArgument(itemEvents >= 0, "negative events: %s", itemEvents);
        averageEvents += NEW_SAMPLE_WEIGHT * (itemEvents - averageEvents);
    }

    /** Records the number of events and the duration of a run; a run without events is ignored. */
    public void recordRun(long runEvents, Duration time) {
        if (runEvents > 0) {
            double sample = (double) time.toNanos() / runEvents;
            nanosPerEvent += NEW_SAMPLE_WEIGHT * (sample - nanosPerEvent);
        }
    }

    /** Returns the expected remaining run time of an item that has produced a number of events. */
    public Duration remainingTime(long eventsProduced) {
        double remainingEvents = Math.max(MIN_REMAINING_EVENTS, averageEvents - eventsProduced);
        return TIME_TO_FIRST_EVENT.plusNanos((long) (remainingEvents * nanosPerEvent));
    }
}
