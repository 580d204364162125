package org.fuchsiaspindle.testbed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet.Link;
import org.fuchsiaspindle.testbed.fleet.StandIns;
import org.fuchsiaspindle.testbed.ledger.EngineRun;
import org.fuchsiaspindle.testbed.load.CallKind;
import org.fuchsiaspindle.testbed.load.CallOutcome;
import org.fuchsiaspindle.testbed.load.MarkedCall;
import org.fuchsiaspindle.testbed.load.MarkedCall.Result;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against incorrect or mismatched responses, repeated runs of calls that may run at most
 * once, and errors that report an executed call as not executed. Covers every combination of fault
 * and kind of online call.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class OnlineFaultMatrixTest {

    private static final String FIRST_ENTRY = "entry-1";
    private static final String SECOND_ENTRY = "entry-2";
    private static final int ENTRIES = 2;
    private static final int ENGINES = 3;

    /** Output length of a call, large enough that the fault is injected before the stream ends. */
    private static final int TOKENS = 200;

    private static final int TOKENS_BEFORE_FAULT = 3;

    private record CompletedCall(MarkedCall call, Result result) {}

    private final Map<CallKind, MarkedCall> inFlight = new EnumMap<>(CallKind.class);
    private final List<CompletedCall> completedCalls = new ArrayList<>();
    private TestFleet fleet;

    @BeforeAll
    void startFleet() {
        fleet = TestFleet.start(ENTRIES, ENGINES);
    }

    @AfterAll
    void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    void pageShowsTheAllowedOutcomes() throws Exception {
        OnlineMatrix.verifyPage();
    }

    @ParameterizedTest
    @EnumSource(OnlineFault.class)
    void reportedOutcomesMatchTheLedgers(OnlineFault fault) throws Exception {
        Map<CallKind, CompletedCall> running;
        Map<CallKind, CompletedCall> during;
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            fleet.processes().proxy(TestFleet.SERVICE_AGENT, Link.TARGET).toCaller().setHeld(true);
            Map<CallKind, Future<CompletedCall>> sent = send(threads, FIRST_ENTRY);
            ImmutableSet<String> agents = awaitRunning();
            fault.inject(fleet.processes(), FIRST_ENTRY, agents);
            fleet.processes().proxy(TestFleet.SERVICE_AGENT, Link.TARGET).toCaller().setHeld(false);
            String entry = fault == OnlineFault.ENTRY_KILLED ? SECOND_ENTRY : FIRST_ENTRY;
            Map<CallKind, Future<CompletedCall>> sentDuring = send(threads, entry);
            running = results(sent);
            during = results(sentDuring);
            fault.clear(fleet.processes(), FIRST_ENTRY, agents);
        }
        fleet.awaitServing();
        Map<CallKind, CompletedCall> resent = resend(running);

        OnlineMatrix.verify(fault, OnlineMatrix.CallPhase.RUNNING, outcomes(running));
        OnlineMatrix.verify(fault, OnlineMatrix.CallPhase.DURING, outcomes(during));
        OnlineMatrix.verify(fault, OnlineMatrix.CallPhase.RESENT, outcomes(resent));
        Result first = running.get(CallKind.KEYED_CALL).result();
        if (first.outcome() == CallOutcome.WHOLE) {
            assertThat(resent.get(CallKind.KEYED_CALL).result()).isEqualTo(first);
        }
        for (Map<CallKind, CompletedCall> calls : List.of(running, during, resent)) {
            completedCalls.addAll(calls.values());
        }
        // Calls of earlier faults are checked again, because a call that was reported as not
        // executed must not run later.
        StandIns standIns = fleet.processes().standIns();
        assertThat(
                        completedCalls.stream()
                                .flatMap(
                                        c -> c.call().contradiction(c.result(), standIns).stream()))
                .isEmpty();
    }

    private Map<CallKind, Future<CompletedCall>> send(ExecutorService threads, String entry) {
        FleetCaller caller = fleet.caller(entry);
        Map<CallKind, Future<CompletedCall>> sent = new EnumMap<>(CallKind.class);
        for (CallKind kind : CallKind.values()) {
            MarkedCall call = fleet.newCall(kind, TOKENS);
            inFlight.put(kind, call);
            sent.put(kind, threads.submit(() -> new CompletedCall(call, call.send(caller))));
        }
        return sent;
    }

    /** Waits until all calls are running at their targets; returns the agents that run them. */
    private ImmutableSet<String> awaitRunning() {
        StandIns standIns = fleet.processes().standIns();
        MarkedCall stream = inFlight.get(CallKind.STREAMED_COMPLETION);
        Await.until(
                () -> {
                    for (MarkedCall call : inFlight.values()) {
                        if (call.runs(standIns) == 0) {
                            return "a run of " + call;
                        }
                    }
                    return stream.engineRuns(standIns).getFirst().tokensSent()
                                    >= TOKENS_BEFORE_FAULT
                            ? ""
                            : "tokens of " + stream;
                });
        EngineRun run = stream.engineRuns(standIns).getFirst();
        return ImmutableSet.of("agent-" + run.engine(), TestFleet.SERVICE_AGENT);
    }

    private static Map<CallKind, CompletedCall> results(Map<CallKind, Future<CompletedCall>> sent)
            throws Exception {
        Map<CallKind, CompletedCall> results = new EnumMap<>(CallKind.class);
        for (Map.Entry<CallKind, Future<CompletedCall>> call : sent.entrySet()) {
            results.put(call.getKey(), call.getValue().get());
        }
        return results;
    }

    /** Resends to the other entry those calls that a caller may resend. */
    private Map<CallKind, CompletedCall> resend(Map<CallKind, CompletedCall> first) {
        Map<CallKind, CompletedCall> results = new EnumMap<>(CallKind.class);
        first.forEach(
                (kind, sent) -> {
                    if (kind != CallKind.UNKEYED_CALL) {
                        Result result = sent.call().send(fleet.caller(SECOND_ENTRY));
                        results.put(kind, new CompletedCall(sent.call(), result));
                    }
                });
        return results;
    }

    private static Map<CallKind, CallOutcome> outcomes(Map<CallKind, CompletedCall> calls) {
        Map<CallKind, CallOutcome> outcomes = new EnumMap<>(CallKind.class);
        calls.forEach((kind, call) -> outcomes.put(kind, call.result().outcome()));
        return outcomes;
    }
}
