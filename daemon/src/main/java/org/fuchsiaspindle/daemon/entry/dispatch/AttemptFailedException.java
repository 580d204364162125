package org.fuchsiaspindle.daemon.entry.dispatch;

import org.fuchsiaspindle.core.error.FuchsiaspindleException;

/** Thrown when one attempt of a request fails; another attempt may follow. */
final class AttemptFailedException extends Exception {

    private final transient FuchsiaspindleException failure;
    private final boolean retryAllowed;
    private final boolean ended;
    private final transient RoutedTargets.Outcome outcome;

    /**
     * Creates the exception.
     *
     * @param failure the failure that is reported to the caller if no attempt follows
     * @param retryAllowed true if another attempt is safe
     * @param ended true if the attempt has ended at the agent, so that it need not be cancelled
     * @param outcome the outcome that is recorded for the target
     */
    AttemptFailedException(
            FuchsiaspindleException failure,
            boolean retryAllowed,
            boolean ended,
            RoutedTargets.Outcome outcome) {
        super(failure.getMessage(), failure, false, false);
        this.failure = failure;
        this.retryAllowed = retryAllowed;
        this.ended = ended;
        this.outcome = outcome;
    }

    FuchsiaspindleException failure() {
        return failure;
    }

    boolean retryAllowed() {
        return retryAllowed;
    }

    boolean ended() {
        return ended;
    }

    RoutedTargets.Outcome outcome() {
        return outcome;
    }
}
