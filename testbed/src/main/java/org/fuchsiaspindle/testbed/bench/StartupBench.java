package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient;
import org.fuchsiaspindle.testbed.emulator.PlatformEmulator;
import org.fuchsiaspindle.testbed.fleet.Ports;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures the start of the built gateway, with the command of the deploy file. */
@Command(
        name = "startup",
        mixinStandardHelpOptions = true,
        description = "Measures processor time and wall time of the start of the built gateway.")
final class StartupBench implements Callable<Integer> {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(1);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(5);
    private static final double NANOS_PER_MILLI = 1e6;

    /** Goal for the processor time until the first request was served. */
    private static final double PROCESSOR_GOAL_MILLIS = 200;

    @Mixin private BenchOptions options = new BenchOptions();

    @Option(
            names = "--baseline",
            description = "Root of another built repository that is measured in alternation.")
    private Path baseline;

    @Option(
            names = "--starts",
            defaultValue = "10",
            description = "Number of starts (default: ${DEFAULT-VALUE}).")
    private int starts;

    /** One start; all times are in milliseconds since the process was created. */
    private record Start(
            double listeningWall,
            double listeningProcessor,
            double servingWall,
            double servingProcessor) {}

    @Override
    public Integer call() throws IOException {
        Path root = Path.of(System.getProperty("fuchsiaspindle.root", ".")).toAbsolutePath();
        List<Start> own = new ArrayList<>();
        List<Start> other = new ArrayList<>();
        for (int i = 0; i < (options.quick() ? 3 : starts); i++) {
            own.add(measure(root));
            if (baseline != null) {
                other.add(measure(baseline.toAbsolutePath()));
            }
        }
        Figures figures = Figures.of("startup");
        figures.row(
                "median of " + own.size() + " starts, ms",
                "listening: processor",
                "wall",
                "first answer: processor",
                "wall");
        report(figures, "this version", own);
        if (baseline != null) {
            report(figures, "baseline", other);
        }
        figures.atMost(
                "first_answer_processor_ms",
                median(own, Start::servingProcessor),
                PROCESSOR_GOAL_MILLIS);
        return options.report(figures);
    }

    private static Start measure(Path root) throws IOException {
        int peerPort = Ports.allocate();
        try (PlatformEmulator platform = PlatformEmulator.start()) {
            platform.configure(
                    PlatformEmulator.route(
                            "hint", "/hint/", "streaming", PlatformEmulator.MODEL, 1, ""));
            platform.addEngine("engine", PlatformEmulator.MODEL, 8, EVENT_INTERVAL);
            long created = System.nanoTime();
            try (GatewayProcess gateway =
                    GatewayProcess.start(
                            platform, 1, peerPort, root, DeployFile.gatewayCommand(root))) {
                gateway.awaitLog("gateway: started", TIMEOUT);
                double listeningWall = millisSince(created);
                double listeningProcessor = millis(gateway.processorTime());
                gateway.awaitLog("config: in force", TIMEOUT);
                Waiting.until("the first answer", TIMEOUT, () -> serves(gateway.client()));
                return new Start(
                        listeningWall,
                        listeningProcessor,
                        millisSince(created),
                        millis(gateway.processorTime()));
            }
        } finally {
            Ports.release(peerPort);
        }
    }

    private static boolean serves(EmulatorClient client) {
        Map<String, String> headers =
                Map.of("Attempt-Id", "first", "Deadline-Ms", "4000", "X-Events", "1");
        try {
            boolean served = client.call("POST", "/hint/x", headers, "").status() == 200;
            if (!served) {
                Waiting.pause(PROBE_INTERVAL);
            }
            return served;
        } catch (IOException notServed) {
            return false;
        }
    }

    private static void report(Figures figures, String version, List<Start> measured) {
        figures.row(
                version,
                median(measured, Start::listeningProcessor),
                median(measured, Start::listeningWall),
                median(measured, Start::servingProcessor),
                median(measured, Start::servingWall));
    }

    private static double median(List<Start> measured, ToDoubleFunction<Start> value) {
        double[] sorted = measured.stream().mapToDouble(value).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
    }

    private static double millis(Duration duration) {
        return duration.toNanos() / NANOS_PER_MILLI;
    }
}
