package org.fuchsiaspindle.core.slot;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.fuchsiaspindle.core.serving.RequestQueue.Entry;
import org.fuchsiaspindle.core.slot.SlotDecision.Refusal;

/**
 * Decides which online requests are refused although they could wait, and when their callers should
 * come back.
 *
 * <p>A request that cannot start before its latest useful start is refused at once. So is a request
 * that can only be late because of a wave: late requests give way to those on time, so it would
 * start after the wave, and its caller is better off to know that at once and to be served without
 * delay when it comes back. This holds only if the end of the wave is known and early enough for
 * the caller to come back, and while the caller has hardly waited; otherwise the request waits.
 * Return times are spaced, so that those who come back make no wave themselves.
 *
 * <p>Requests without a workspace are refused only if they cannot start in time, with the expected
 * wait. Not thread-safe; times are monotonic nanoseconds.
 */
final class RejectionPolicy {

    /** Callers wait for a retry no longer than the time that they have left divided by this. */
    private static final int RETRY_TIME_DIVISOR = 3;

    /** The expected wait in multiples of the time left from which a request is surely late. */
    private static final double SURELY_LATE = 1.5;

    /** A refusal helps the caller if it comes in the latency target divided by this. */
    private static final int EARLY_REFUSAL_DIVISOR = 4;

    /** Part of the slots that requests which come back may take. */
    private static final double RETURN_SHARE = 0.5;

    private final OnlineWaves waves;
    private OptionalLong nextReturnNanos = OptionalLong.empty();

    /**
     * Why a request is refused, and when its caller should come back.
     *
     * @param reason the reason
     * @param retryAfter the time from now
     */
    record Rejection(Refusal reason, Duration retryAfter) {}

    RejectionPolicy(OnlineWaves waves) {
        this.waves = waves;
    }

    /**
     * Returns whether a request is refused because it cannot start in time.
     *
     * @param request the request
     * @param reason the reason to give
     * @param expectedWait how long it would wait
     * @param now the time
     */
    Optional<Rejection> ifTooLate(
            SlotRequest request, Refusal reason, Duration expectedWait, long now) {
        boolean inTime = now + expectedWait.toNanos() - request.startUntilNanos() <= 0;
        return inTime
                ? Optional.empty()
                : Optional.of(new Rejection(reason, returnTime(request, expectedWait, now)));
    }

    private Duration returnTime(SlotRequest request, Duration expectedWait, long now) {
        if (request.workspace().isEmpty()) {
            return expectedWait;
        }
        Duration untilWaveEnd = waves.timeUntilWaveEnd(now).orElse(Duration.ZERO);
        return untilWaveEnd.compareTo(expectedWait) > 0 ? untilWaveEnd : expectedWait;
    }

    /**
     * Returns whether a request that can start in time is refused because it would be served better
     * after the present wave.
     *
     * @param entry the request
     * @param expectedWait how long it would wait if no further requests arrived
     * @param timePerRequest the time between two starts of waiting requests
     * @param now the time
     */
    Optional<Rejection> ifBetterAfterWave(
            Entry<SlotRequest> entry, Duration expectedWait, Duration timePerRequest, long now) {
        Optional<Duration> untilWaveEnd = waves.timeUntilWaveEnd(now);
        if (entry.workspace().isEmpty()
                || untilWaveEnd.isEmpty()
                || !isSurelyLate(entry, expectedWait, now)
                || !isEarly(entry, now)) {
            return Optional.empty();
        }
        long waveEndNanos = now + untilWaveEnd.get().toNanos();
        long nextNanos = nextReturnNanos.orElse(waveEndNanos);
        long returnNanos = nextNanos - waveEndNanos > 0 ? nextNanos : waveEndNanos;
        if (returnNanos - now > (entry.startUntilNanos() - now) / RETRY_TIME_DIVISOR) {
            return Optional.empty();
        }
        nextReturnNanos =
                OptionalLong.of(returnNanos + (long) (timePerRequest.toNanos() / RETURN_SHARE));
        return Optional.of(new Rejection(Refusal.POSTPONED, Duration.ofNanos(returnNanos - now)));
    }

    private static boolean isSurelyLate(Entry<SlotRequest> entry, Duration expectedWait, long now) {
        return expectedWait.toNanos() > SURELY_LATE * (entry.onTimeUntilNanos() - now);
    }

    /** Returns whether a request could be on time when it came and has hardly waited since. */
    private static boolean isEarly(Entry<SlotRequest> entry, long now) {
        long timeOnArrival = entry.onTimeUntilNanos() - entry.queuedNanos();
        return now - entry.queuedNanos() < timeOnArrival / EARLY_REFUSAL_DIVISOR;
    }
}
