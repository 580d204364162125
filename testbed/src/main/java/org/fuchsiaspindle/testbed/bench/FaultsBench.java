package org.fuchsiaspindle.testbed.bench;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import org.fuchsiaspindle.testbed.fleet.FleetFault;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;
import org.fuchsiaspindle.testbed.fleet.StandIns;
import org.fuchsiaspindle.testbed.load.CallKind;
import org.fuchsiaspindle.testbed.load.CallOutcome;
import org.fuchsiaspindle.testbed.load.MarkedCall;
import org.fuchsiaspindle.testbed.load.MarkedCall.Result;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Injects seeded random faults, one at a time, under online load and compares the results that
 * callers received with the ledgers of the targets. A call is attributed to the fault that was
 * active when it was sent.
 */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description =
                "Injects random faults under online load and checks every result against the"
                        + " ledgers.")
final class FaultsBench implements Callable<Integer> {

    private static final int ENTRIES = 2;
    private static final int ENGINES = 3;
    private static final int TOKENS = 24;
    private static final int QUICK_SECONDS = 18;
    private static final int PERCENTILE = 99;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MS = 1e6;
    private static final long CALL_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration MIN_FAULT = Duration.ofSeconds(2);
    private static final int MAX_ADDED_FAULT_MS = 3000;
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(1);
    private static final String NO_FAULT = "none";

    @Mixin private BenchOptions options = new BenchOptions();

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Duration of the load, ignored with --quick (default: ${DEFAULT-VALUE}).")
    private int seconds;

    private final Queue<CompletedCall> completedCalls = new ConcurrentLinkedQueue<>();
    private volatile String activeFault = NO_FAULT;
    private volatile boolean stopped;

    private record CompletedCall(String fault, MarkedCall call, Result result, long nanos) {}

    @Override
    public Integer call() throws IOException {
        Duration duration = Duration.ofSeconds(options.quick() ? QUICK_SECONDS : seconds);
        try (BenchFleet fleet = BenchFleet.startWithProxies(ENTRIES, ENGINES)) {
            ImmutableList<FleetCaller> callers = callers(fleet);
            awaitServing(callers);
            try (ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor()) {
                calls.submit(() -> generateLoad(calls, callers));
                injectFaults(fleet.processes(), System.nanoTime() + duration.toNanos());
                stopped = true;
            }
            callers.forEach(FleetCaller::close);
            return options.report(figures(fleet.processes().standIns()));
        }
    }

    private void generateLoad(ExecutorService calls, ImmutableList<FleetCaller> callers) {
        Random random = new Random(options.seed());
        CallKind[] kinds = CallKind.values();
        long nextDueNanos = System.nanoTime();
        for (int i = 0; !stopped; i++) {
            LockSupport.parkNanos(nextDueNanos - System.nanoTime());
            MarkedCall call = newCall(kinds[random.nextInt(kinds.length)], "load-" + i);
            FleetCaller caller = callers.get(random.nextInt(callers.size()));
            String fault = activeFault;
            long dueNanos = nextDueNanos;
            calls.submit(
                    () -> {
                        Result result = call.send(caller);
                        completedCalls.add(
                                new CompletedCall(
                                        fault, call, result, System.nanoTime() - dueNanos));
                    });
            nextDueNanos += CALL_INTERVAL_NANOS;
        }
    }

    private void injectFaults(ProcessFleet fleet, long endNanos) {
        Random random = new Random(options.seed());
        List<String> processes = fleet.instances().keySet().asList();
        FleetFault[] faults = FleetFault.values();
        while (System.nanoTime() - endNanos < 0) {
            String id = processes.get(random.nextInt(processes.size()));
            FleetFault fault = faults[random.nextInt(faults.length)];
            Duration faultDuration = MIN_FAULT.plusMillis(random.nextInt(MAX_ADDED_FAULT_MS));
            boolean entry = fleet.instances().get(id).targetName().isEmpty();
            if (entry && fault == FleetFault.TARGET_CRASHED) {
                continue;
            }
            activeFault = (entry ? "entry: " : "agent: ") + fault.title();
            fault.inject(fleet, id);
            Waiting.pause(faultDuration);
            fault.end(fleet, id);
            fleet.awaitReady(READY_TIMEOUT);
            activeFault = NO_FAULT;
            Waiting.pause(RECOVERY_TIME);
        }
    }

