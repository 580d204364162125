package org.fuchsiaspindle.testbed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.fleet.DaemonProcess;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;
import org.fuchsiaspindle.testbed.fleet.StandIns;
import org.fuchsiaspindle.testbed.load.CallKind;
import org.fuchsiaspindle.testbed.load.CallOutcome;
import org.fuchsiaspindle.testbed.load.MarkedCall;
import org.fuchsiaspindle.testbed.load.MarkedCall.Result;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against requests that are interrupted or misrouted during planned process stops. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class PlannedStopTest {

    private static final int ENTRIES = 2;
    private static final int ENGINES = 3;
    private static final int TOKENS = 40;
    private static final int WORKERS_PER_KIND = 2;
    private static final int CALLS_BEFORE_STOP = 8;

    private TestFleet fleet;

    /**
     * A call and its final result. The call was resent each time it was reported as not executed.
     */
    private record CompletedCall(MarkedCall call, Result result) {}

    @BeforeAll
    void startFleet() {
        fleet = TestFleet.start(ENTRIES, ENGINES);
    }

    @AfterEach
    void startEndedProcesses() {
        ProcessFleet processes = fleet.processes();
        for (String id : processes.instances().keySet()) {
            if (!processes.process(id).isAlive()) {
                processes.start(id);
            }
        }
    }

    @AfterAll
    void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    /**
     * Guards against requests that fail while the processes are stopped and restarted one after the
     * other. As behind the platform's load balancer, an entry is removed from the rotation before
     * it is stopped; a call is resent only if it was reported as not executed.
     */
    @Test
    void rollingReplacementOfAllProcessesLosesNoRequest() {
        ProcessFleet processes = fleet.processes();
        List<String> rotation = new CopyOnWriteArrayList<>(fleet.callers().keySet());
        Queue<CompletedCall> completed = new ConcurrentLinkedQueue<>();
        AtomicBoolean stopped = new AtomicBoolean();
        try (ExecutorService load = Executors.newVirtualThreadPerTaskExecutor()) {
            for (CallKind kind : CallKind.values()) {
                for (int i = 0; i < WORKERS_PER_KIND; i++) {
                    load.submit(() -> sendCalls(kind, rotation, completed, stopped));
                }
            }
            try {
                for (String id : processes.instances().keySet()) {
                    rotation.remove(id);
                    awaitCalls(completed);
                    DaemonProcess process = processes.process(id);
                    process.terminate();
                    assertThat(process.awaitExit(Await.LIMIT)).as("end of %s", id).isTrue();
                    assertThat(process.exitCode()).as("exit code of %s", id).isZero();
                    processes.start(id);
                    awaitConnected(id);
                    if (fleet.callers().containsKey(id)) {
                        rotation.add(id);
                    }
                }
                awaitCalls(completed);
            } finally {
                stopped.set(true);
            }
        }
        StandIns standIns = processes.standIns();
        assertThat(completed).filteredOn(c -> c.result().outcome() != CallOutcome.WHOLE).isEmpty();
        assertThat(
                        completed.stream()
                                .flatMap(
                                        c -> c.call().contradiction(c.result(), standIns).stream()))
                .isEmpty();
    }

    /** Guards against sending new work to a target that the platform is about to remove. */
    @Test
    void targetThatIsListedAsLeavingGetsNoNewWork() {
        String leavingAgent = "agent-engine-2";
        fleet.awaitServing();
        fleet.processes().markLeaving(leavingAgent);
        try {
            for (String entry : fleet.callers().keySet()) {
                try (OperatorClient operator =
                        OperatorClient.create(fleet.processes().entryUrl(entry))) {
                    Await.until(
                            () ->
                                    operator.process(leavingAgent).path("leaving").asBoolean()
                                            ? ""
                                            : entry + " reports as leaving: " + leavingAgent);
                }
            }
            StandIns standIns = fleet.processes().standIns();
            for (int i = 0; i < 20; i++) {
                for (String entry : fleet.callers().keySet()) {
                    MarkedCall call = fleet.newCall(CallKind.STREAMED_COMPLETION, 2);
                    assertThat(call.send(fleet.caller(entry)).outcome())
                            .isEqualTo(CallOutcome.WHOLE);
                    assertThat(call.engineRuns(standIns))
                            .noneMatch(run -> run.engine().equals("engine-2"));
                }
            }
        } finally {
            fleet.processes().register(leavingAgent);
        }
    }

    private void sendCalls(
            CallKind kind,
            List<String> rotation,
            Queue<CompletedCall> completed,
            AtomicBoolean stopped) {
        AtomicInteger nextEntry = new AtomicInteger(kind.ordinal());
        while (!stopped.get()) {
            MarkedCall call = fleet.newCall(kind, TOKENS);
            Result result = new Result(CallOutcome.NOT_EXECUTED, "not sent");
            while (result.outcome() == CallOutcome.NOT_EXECUTED) {
                String entry = rotation.get(nextEntry.getAndIncrement() % rotation.size());
                result = call.send(fleet.caller(entry));
            }
            completed.add(new CompletedCall(call, result));
        }
    }

    /** Waits until more calls have completed, so that the next stop affects new calls. */
    private static void awaitCalls(Queue<CompletedCall> completed) {
        int required = completed.size() + CALLS_BEFORE_STOP;
        Await.until(
                () -> completed.size() >= required ? "" : required - completed.size() + " calls");
    }

    private void awaitConnected(String id) {
        fleet.processes().awaitReady(Await.LIMIT);
        for (String entry : fleet.callers().keySet()) {
            try (OperatorClient operator =
                    OperatorClient.create(fleet.processes().entryUrl(entry))) {
                Await.until(
                        () ->
                                entry.equals(id)
                                                || operator.process(id)
                                                        .path("connected")
                                                        .asBoolean()
                                        ? ""
                                        : entry + " is connected to " + id);
            }
        }
    }
}
