package org.fuchsiaspindle.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Bounded exponential backoff with jitter, as pure functions. */
public final class Backoff {

    /** Delay after the first failure, before jitter. */
    public static final Duration FIRST = Duration.ofMillis(100);

    /**
     * Largest delay, before jitter. Keeps the time to reconnect to a restarted agent within 3 s.
     */
    public static final Duration LARGEST = Duration.ofSeconds(2);

    private static final int MAX_DOUBLINGS = 10;

    private Backoff() {}

    /**
     * Returns the delay before the next attempt, between half of the bound and the bound.
     *
     * <p>The jitter keeps many entries from connecting to a restarted agent at the same moment.
     *
     * @param failures the number of failures since the last success, at least 1
     * @param random the random source
     */
    public static Duration delay(int failures, RandomGenerator random) {
        return jittered(bound(failures, FIRST, LARGEST), random);
    }

    /**
     * Returns the largest delay before the next attempt, which doubles with each failure.
     *
     * @param failures the number of failures since the last success, at least 1
     * @param first the bound after the first failure, not null
     * @param largest the largest bound, not null
     */
    public static Duration bound(int failures, Duration first, Duration largest) {
        checkArgument(failures >= 1, "failures not positive: %s", failures);
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        return Duration.ofNanos(Math.min(first.toNanos() << doublings, largest.toNanos()));
    }

    /** Returns a random delay between half of a bound and the bound. */
    public static Duration jittered(Duration bound, RandomGenerator random) {
        long nanos = bound.toNanos();
        return Duration.ofNanos(nanos / 2 + random.nextLong(nanos / 2 + 1));
    }
}
