package org.fuchsiaspindle.core.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Decision on a call with an idempotency key. */
public enum IdempotencyDecision {
    /** The call may run once its record is written. */
    RUN,
    /** The call receives the stored response. */
    ANSWER,
    /** The call is refused, because the key was used for a call with different content. */
    CONFLICT,
    /** The call waits for the first call to end. */
    IN_PROGRESS,
    /** The call is refused, because the first call may have run. */
    OUTCOME_UNKNOWN;

    /** Time past its limit after which a started call is considered lost; allows for clock skew. */
    private static final Duration STALE_MARGIN = Duration.ofMinutes(5);

    /**
     * Returns the decision for the record of the first call.
     *
     * <p>Another run is permitted only if the record states that the call certainly did not run. It
     * is not permitted if the entry of a started call appears to be lost, because the entry may be
     * partitioned from this process and still be running the call.
     *
     * @param record the record, empty if there is none
     * @param digest digest of the content of the new call
     * @param holderGone true if the entry in the record is no longer known to run
     * @param now wall-clock time
     */
    public static IdempotencyDecision of(
            Optional<IdempotencyRecord> record, String digest, boolean holderGone, Instant now) {
        if (record.isEmpty()) {
            return RUN;
        }
        IdempotencyRecord first = record.get();
        if (!first.digest().equals(digest)) {
            return CONFLICT;
        }
        return switch (first.state()) {
            case NOT_EXECUTED -> RUN;
            case COMPLETED -> ANSWER;
            case UNKNOWN -> OUTCOME_UNKNOWN;
            case STARTED -> holderGone || isStale(first, now) ? OUTCOME_UNKNOWN : IN_PROGRESS;
        };
    }

    private static boolean isStale(IdempotencyRecord record, Instant now) {
        return record.startedAt().plus(record.timeLimit()).plus(STALE_MARGIN).isBefore(now);
    }
}
