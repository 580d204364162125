package org.fuchsiaspindle.gateway.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.fuchsiaspindle.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Remembers whether the store answers this process, and since when.
 *
 * <p>Thread-safe.
 */
public final class StoreHealth {

    private static final Logger LOG = LoggerFactory.getLogger(StoreHealth.class);

    private final Clock clock;
    private boolean reachable;
    private boolean everReached;
    private long lastAnswerNanos;
    private long regainedNanos;

    private StoreHealth(Clock clock) {
        this.clock = clock;
    }

    /** Creates a tracker for a store that has not answered yet. */
    public static StoreHealth create(Clock clock) {
        return new StoreHealth(checkNotNull(clock, "clock"));
    }

    /** Notes an answer of the store. */
    public synchronized void answered() {
        long now = clock.nanoTime();
        if (!reachable) {
            LOG.info(
                    "store: regained after={}ms",
                    everReached ? Duration.ofNanos(now - lastAnswerNanos).toMillis() : 0);
            regainedNanos = everReached ? now : regainedNanos;
        }
        reachable = true;
        everReached = true;
        lastAnswerNanos = now;
    }

    /** Notes a call that the store did not serve. */
    public synchronized void failed(String reason) {
        if (reachable || !everReached) {
            LOG.warn("store: lost reason={}", reason);
        }
        reachable = false;
    }

    /** Returns whether the last call was served. */
    public synchronized boolean isReachable() {
        return reachable;
    }

    /** Returns how long ago the store answered last, a very long time if it never did. */
    public synchronized Duration sinceLastAnswer() {
        return everReached
                ? Duration.ofNanos(clock.nanoTime() - lastAnswerNanos)
                : Duration.ofDays(1);
    }

    /** Returns whether the store is away or came back less than the given time ago. */
    public synchronized boolean isAwayOrBackFor(Duration less) {
        if (!reachable) {
            return true;
        }
        return regainedNanos != 0 && clock.nanoTime() - regainedNanos < less.toNanos();
    }
}
