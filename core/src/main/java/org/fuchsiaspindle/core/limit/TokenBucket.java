package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * A token bucket with adjustable rate and capacity.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. All operations are O(1).
 */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double rate;
    private double capacity;
    private double tokens;
    private long lastRefillNanos;

    private TokenBucket(double rate, double capacity, long nowNanos) {
        this.rate = rate;
        this.capacity = capacity;
        this.tokens = capacity;
        this.lastRefillNanos = nowNanos;
    }

    /**
     * Creates a full bucket.
     *
     * @param rate the tokens per second, not negative
     * @param capacity the largest number of tokens, not negative
     * @param nowNanos the time
     */
    public static TokenBucket full(double rate, double capacity, long nowNanos) {
        checkParameters(rate, capacity);
        return new TokenBucket(rate, capacity, nowNanos);
    }

    /**
     * Creates an empty bucket.
     *
     * @param rate the tokens per second, not negative
     * @param capacity the largest number of tokens, not negative
     * @param nowNanos the time
     */
    public static TokenBucket empty(double rate, double capacity, long nowNanos) {
        TokenBucket bucket = full(rate, capacity, nowNanos);
        bucket.tokens = 0;
        return bucket;
    }

    /**
     * Changes rate and capacity from the given time on. Tokens above the new capacity are
     * discarded; a larger capacity fills only over time, so that repeated changes create no tokens.
     */
    public void configure(double newRate, double newCapacity, long nowNanos) {
        checkParameters(newRate, newCapacity);
        refill(nowNanos);
        rate = newRate;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes one token if available; returns whether it did. */
    public boolean tryTake(long nowNanos) {
        refill(nowNanos);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Adds tokens; those above the capacity are discarded. */
    public void add(double count, long nowNanos) {
        checkArgument(count >= 0, "negative number of tokens: %s", count);
        refill(nowNanos);
        tokens = Math.min(capacity, tokens + count);
    }

    /** Removes tokens, as many as there are at most. */
    public void remove(double count, long nowNanos) {
        checkArgument(count >= 0, "negative number of tokens: %s", count);
        refill(nowNanos);
        tokens = Math.max(0, tokens - count);
    }

    /** Returns the time until a token is available, or the given maximum if that is shorter. */
    public Duration untilNext(long nowNanos, Duration atMost) {
        refill(nowNanos);
        double missing = 1 - tokens;
        if (missing <= 0) {
            return Duration.ZERO;
        }
        double nanos = rate > 0 ? missing / rate * NANOS_PER_SECOND : Double.MAX_VALUE;
        return nanos >= atMost.toNanos() ? atMost : Duration.ofNanos((long) Math.ceil(nanos));
    }

    /** Returns whether the bucket holds at least the given number of tokens. */
    public boolean holds(double count, long nowNanos) {
        refill(nowNanos);
        return tokens >= count;
    }

    /** Returns true if the bucket is full. */
    public boolean isFull(long nowNanos) {
        refill(nowNanos);
        return tokens >= capacity;
    }

    private void refill(long nowNanos) {
        long elapsed = Math.max(0, nowNanos - lastRefillNanos);
        tokens = Math.min(capacity, tokens + rate * elapsed / NANOS_PER_SECOND);
        lastRefillNanos += elapsed;
    }

    private static void checkParameters(double rate, double capacity) {
        checkArgument(rate >= 0, "negative rate: %s", rate);
        checkArgument(capacity >= 0, "negative capacity: %s", capacity);
    }
}
