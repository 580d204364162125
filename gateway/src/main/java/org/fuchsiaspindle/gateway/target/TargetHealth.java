package org.fuchsiaspindle.gateway.target;

import java.time.Duration;
import org.fuchsiaspindle.core.membership.Backoff;

/**
 * Decides from the outcomes of calls whether a target receives new calls.
 *
 * <p>A target that refuses connections is ejected for a time that doubles with each consecutive
 * failure, and so is one that broke the protocol several times in a row. Not thread-safe; times are
 * monotonic nanoseconds.
 */
final class TargetHealth {

    private static final Duration INITIAL_EJECTION_TIME = Duration.ofMillis(250);
    private static final Duration MAX_EJECTION_TIME = Duration.ofSeconds(4);

    /** Time for which a target that refused a request because it was full receives no new one. */
    private static final Duration FULL_BACKOFF = Duration.ofMillis(60);

    /** Number of consecutive violations of the protocol from which a target is ejected. */
    private static final int MIN_VIOLATIONS = 2;

    private int connectFailures;
    private int violations;
    private long blockedUntilNanos;
    private boolean blocked;

    boolean isBlocked(long now) {
        return blocked && now - blockedUntilNanos < 0;
    }

    void dataReceived() {
        connectFailures = 0;
        blocked &= violations >= MIN_VIOLATIONS;
    }

    void connectFailed(long now) {
        connectFailures++;
        block(now, Backoff.bound(connectFailures, INITIAL_EJECTION_TIME, MAX_EJECTION_TIME));
    }

    /** Records a response that was malformed or did not end. */
    void protocolViolated(long now) {
        violations++;
        if (violations >= MIN_VIOLATIONS) {
            int ejections = violations - MIN_VIOLATIONS + 1;
            block(now, Backoff.bound(ejections, INITIAL_EJECTION_TIME, MAX_EJECTION_TIME));
        }
    }

    /** Records a complete response. */
    void responseCompleted() {
        violations = 0;
    }

    void refusedAsFull(long now) {
        block(now, FULL_BACKOFF);
    }

    private void block(long now, Duration time) {
        blocked = true;
        blockedUntilNanos = now + time.toNanos();
    }
}
