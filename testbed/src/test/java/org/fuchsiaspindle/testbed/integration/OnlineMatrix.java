package org.fuchsiaspindle.testbed.integration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.load.CallOutcome.CLOSED;
import static org.fuchsiaspindle.testbed.load.CallOutcome.NOT_EXECUTED;
import static org.fuchsiaspindle.testbed.load.CallOutcome.UNKNOWN;
import static org.fuchsiaspindle.testbed.load.CallOutcome.WHOLE;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.approvaltests.approvers.FileApprover;
import org.fuchsiaspindle.testbed.load.CallKind;
import org.fuchsiaspindle.testbed.load.CallOutcome;

/** The outcomes that each fault allows for an online call, and the page that documents them. */
final class OnlineMatrix {

    /** When a call is sent in relation to a fault. */
    enum CallPhase {
        RUNNING("Calls that run when the fault strikes"),
        DURING("Calls that are sent while the fault lasts"),
        RESENT("The first calls, sent again at another entry after the fault");

        private final String title;

        CallPhase(String title) {
            this.title = title;
        }

        String title() {
            return title;
        }
    }

    private static final String PAGE = "fault-matrix-online.md";

    private static final String HEADER =
            """
            # Fault matrix of online calls

            Written by `OnlineFaultMatrixTest`; do not edit. Each cell names the outcomes that the
            caller may see; the test fails on any other. The fleet has two entries, three engines
            and one plain service, each process behind its own proxies. The fault hits the agents
            that run the calls, or their targets, or the entry that took the calls. Whatever the
            outcome is, the ledgers of the targets must agree: a whole answer is the expected
            one, a call that may not be repeated ran at most once, and a call that was refused
            as not executed did not run, also not later.
            """;

    private OnlineMatrix() {}

    /** Checks that the outcomes that callers saw are allowed. */
    static void verify(OnlineFault fault, CallPhase phase, Map<CallKind, CallOutcome> outcomes) {
        outcomes.forEach(
                (kind, outcome) ->
                        assertThat(outcome)
                                .as("%s, %s, %s", fault.title(), phase.title(), kind.title())
                                .isIn(allowed(fault, phase, kind)));
    }

    /** Checks that the page in {@code docs} lists exactly the allowed outcomes. */
    static void verifyPage() throws IOException {
        StringBuilder page = new StringBuilder(HEADER);
        for (CallPhase phase : CallPhase.values()) {
            page.append("\n## ").append(phase.title()).append("\n\n| fault |");
            for (CallKind kind : CallKind.values()) {
                page.append(' ').append(kind.title()).append(" |");
            }
            page.append("\n|---|").append("---|".repeat(CallKind.values().length)).append('\n');
            for (OnlineFault fault : OnlineFault.values()) {
                page.append("| ").append(fault.title()).append(" |");
                for (CallKind kind : CallKind.values()) {
                    page.append(' ').append(cell(fault, phase, kind)).append(" |");
                }
                page.append('\n');
            }
        }
        Path received = Path.of("target", PAGE);
        Files.writeString(received, page);
        Path approved = Path.of("..", "docs", PAGE);
        assertThat(
                        FileApprover.approveTextFile(received.toFile(), approved.toFile())
                                .isSuccessful())
                .as("%s equals the approved %s", received, approved)
                .isTrue();
    }

    private static String cell(OnlineFault fault, CallPhase phase, CallKind kind) {
        Set<CallOutcome> allowed = allowed(fault, phase, kind);
        return allowed.isEmpty()
                ? "not sent"
                : allowed.stream().map(CallOutcome::title).collect(Collectors.joining(", "));
    }

    private static Set<CallOutcome> allowed(OnlineFault fault, CallPhase phase, CallKind kind) {
        return switch (phase) {
            case RUNNING -> allowedRunning(fault, kind);
            case DURING -> allowedDuring(fault, kind);
            case RESENT -> allowedResent(fault, kind);
        };
    }

    private static Set<CallOutcome> allowedRunning(OnlineFault fault, CallKind kind) {
        if (fault == OnlineFault.ENTRY_KILLED) {
            return EnumSet.of(CLOSED);
        }
        // The service has only one agent, so only streams can continue at another agent.
        if (kind == CallKind.STREAMED_COMPLETION) {
            return EnumSet.of(WHOLE);
        }
        // In this partition, responses still reach the entry until one side misses heartbeats.
        return fault == OnlineFault.PARTITION_TO_AGENT
                ? EnumSet.of(WHOLE, UNKNOWN)
                : EnumSet.of(UNKNOWN);
    }

    private static Set<CallOutcome> allowedDuring(OnlineFault fault, CallKind kind) {
        return fault == OnlineFault.ENTRY_KILLED || kind == CallKind.STREAMED_COMPLETION
                ? EnumSet.of(WHOLE)
                : EnumSet.of(NOT_EXECUTED, UNKNOWN);
    }

    /** A keyed call ran at the first attempt, so resending it cannot recover a lost response. */
    private static Set<CallOutcome> allowedResent(OnlineFault fault, CallKind kind) {
        return switch (kind) {
            case STREAMED_COMPLETION, REPEATABLE_CALL -> EnumSet.of(WHOLE);
            case KEYED_CALL ->
                    fault == OnlineFault.PARTITION_TO_AGENT
                            ? EnumSet.of(WHOLE, UNKNOWN)
                            : EnumSet.of(UNKNOWN);
            case UNKEYED_CALL -> EnumSet.noneOf(CallOutcome.class);
        };
    }
}
