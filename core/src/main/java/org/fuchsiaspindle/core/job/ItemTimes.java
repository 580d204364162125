package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Estimates how long items still run, from those that were completed.
 *
 * <p>Not thread-safe.
 */
public final class ItemTimes {

    private static final double NEW_SAMPLE_WEIGHT = 0.1;
    private static final double INITIAL_EVENTS = 120;
    private static final double INITIAL_EVENT_NANOS = 30e6;

    /** An item that has made more events than most still needs some. */
    private static final double MIN_EVENTS_LEFT = 10;

    /** Time from the start of a run to its first event. */
    private static final Duration START_TIME = Duration.ofMillis(80);

    private double events = INITIAL_EVENTS;
    private double eventNanos = INITIAL_EVENT_NANOS;

    /** Creates an estimate that has seen no item. */
    public ItemTimes() {}

    /** Notes how many events a completed item had. */
    public void completed(long itemEvents) {
        checkArgument(itemEvents >= 0, "negative events: %s", itemEvents);
        events += NEW_SAMPLE_WEIGHT * (itemEvents - events);
    }

    /** Notes how long a run took for its events. */
    public void ran(long runEvents, Duration time) {
        if (runEvents > 0) {
            double sample = (double) time.toNanos() / runEvents;
            eventNanos += NEW_SAMPLE_WEIGHT * (sample - eventNanos);
        }
    }

    /** Returns how long an item that has made some events is expected to run until it is done. */
    public Duration left(long eventsMade) {
        double eventsLeft = Math.max(MIN_EVENTS_LEFT, events - eventsMade);
        return START_TIME.plusNanos((long) (eventsLeft * eventNanos));
    }
}
