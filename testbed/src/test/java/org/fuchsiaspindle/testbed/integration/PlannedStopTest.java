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
import org.fuchsiaspindle.testbed.load.MarkedCall.Told;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against requests that are cut off or misrouted when processes leave as planned. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class PlannedStopTest {

    private static final int ENTRIES = 2;
    private static final int ENGINES = 3;
    private static final int TOKENS = 40;
    private static final int WORKERS_PER_KIND = 2;
    private static final int CALLS_BEFORE_STOP = 8;

    private TestFleet fleet;

    /** The last answer to a call that was sent again after each refusal that denied a run. */
    private record Made(MarkedCall call, Told told) {}

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
     * The load takes an entry out of its rotation before the stop, as the platform's balancer does,
     * and sends a call again only after a refusal that denies a run.
     */
    @Test
    void rollingReplacementOfAllProcessesLosesNoRequest() {
        ProcessFleet processes = fleet.processes();
        List<String> rotation = new CopyOnWriteArrayList<>(fleet.callers().keySet());
        Queue<Made> made = new ConcurrentLinkedQueue<>();
        AtomicBoolean stopped = new AtomicBoolean();
        try (ExecutorService load = Executors.newVirtualThreadPerTaskExecutor()) {
            for (CallKind kind : CallKind.values()) {
                for (int i = 0; i < WORKERS_PER_KIND; i++) {
                    load.submit(() -> work(kind, rotation, made, stopped));
                }
            }
            try {
                for (String id : processes.instances().keySet()) {
                    rotation.remove(id);
                    awaitCalls(made);
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
                awaitCalls(made);
            } finally {
                stopped.set(true);
            }
        }
        StandIns standIns = processes.standIns();
        assertThat(made).filteredOn(m -> m.told().outcome() != CallOutcome.WHOLE).isEmpty();
        assertThat(made.stream().flatMap(m -> m.call().contradiction(m.told(), standIns).stream()))
                .isEmpty();
    }

    /** Guards against new work for a target that the platform is about to take away. */
    @Test
    void targetThatIsListedAsLeavingGetsNoNewWork() {
        String leaving = "agent-engine-2";
        fleet.awaitServing();
        fleet.processes().markLeaving(leaving);
        try {
            for (String entry : fleet.callers().keySet()) {
                try (Operator operator = Operator.create(fleet.processes().entryUrl(entry))) {
                    Await.until(
                            () ->
                                    operator.process(leaving).path("leaving").asBoolean()
                                            ? ""
                                            : entry + " sees that " + leaving + " leaves");
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
            fleet.processes().register(leaving);
        }
    }

    private void work(
            CallKind kind, List<String> rotation, Queue<Made> made, AtomicBoolean stopped) {
        AtomicInteger turn = new AtomicInteger(kind.ordinal());
        while (!stopped.get()) {
            MarkedCall call = fleet.newCall(kind, TOKENS);
            Told told = new Told(CallOutcome.NOT_EXECUTED, "not sent");
            while (told.outcome() == CallOutcome.NOT_EXECUTED) {
                String entry = rotation.get(turn.getAndIncrement() % rotation.size());
                told = call.send(fleet.caller(entry));
            }
            made.add(new Made(call, told));
        }
    }

    /** Waits until calls of the load have ended since now, so that the next stop meets others. */
    private static void awaitCalls(Queue<Made> made) {
        int wanted = made.size() + CALLS_BEFORE_STOP;
        Await.until(() -> made.size() >= wanted ? "" : wanted - made.size() + " calls");
    }

    private void awaitConnected(String id) {
        fleet.processes().awaitReady(Await.LIMIT);
        for (String entry : fleet.callers().keySet()) {
            try (Operator operator = Operator.create(fleet.processes().entryUrl(entry))) {
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
