package org.fuchsiaspindle.core.time;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that advances only by explicit calls, for tests and experiments.
 *
 * <p>Thread-safe. Wall-clock time can be skewed separately from the monotonic time.
 */
public final class ManualClock implements Clock {

    private final Instant origin;
    private final AtomicLong nanos = new AtomicLong();
    private final AtomicLong skewNanos = new AtomicLong();

    private ManualClock(Instant origin) {
        this.origin = origin;
    }

    /** Creates a clock that starts at a wall-clock time; its monotonic time starts at 0. */
    public static ManualClock startingAt(Instant origin) {
        return new ManualClock(origin);
    }

    /** Advances both times; the duration must not be negative. */
    public void advance(Duration duration) {
        checkArgument(!duration.isNegative(), "negative duration: %s", duration);
        nanos.addAndGet(duration.toNanos());
    }

    /** Shifts the wall-clock time only, in either direction. */
    public void skewWallTime(Duration duration) {
        skewNanos.addAndGet(duration.toNanos());
    }

    @Override
    public Instant wallTime() {
        return origin.plusNanos(nanos.get() + skewNanos.get());
    }

    @Override
    public long nanoTime() {
        return nanos.get();
    }
}
