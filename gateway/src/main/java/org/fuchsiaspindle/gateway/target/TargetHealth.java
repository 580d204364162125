package org.fuchsiaspindle.gateway.target;

import java.time.Duration;
import org.fuchsiaspindle.core.membership.Backoff;

/**
 * Decides from the outcomes of calls whether a target receives new calls.
 *
 * <p>A target that refuses connections is ejected for a time that doubles with each consecutive
 * failure, and so is one that broke the protocol several times in a row. A target that sends no
 * data although calls run on it is silent: it is ejected until it sends data, and probed with a
 * single call at intervals. Not thread-safe; times are monotonic nanoseconds.
 */
final class TargetHealth {

    /** A target with running event streams is silent if it sends no data for longer than this. */
    static final Duration STREAM_SILENCE_LIMIT = Duration.ofMillis(700);

    /**
     * The same limit for targets whose running calls send no data before the response is complete.
     */
    static final Duration UNARY_SILENCE_LIMIT = Duration.ofMillis(2500);

    private static final Duration INITIAL_EJECTION_TIME = Duration.ofMillis(250);
    private static final Duration MAX_EJECTION_TIME = Duration.ofSeconds(4);

    /** Time for which a target that refused a request because it was full receives no new one. */
    private static final Duration FULL_BACKOFF = Duration.ofMillis(60);

    /** Time between two probe calls to a silent target. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(1500);

    /** Number of consecutive violations of the protocol from which a target is ejected. */
    private static final int MIN_VIOLATIONS = 2;

    private int connectFailures;
    private int violations;
    private long blockedUntilNanos;
    private boolean blocked;
    private boolean silent;
    private long lastProbeNanos;

    boolean acceptsCalls(long now) {
        if (isBlocked(now)) {
            return false;
        }
        return !silent || now - lastProbeNanos > PROBE_INTERVAL.toNanos();
    }

    boolean isBlocked(long now) {
        return blocked && now - blockedUntilNanos < 0;
    }

    boolean isSilent() {
        return silent;
    }

    void callStarted(long now) {
        lastProbeNanos = now;
    }

    void dataReceived() {
        silent = false;
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

    /**
     * Marks the target as silent if calls have been running without data for longer than a limit.
     *
     * @return whether this check marked the target as silent
     */
    boolean checkSilence(long now, long silentSinceNanos, Duration limit) {
        if (!silent && now - silentSinceNanos > limit.toNanos()) {
            silent = true;
            lastProbeNanos = now;
            return true;
        }
        return false;
    }
}
