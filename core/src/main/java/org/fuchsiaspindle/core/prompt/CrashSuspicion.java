package org.fuchsiaspindle.core.prompt;

import java.time.Duration;

/**
 * Decides whether one request may be the reason if its target crashes now.
 *
 * <p>A prompt that crashes targets does so when the target starts to answer. A target that goes on
 * for some time after that was not crashed by the request. Not thread-safe; times are monotonic
 * nanoseconds.
 */
public final class CrashSuspicion {

    /** Time for which a target must go on after the start of a response. */
    static final Duration SURVIVAL_TIME = Duration.ofMillis(250);

    private boolean started;
    private boolean cleared;
    private long startedNanos;

    /** Creates the suspicion of a request without a response. */
    public CrashSuspicion() {}

    /**
     * Records that a part of the response has arrived.
     *
     * @return whether this is the part that clears the request
     */
    public boolean recordData(long now) {
        if (cleared) {
            return false;
        }
        if (!started) {
            started = true;
            startedNanos = now;
        }
        cleared = now - startedNanos > SURVIVAL_TIME.toNanos();
        return cleared;
    }

    /**
     * Records that the response is a complete success.
     *
     * @return whether this clears the request
     */
    public boolean recordSuccess() {
        boolean wasCleared = cleared;
        cleared = true;
        return !wasCleared;
    }

    /** Returns whether the request may be the reason if its target crashes now. */
    public boolean isSuspect() {
        return !cleared;
    }
}
