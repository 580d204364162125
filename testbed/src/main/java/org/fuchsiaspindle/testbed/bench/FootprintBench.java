package org.fuchsiaspindle.testbed.bench;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.testbed.fleet.FleetLayout;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;
import org.fuchsiaspindle.testbed.fleet.Readiness;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Measures the resident memory, processor time and start-up time of idle processes. */
@Command(
        name = "footprint",
        mixinStandardHelpOptions = true,
        description = "Measures the memory, processor time and start-up time of idle processes.")
final class FootprintBench implements Callable<Integer> {

    private static final double AGENT_MIB_GOAL = 100;
    private static final double ENTRY_MIB_GOAL = 200;
    private static final double START_SECONDS_GOAL = 1.5;
    private static final int STARTS = 5;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final ImmutableList<String> MEASURED =
            ImmutableList.of("entry-1", "agent-engine-1", "agent-orders");

    @Mixin private BenchOptions options = new BenchOptions();

    @Override
    public Integer call() throws IOException {
        Duration idleTime = Duration.ofSeconds(options.quick() ? 5 : 30);
        Figures figures = Figures.of("footprint");
        figures.row("process", "resident MiB", "% of a core", "start s (median)");
        FleetLayout layout =
                FleetLayout.of(1, 1, ImmutableList.of("small"), ImmutableList.of("orders"));
        try (ProcessFleet fleet = ProcessFleet.startWithoutProxies(layout)) {
            fleet.awaitReady(READY_TIMEOUT);
            Waiting.pause(idleTime);
            for (String id : MEASURED) {
                measure(fleet, id, idleTime, figures);
            }
        }
        return options.report(figures);
    }

    private static void measure(ProcessFleet fleet, String id, Duration idleTime, Figures figures)
            throws IOException {
        long pid = fleet.process(id).pid();
        long before = ProcessStats.cpuNanos(pid);
        Waiting.pause(idleTime);
        double cpuPercent = 100.0 * (ProcessStats.cpuNanos(pid) - before) / idleTime.toNanos();
        double resident = ProcessStats.residentMib(pid);
        double start = medianStartSeconds(fleet, id);
        figures.row(id, resident, cpuPercent, start);
        String name = id.replace('-', '_');
        figures.atMost(
                name + "_resident_mib",
                resident,
                id.startsWith("entry") ? ENTRY_MIB_GOAL : AGENT_MIB_GOAL);
        figures.figure(name + "_percent_of_core", cpuPercent);
        figures.atMost(name + "_start_seconds", start, START_SECONDS_GOAL);
    }

    private static double medianStartSeconds(ProcessFleet fleet, String id) {
        double[] seconds = new double[STARTS];
        for (int i = 0; i < STARTS; i++) {
            fleet.process(id).kill();
            long start = System.nanoTime();
            fleet.start(id);
            Waiting.until(
                    "the start of " + id,
                    READY_TIMEOUT,
                    () -> Readiness.isReady(fleet.instances().get(id).managementUrl()));
            seconds[i] = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
        }
        Arrays.sort(seconds);
        return seconds[STARTS / 2];
    }
}
