package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Collection;

/**
 * Decides whether a target is silent for one gateway, that is, whether it sends no data although
 * calls of the gateway wait for it.
 *
 * <p>A silence is evidence against the calls that met it and their connections, not against the
 * target for ever: the connections may be dead while the target is sound. Calls that start later
 * are trials. A trial confirms the silence if it gets no data in a time that doubles with each
 * trial that fails in a row, so that a target that is only slow is found sound in the end; any data
 * ends the silence. Not thread-safe; times are monotonic nanoseconds.
 */
public final class TargetSilence {

    /** A target is silent if it sends no data for longer than this while streams run there. */
    static final Duration STREAM_LIMIT = Duration.ofMillis(700);

    /** The same limit if no response that sends data before it is complete is awaited. */
    static final Duration UNARY_LIMIT = Duration.ofMillis(2500);

    /** Time between two trials. */
    static final Duration TRIAL_INTERVAL = Duration.ofMillis(1500);

    /** Time that the first trial gets if a caller waits for it. */
    static final Duration ONLINE_TRIAL_TIME = Duration.ofMillis(300);

    /** Time that the first trial gets if it is a batch item, which loses little by waiting. */
    static final Duration BATCH_TRIAL_TIME = Duration.ofMillis(1400);

    private static final int MAX_DOUBLINGS = 4;

    private boolean silent;
    private long lastDataNanos;
    private long lastCallNanos;
    private long confirmedNanos;
    private int failedTrials;

    /**
     * A call that waits for data of the target.
     *
     * @param startNanos when it was started, or when the gateway last resumed reading its response
     * @param isStream whether its response is a stream of events
     * @param isOnline whether a caller waits for the response
     */
    public record WaitingCall(long startNanos, boolean isStream, boolean isOnline) {}

    /**
     * Creates the state of a target of which nothing is known.
     *
     * @param now the time
     */
    public TargetSilence(long now) {
        lastDataNanos = now;
        lastCallNanos = now;
    }

    /** Returns whether the target has been found silent and no data has come since. */
    public boolean isSilent() {
        return silent;
    }

    /** Returns whether a new call may be made: any to a target in use, a trial to a silent one. */
    public boolean acceptsCalls(long now) {
        return !silent || now - lastCallNanos > TRIAL_INTERVAL.toNanos();
    }

    /** Returns whether a call met the silence, so that it waits in vain. */
    public boolean isMetBy(long callStartNanos) {
        return silent && callStartNanos - confirmedNanos <= 0;
    }

    /** Records the start of a call. */
    public void callStarted(long now) {
        lastCallNanos = now;
    }

    /**
     * Records data from the target.
     *
     * @return whether this ends a silence
     */
    public boolean dataReceived(long now) {
        boolean ends = silent;
        lastDataNanos = now;
        silent = false;
        failedTrials = 0;
        return ends;
    }

    /**
     * Checks the calls that wait for data.
     *
     * @param calls all calls at the target that wait for data, not null
     * @param now the time
     * @return whether this found or confirmed a silence
     */
    public boolean check(Collection<WaitingCall> calls, long now) {
        checkNotNull(calls, "calls");
        if (!silent) {
            if (waitsTooLong(calls, now)) {
                confirm(now);
                return true;
            }
            return false;
        }
        if (calls.stream().anyMatch(call -> hasFailedAsTrial(call, now))) {
            failedTrials++;
            confirm(now);
            return true;
        }
        return false;
    }

    private boolean waitsTooLong(Collection<WaitingCall> calls, long now) {
        if (calls.isEmpty()) {
            return false;
        }
        long longestNanos = 0;
        for (WaitingCall call : calls) {
            longestNanos = Math.max(longestNanos, now - call.startNanos());
        }
        long silentNanos = Math.min(longestNanos, now - lastDataNanos);
        boolean anyStream = calls.stream().anyMatch(WaitingCall::isStream);
        return silentNanos > (anyStream ? STREAM_LIMIT : UNARY_LIMIT).toNanos();
    }

    private boolean hasFailedAsTrial(WaitingCall call, long now) {
        Duration first = call.isOnline() ? ONLINE_TRIAL_TIME : BATCH_TRIAL_TIME;
        long limitNanos = first.toNanos() << Math.min(failedTrials, MAX_DOUBLINGS);
        return !isMetBy(call.startNanos()) && now - call.startNanos() > limitNanos;
    }

    private void confirm(long now) {
        silent = true;
        confirmedNanos = now;
        lastCallNanos = now;
    }
}