    private Figures figures(StandIns standIns) {
        Map<String, Tally> tallies = new TreeMap<>();
        Tally total = new Tally();
        for (CompletedCall call : completedCalls) {
            boolean wrong = call.call().contradiction(call.result(), standIns).isPresent();
            CallOutcome outcome = wrong ? CallOutcome.WRONG : call.result().outcome();
            tallies.computeIfAbsent(call.fault(), key -> new Tally()).add(outcome, call.nanos());
            total.add(outcome, call.nanos());
            if (wrong) {
                System.out.println(
                        "WRONG "
                                + call.call().contradiction(call.result(), standIns).orElseThrow());
            }
        }
        Figures figures = Figures.of("faults");
        figures.row("fault", "sent", "whole", "not executed", "unknown", "wrong", "p99 ms");
        tallies.forEach((fault, tally) -> tally.addRow(figures, fault));
        total.addRow(figures, "all");
        figures.figure("sent", total.sent());
        figures.figure("whole", total.count(CallOutcome.WHOLE));
        figures.figure("refused_truthfully", total.count(CallOutcome.NOT_EXECUTED));
        figures.figure("unknown", total.unknown());
        figures.atMost("wrong", total.count(CallOutcome.WRONG), 0);
        return figures;
    }

    private static ImmutableList<FleetCaller> callers(BenchFleet fleet) {
        ImmutableList.Builder<FleetCaller> callers = ImmutableList.builder();
        for (int i = 0; i < ENTRIES; i++) {
            callers.add(FleetCaller.create(fleet.entryUrl(i), BenchFleet.ONLINE_KEY));
        }
        return callers.build();
    }

    private static void awaitServing(ImmutableList<FleetCaller> callers) {
        for (int i = 0; i < callers.size(); i++) {
            FleetCaller caller = callers.get(i);
            for (CallKind kind : CallKind.values()) {
                String id = "probe-" + i + "-" + kind + "-";
                int[] tries = {0};
                Waiting.until(
                        "a complete response to " + kind,
                        READY_TIMEOUT,
                        () ->
                                newCall(kind, id + tries[0]++).send(caller).outcome()
                                        == CallOutcome.WHOLE);
            }
        }
    }

    private static MarkedCall newCall(CallKind kind, String id) {
        String target =
                kind == CallKind.STREAMED_COMPLETION ? BenchFleet.MODEL : BenchFleet.SERVICE;
        return new MarkedCall(kind, id, target, TOKENS);
    }

    /** Counts outcomes and records the latency of complete responses. */
    private static final class Tally {

        private final Map<CallOutcome, Integer> counts = new EnumMap<>(CallOutcome.class);
        private final Histogram completeNanos = new Histogram(SIGNIFICANT_DIGITS);

        void add(CallOutcome outcome, long nanos) {
            counts.merge(outcome, 1, Integer::sum);
            if (outcome == CallOutcome.WHOLE) {
                completeNanos.recordValue(Math.max(0, nanos));
            }
        }

        int count(CallOutcome outcome) {
            return counts.getOrDefault(outcome, 0);
        }

        int sent() {
            return counts.values().stream().mapToInt(Integer::intValue).sum();
        }

        int unknown() {
            return count(CallOutcome.UNKNOWN)
                    + count(CallOutcome.CLOSED)
                    + count(CallOutcome.EXECUTED);
        }

        void addRow(Figures figures, String fault) {
            figures.row(
                    fault,
                    sent(),
                    count(CallOutcome.WHOLE),
                    count(CallOutcome.NOT_EXECUTED),
                    unknown(),
                    count(CallOutcome.WRONG),
                    completeNanos.getValueAtPercentile(PERCENTILE) / NANOS_PER_MS);
        }
    }
}
