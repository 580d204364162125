package org.fuchsiaspindle.core.slot;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.LongStream;

/**
 * Decides from the observations of all holders whether a target is unreliable or silent.
 *
 * <p>The share of failures is an exponential moving average that halves while nothing is observed,
 * so an ejected target is tried again. Repeated observations of one holder count little, because
 * the network between it and the target may be at fault.
 *
 * <p>A target that its holders report as silent receives nothing for some time and is on trial
 * then: it receives one request at a time until data comes from it. Not thread-safe; times are
 * monotonic nanoseconds.
 */
final class TargetReliability {

    /** Share of failures from which a target receives no requests. */
    private static final double EJECTION_SHARE = 0.3;

    private static final double SAMPLE_WEIGHT = 0.2;
    private static final double REPEATED_SAMPLE_WEIGHT = 0.02;
    private static final Duration HALF_LIFE = Duration.ofSeconds(2);

    /** Time for which a target that refused a request because it was full receives no new one. */
    private static final Duration FULL_BACKOFF = Duration.ofMillis(60);

    /** Time for which a report of a silent target counts, and for which it then gets nothing. */
    private static final Duration SILENCE_REPORT_VALIDITY = Duration.ofMillis(1500);

    /** Number of holders whose reports make a target count as silent. */
    private static final int MIN_SILENCE_REPORTS = 2;

    /** Time after which a trial of which nothing was heard no longer keeps others away. */
    private static final Duration TRIAL_TIME = Duration.ofSeconds(3);

    private final Map<String, Long> silenceReportNanos = new HashMap<>();
    private double failureShare;
    private long updatedNanos;
    private String lastFailureHolder = "";
    private boolean blocked;
    private long blockedUntilNanos;
    private boolean silent;
    private long silentSinceNanos;

    /** Records whether a request of a holder failed at the target. */
    void record(String holder, boolean failed, long now) {
        failureShare = failureShare(now);
        updatedNanos = now;
        boolean repeated = failed && holder.equals(lastFailureHolder);
        double weight = repeated ? REPEATED_SAMPLE_WEIGHT : SAMPLE_WEIGHT;
        failureShare += weight * ((failed ? 1 : 0) - failureShare);
        if (failed) {
            lastFailureHolder = holder;
        } else {
            recordData();
        }
    }

    /** Records that the target refused a request because it was full. */
    void recordFull(long now) {
        blocked = true;
        blockedUntilNanos = now + FULL_BACKOFF.toNanos();
    }

    /**
     * Records that the target sends no data to a holder although requests run there. One report is
     * enough of a target on trial.
     *
     * @param holder the holder
     * @param holders how many gateways hold slots of the target
     * @param now the time
     */
    void recordSilence(String holder, int holders, long now) {
        silenceReportNanos.put(holder, now);
        silenceReportNanos
                .values()
                .removeIf(nanos -> now - nanos > SILENCE_REPORT_VALIDITY.toNanos());
        if (silent || silenceReportNanos.size() >= Math.min(MIN_SILENCE_REPORTS, holders)) {
            silent = true;
            silentSinceNanos = now;
        }
    }

    /** Records that data came from the target, so that it is not silent. */
    void recordData() {
        silent = false;
        silenceReportNanos.clear();
    }

    /** Returns the share of failures, between 0 and 1. */
    double failureShare(long now) {
        double halfLives = (double) (now - updatedNanos) / HALF_LIFE.toNanos();
        return failureShare * Math.pow(0.5, halfLives);
    }

    /** Returns whether too many requests fail at the target. */
    boolean isUnreliable(long now) {
        return failureShare > EJECTION_SHARE && failureShare(now) > EJECTION_SHARE;
    }

    /** Returns whether the target refuses requests because it is full. */
    boolean isBlocked(long now) {
        return blocked && now - blockedUntilNanos < 0;
    }

    /** Returns whether the target was reported as silent and no data has come since. */
    boolean isSilent() {
        return silent;
    }

    /**
     * Returns whether a silent target gets no trial at the moment.
     *
     * @param grantedNanos when the slots that are held were granted
     * @param now the time
     */
    boolean isWithheld(LongStream grantedNanos, long now) {
        if (now - silentSinceNanos <= SILENCE_REPORT_VALIDITY.toNanos()) {
            return true;
        }
        return grantedNanos.anyMatch(
                nanos -> nanos - silentSinceNanos > 0 && now - nanos < TRIAL_TIME.toNanos());
    }
}
