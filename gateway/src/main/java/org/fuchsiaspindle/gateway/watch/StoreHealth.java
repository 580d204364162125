package org.fuchsiaspindle.gateway.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.fuchsiaspindle.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tracks whether the store is reachable from this process, and since when; thread-safe. */
public final class StoreHealth {

    private static final Logger LOG = LoggerFactory.getLogger(StoreHealth.class);

    private final Clock clock;
    private boolean reachable;
    private boolean everReachable;
    private long lastSuccessNanos;
    private long recoveredAtNanos;

    private StoreHealth(Clock clock) {
        this.clock = clock;
    }

    /** Creates a tracker for a store that has not responded yet. */
    public static StoreHealth create(Clock clock) {
        return new StoreHealth(checkNotNull(clock, "clock"));
    }

    /** Records that the store served a call. */
    public synchronized void recordSuccess() {
        long now = clock.nanoTime();
        if (!reachable) {
            LOG.info(
                    "store: regained after={}ms",
                    everReachable ? Duration.ofNanos(now - lastSuccessNanos).toMillis() : 0);
            recoveredAtNanos = everReachable ? now : recoveredAtNanos;
        }
        reachable = true;
        everReachable = true;
        lastSuccessNanos = now;
    }

    /** Records that a call failed or was rejected by the store. */
    public synchronized void recordFailure(String reason) {
        if (reachable || !everReachable) {
            LOG.warn("store: lost reason={}", reason);
        }
        reachable = false;
    }

    /** Returns whether the store served the last call. */
    public synchronized boolean isReachable() {
        return reachable;
    }

    /** Returns the time since the store last served a call, or one day if it never served one. */
    public synchronized Duration sinceLastSuccess() {
        return everReachable
                ? Duration.ofNanos(clock.nanoTime() - lastSuccessNanos)
                : Duration.ofDays(1);
    }

    /** Returns whether the store is unreachable or recovered less than the given time ago. */
    public synchronized boolean isUnreachableOrRecovering(Duration recoveryTime) {
        if (!reachable) {
            return true;
        }
        return recoveredAtNanos != 0
                && clock.nanoTime() - recoveredAtNanos < recoveryTime.toNanos();
    }
}
