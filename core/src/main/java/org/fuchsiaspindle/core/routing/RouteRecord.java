package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;

/**
 * A routing decision with its request, as kept for the explain command.
 *
 * @param requestId the identifier of the request
 * @param attempt the number of the attempt
 * @param customer the customer
 * @param service the model or service
 * @param time the wall-clock time of the decision
 * @param decision the decision
 */
public record RouteRecord(
        String requestId,
        int attempt,
        String customer,
        String service,
        Instant time,
        RouteDecision decision) {

    /** Validates the components. */
    public RouteRecord {
        checkNotNull(requestId, "requestId");
        checkNotNull(customer, "customer");
        checkNotNull(service, "service");
        checkNotNull(time, "time");
        checkNotNull(decision, "decision");
    }

    /** Returns the fields of the log line, without a prefix. */
    public String describe() {
        return "request="
                + requestId
                + " attempt="
                + attempt
                + " customer="
                + customer
                + " service="
                + service
                + " target="
                + decision.chosen().map(chosen -> chosen.target().id()).orElse("none")
                + " reason="
                + decision.reason().wireName()
                + " candidates="
                + decision.candidates();
    }
}
