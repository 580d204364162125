package org.fuchsiaspindle.cli;

import java.util.Optional;

/** Describes what the outcomes in gateway logs mean for the caller. */
final class OutcomeDescriptions {

    private OutcomeDescriptions() {}

    /** Returns a description of the outcome in a line, or empty if there is no known outcome. */
    static Optional<String> describe(LogLine line) {
        String reason = line.field("reason").orElse("");
        return line.field("outcome")
                .flatMap(outcome -> Optional.ofNullable(description(outcome, reason)));
    }

    private static String description(String outcome, String reason) {
        return switch (outcome) {
            case "answered" -> "The target's response was forwarded with status " + reason + ".";
            case "refused" -> "Refused, and it did not run: " + refusalReason(reason);
            case "expired" ->
                    "No response in time; it may have run. Limit reached: " + reason + ".";
            case "cut" ->
                    "The response was cut off after it had started. Limit reached: " + reason + ".";
            case "lost" ->
                    "The target failed after the request was sent, and the request must not run on"
                            + " another target.";
            case "resent" -> "The target failed; the request was resent to another one.";
            case "refused_by_target" -> "A target refused it without running it.";
            case "client_gone" ->
                    "The client closed its connection before the response was complete.";
            case "not_found" -> "No route of the configuration in force matches it.";
            case "completed" -> "The item completed; its result is listed once it is stored.";
            case "given_up" -> "The item was abandoned: " + reason + ".";
            case "again" -> "The item was interrupted and will be retried.";
            case "waiting" -> "The item waits: " + reason + ".";
            case "accepted" -> "The job is stored, and its items are being run.";
            case "dropped" -> "This process no longer runs the job: " + reason + ".";
            case "open" -> "It is unknown whether the job was stored; the client resubmits it.";
            case "not_stored" ->
                    "The job could not be written to the store; the submission is retried.";
            default -> null;
        };
    }

    private static String refusalReason(String reason) {
        return switch (reason) {
            case "OVERLOADED" -> "the requests ahead of it would have taken too long.";
            case "DEADLINE_UNREACHABLE" -> "it waited, and no target became free in time.";
            case "NO_TARGET" -> "every target refused it or could not be reached.";
            case "PROMPT_QUARANTINED" ->
                    "a part of its prompt crashed targets and is kept from them for some time.";
            case "REQUEST_TOO_LARGE" -> "it needs more memory than a target has in all.";
            case "JOB_LIMITED" -> "the route's limit of waiting tokens was reached.";
            case "TABLE_UNAVAILABLE" -> "the store was unavailable.";
            default -> reason + ".";
        };
    }
}
