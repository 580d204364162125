package org.fuchsiaspindle.core.slot;

import java.time.Duration;
import org.fuchsiaspindle.core.limit.TokenBucket;

/**
 * How many requests a second a target accepts from all gateways together, as it announced.
 *
 * <p>Starts without tokens, because the target got requests just before. Not thread-safe; times are
 * monotonic nanoseconds.
 */
final class RequestLimit {

    /**
     * Smallest rate in requests per second: only an answer shows that the target has lifted its
     * limit.
     */
    static final double MIN_RATE = 0.25;

    /** A burst may use what the target accepted and did not get in this time. */
    private static final Duration BURST_TIME = Duration.ofSeconds(1);

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final TokenBucket tokens;
    private double rate;

    RequestLimit(double requestsPerSecond, long now) {
        this.tokens = TokenBucket.full(0, 0, now);
        setRate(requestsPerSecond, now);
    }

    void setRate(double requestsPerSecond, long now) {
        rate = Math.max(MIN_RATE, requestsPerSecond);
        tokens.configure(rate, Math.max(1, rate * BURST_TIME.toSeconds()), now);
    }

    boolean allowsOnline(long now) {
        return tokens.untilNext(now, BURST_TIME).isZero();
    }

    /** Returns whether the target has capacity that online requests have not used for a while. */
    boolean allowsBatch(long now) {
        return tokens.isFull(now);
    }

    /** Takes the token of a request, which may be missing after a change of the rate. */
    void take(long now) {
        tokens.tryTake(now);
    }

    /** Returns how many slots requests can occupy on average if each takes some time. */
    double occupiedSlots(double holdNanos) {
        return rate * holdNanos / NANOS_PER_SECOND;
    }
}
