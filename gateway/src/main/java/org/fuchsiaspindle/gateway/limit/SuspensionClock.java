package org.fuchsiaspindle.gateway.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.time.Instant;
import org.fuchsiaspindle.core.time.Clock;

/**
 * A monotonic clock that also advances while the instance is suspended.
 *
 * <p>The system's monotonic clock may stand still in a suspended instance. This one then advances
 * by as much as the wall clock did. A wall clock that is set forward has the same effect, which is
 * harmless: what is held for a time expires early. Not thread-safe.
 */
final class SuspensionClock {

    /** Difference of the two clocks that is not an adjustment of their speeds. */
    private static final Duration MIN_SUSPENSION = Duration.ofMillis(20);

    private final Clock clock;
    private long lastNanos;
    private Instant lastInstant;
    private long suspendedNanos;

    SuspensionClock(Clock clock) {
        this.clock = checkNotNull(clock, "clock");
        this.lastNanos = clock.nanoTime();
        this.lastInstant = clock.wallTime();
    }

    /** Returns the time in nanoseconds since an arbitrary origin. */
    long nanoTime() {
        long nanos = clock.nanoTime();
        Instant instant = clock.wallTime();
        long missed = Duration.between(lastInstant, instant).toNanos() - (nanos - lastNanos);
        if (missed >= MIN_SUSPENSION.toNanos()) {
            suspendedNanos += missed;
        }
        lastNanos = nanos;
        lastInstant = instant;
        return nanos + suspendedNanos;
    }
}
