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

    /** A batch item leaves one token to the next online request. */
    private static final double MIN_TOKENS_FOR_BATCH = 2;

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final TokenBucket tokens;
    private double rate;
    private double capacity;

    RequestLimit(double requestsPerSecond, long now) {
        this.tokens = TokenBucket.full(0, 0, now);
        setRate(requestsPerSecond, now);
    }

    void setRate(double requestsPerSecond, long now) {
        rate = Math.max(MIN_RATE, requestsPerSecond);
        capacity = Math.max(1, rate * BURST_TIME.toSeconds());
        tokens.configure(rate, capacity, now);
    }

    boolean allowsOnline(long now) {
        return tokens.untilNext(now, BURST_TIME).isZero();
    }

    /** Returns whether the target has capacity that online requests have not used for a while. */
    boolean allowsBatch(long now) {
        return tokens.holds(Math.min(capacity, Math.max(MIN_TOKENS_FOR_BATCH, capacity / 2)), now);
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
