package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * How a run on a target went, as the gateway that sent it reports it with the release of the slot.
 *
 * @param outcome how it ended, not null
 * @param events the number of events received, 0 for a response that is no stream
 * @param timeToFirstEvent the time from sending the request to the first event, empty if there was
 *     none
 * @param timeHeld the time from sending the request to the end, zero if it was not sent or if the
 *     client read too slowly
 */
public record RunReport(
        LeaseOutcome outcome, int events, Optional<Duration> timeToFirstEvent, Duration timeHeld) {

    /** Validates the components. */
    public RunReport {
        checkNotNull(outcome, "outcome");
        checkNotNull(timeToFirstEvent, "timeToFirstEvent");
        checkNotNull(timeHeld, "timeHeld");
    }

    /** Returns the report of a slot that was used for no run. */
    public static RunReport unused(LeaseOutcome outcome) {
        return new RunReport(outcome, 0, Optional.empty(), Duration.ZERO);
    }
}
