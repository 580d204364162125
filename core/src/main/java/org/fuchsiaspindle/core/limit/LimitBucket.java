package org.fuchsiaspindle.core.limit;

import java.time.Duration;

/**
 * The tokens of one workspace at a granter.
 *
 * <p>Rate and capacity are the granter's share of the limit. The bucket behaves as if it had
 * existed, empty, since the granter held its first slice. Not thread-safe. Times are monotonic
 * nanoseconds.
 */
final class LimitBucket {

    /** Tokens by which the capacity exceeds the burst, so that a limit without a burst works. */
    private static final double EXTRA_CAPACITY = 4;

    /** Tokens that all slices together bring when they come to a granter. */
    private static final double START_TOKENS = 2.5;

    /** Upper bound of the announced time until a permit is likely. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    /** Upper bound while slices are missing; most are lent again sooner. */
    private static final Duration MAX_RETRY_AFTER_WITHOUT_SHARE = Duration.ofSeconds(1);

    /** Time after a change of the share during which more slices are likely to come. */
    private static final Duration MOVE_TIME = Duration.ofMillis(300);

    /** Announced time while slices move; a move takes a few round trips between gateways. */
    private static final Duration RETRY_AFTER_WHILE_MOVING = Duration.ofMillis(20);

    private final ShareHistory history;
    private VersionedLimit limit;
    private TokenBucket tokens;
    private int position;
    private long promisedUntilNanos;

    /**
     * Creates a bucket.
     *
     * @param history the share of the limit that the granter holds
     * @param limit the limit
     * @param nowNanos the time
     */
    LimitBucket(ShareHistory history, VersionedLimit limit, long nowNanos) {
        this.history = history;
        this.limit = limit;
        this.tokens = TokenBucket.empty(0, 0, nowNanos);
        this.position = -1;
        this.promisedUntilNanos = nowNanos;
        replay();
    }

    /** Applies a limit if it is newer than the one known. */
    void update(VersionedLimit newLimit, long nowNanos) {
        replay();
        if (newLimit.version() > limit.version()) {
            limit = newLimit;
            configure(history.share(), nowNanos);
        }
    }

    /** Takes up to a number of tokens; returns how many. */
    int take(int count, long nowNanos) {
        replay();
        int taken = 0;
        while (taken < count && tokens.tryTake(nowNanos)) {
            taken++;
        }
        return taken;
    }

    /** Puts back tokens that were taken. */
    void putBack(int count, long nowNanos) {
        replay();
        tokens.add(count, nowNanos);
    }

    /**
     * Returns the time until a token is likely for one more request, and counts that request among
     * those that will come back.
     */
    Duration promise(long nowNanos) {
        replay();
        double share = history.share();
        boolean recentlyChanged =
                history.isEmpty() || nowNanos - history.lastChangeNanos() < MOVE_TIME.toNanos();
        if (share < 1 && recentlyChanged) {
            return RETRY_AFTER_WHILE_MOVING;
        }
        Duration longest = share < 1 ? MAX_RETRY_AFTER_WITHOUT_SHARE : MAX_RETRY_AFTER;
        Duration untilNext = tokens.untilNext(nowNanos, longest);
        long waitNanos = Math.max(untilNext.toNanos(), promisedUntilNanos - nowNanos);
        if (share == 0 || waitNanos >= longest.toNanos()) {
            return longest;
        }
        double rate = limit.limit().requestsPerSecond() * share;
        long interval = (long) Math.min(Duration.ofSeconds(1).toNanos() / rate, longest.toNanos());
        promisedUntilNanos = nowNanos + waitNanos + interval;
        return Duration.ofNanos(waitNanos);
    }

    /** Returns whether a part of the start tokens can be removed. */
    boolean canPay(double startShare, long nowNanos) {
        replay();
        return tokens.holds(START_TOKENS * startShare, nowNanos);
    }

    /** Returns whether a new bucket would hold as many tokens. */
    boolean isFull(long nowNanos) {
        replay();
        return tokens.isFull(nowNanos);
    }

    private void replay() {
        if (position < history.first()) {
            position = history.first();
            if (position == history.end()) {
                return;
            }
            tokens = TokenBucket.empty(0, 0, history.change(position).atNanos());
        }
        for (; position < history.end(); position++) {
            ShareHistory.Change change = history.change(position);
            double startTokens = START_TOKENS * change.startShare();
            if (startTokens < 0) {
                // Before the capacity shrinks: what exceeds it is removed anyway.
                tokens.remove(-startTokens, change.atNanos());
            }
            configure(change.share(), change.atNanos());
            if (startTokens > 0) {
                tokens.add(startTokens, change.atNanos());
            }
        }
    }

    private void configure(double share, long nowNanos) {
        RateLimit current = limit.limit();
        tokens.configure(
                current.requestsPerSecond() * share,
                (current.burst() + EXTRA_CAPACITY) * share,
                nowNanos);
    }
}
