package org.fuchsiaspindle.cli;

import java.util.Optional;

/** Describes what the outcomes in the logs of gateways mean for the caller. */
final class OutcomeDescriptions {

    private OutcomeDescriptions() {}

    /** Returns a description of the outcome in a line, empty if it has none or an unknown one. */
    static Optional<String> describe(LogLine line) {
        String reason = line.field("reason").orElse("");
        return line.field("outcome")
                .flatMap(outcome -> Optional.ofNullable(description(outcome, reason)));
    }

    private static String description(String outcome, String reason) {
        return switch (outcome) {
            case "answered" -> "The target's answer was passed on with status " + reason + ".";
            case "refused" -> "Refused, and it did not run: " + refusalReason(reason);
            case "expired" -> "No answer in time; it may have run. Limit reached: " + reason + ".";
            case "cut" -> "The answer had begun and was cut off. Limit reached: " + reason + ".";
            case "lost" -> "The target failed after the request was sent, and no other may run it.";
            case "resent" -> "The target failed; the request was sent again to another one.";
            case "refused_by_target" -> "A target refused it without running it.";
            case "client_gone" ->
                    "The client closed its connection before the answer was complete.";
            case "not_found" -> "No route of the configuration in force matches it.";
            case "completed" -> "The item completed; its result is listed once it is stored.";
            case "given_up" -> "The item was given up: " + reason + ".";
            case "again" -> "The run of the item was interrupted; it is retried later.";
            case "accepted" -> "The job is stored, and its items run.";
            case "dropped" -> "This process no longer runs the job: " + reason + ".";
            case "open" -> "It is not known whether the job was stored; the client sends it again.";
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
            case "JOB_LIMITED" -> "the route's limit of waiting tokens was reached.";
            case "TABLE_UNAVAILABLE" -> "the store was unavailable.";
            default -> reason + ".";
        };
    }
}
