package org.fuchsiaspindle.testbed.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator;
import org.fuchsiaspindle.testbed.fleet.EmbeddedFleet;
import org.fuchsiaspindle.testbed.fleet.FleetAdmin;
import org.fuchsiaspindle.testbed.fleet.FleetLayout;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Measures how the control-plane cost of an entry grows with the size of the fleet, varying one
 * quantity at a time.
 *
 * <p>The entry is a separate process; the other processes are simulated by {@link FakeProcess} in
 * this JVM. Slopes are least-squares fits over all points of a quantity.
 */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description =
                "Measures how the control-plane cost of an entry grows with the numbers of targets,"
                        + " entries, customers and changes.")
final class SlopesBench implements Callable<Integer> {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SECRET = EmbeddedFleet.FLEET_SECRET;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final double PERCENT = 100;

    @Mixin private BenchOptions options = new BenchOptions();

    private record Cost(
            double corePercent, double residentMib, double bytesPerSecond, double readsPerSecond) {}

    private record Point(double size, Cost cost) {}

    @Override
    public Integer call() throws IOException {
        Figures figures = Figures.of("slopes");
        figures.row("quantity", "size", "% of a core", "resident MiB", "bytes/s", "reads/s");
        int[] targets = options.quick() ? new int[] {8, 16, 32, 48} : new int[] {8, 16, 24, 32, 48};
        int[] entries = options.quick() ? new int[] {2, 4, 8, 16} : new int[] {2, 4, 8, 16, 24};
        int[] customers =
                options.quick()
                        ? new int[] {50, 100, 200, 400}
                        : new int[] {100, 250, 500, 1000, 2000};
        measureSlopes(figures, "targets", targets, this::measureWithTargets);
        measureSlopes(figures, "entries", entries, this::measureWithEntries);
        measureSlopes(figures, "customers", customers, this::measureWithCustomers);
        measureSlopes(figures, "changes_per_s", new int[] {0, 1, 2, 4}, this::measureWithChanges);
        return options.report(figures);
    }

    private interface Experiment {
        Cost measure(int size) throws IOException;
    }

    private static void measureSlopes(
            Figures figures, String quantity, int[] sizes, Experiment experiment)
            throws IOException {
        List<Point> points = new ArrayList<>();
        for (int size : sizes) {
            Cost cost = experiment.measure(size);
            points.add(new Point(size, cost));
            figures.row(
                    quantity,
                    size,
                    cost.corePercent(),
                    cost.residentMib(),
                    cost.bytesPerSecond(),
                    cost.readsPerSecond());
        }
        figures.figure(
                quantity + "_core_percent_slope", slope(points, p -> p.cost().corePercent()));
        figures.figure(
                quantity + "_resident_mib_slope", slope(points, p -> p.cost().residentMib()));
        figures.figure(
                quantity + "_bytes_per_s_slope", slope(points, p -> p.cost().bytesPerSecond()));
        figures.figure(
                quantity + "_reads_per_s_slope", slope(points, p -> p.cost().readsPerSecond()));
    }

    private static double slope(
            List<Point> points, java.util.function.ToDoubleFunction<Point> value) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.size() - meanSize) * (value.applyAsDouble(point) - meanValue);
            variance += (point.size() - meanSize) * (point.size() - meanSize);
        }
        return covariance / variance;
    }

    private Cost measureWithTargets(int size) throws IOException {
        return measureWithFakes(size, 0, fleet -> {});
    }

    private Cost measureWithEntries(int size) throws IOException {
        return measureWithFakes(0, size, fleet -> {});
    }

    private Cost measureWithCustomers(int size) throws IOException {
        return measureWithFakes(0, 0, fleet -> addCustomers(fleet, size));
    }

    private Cost measureWithChanges(int rate) throws IOException {
        return measureWithFakes(
                8,
                2,
                fleet -> {
                    if (rate > 0) {
                        changeRepeatedly(fleet, rate);
                    }
                });
    }

    private interface Setup {
        void run(ProcessFleet fleet) throws IOException;
    }

    private Cost measureWithFakes(int agents, int entries, Setup setup) throws IOException {
        FleetLayout layout = FleetLayout.of(1, 0, ImmutableList.of(), ImmutableList.of());
        List<FakeProcess> fakes = new ArrayList<>();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        try (ProcessFleet fleet = ProcessFleet.startWithoutProxies(layout)) {
            fleet.awaitReady(TIMEOUT);
            for (int i = 0; i < agents; i++) {
                fakes.add(
                        FakeProcess.agent(
                                "agent-" + i, "dc-" + (char) ('a' + i % 7), SECRET, timer, 500));
            }
            for (int i = 0; i < entries; i++) {
                fakes.add(
                        FakeProcess.entry(
                                "peer-" + i, "dc-" + (char) ('a' + i % 7), SECRET, timer));
            }
            fakes.forEach(fake -> fleet.standIns().register(fake.listedInstance()));
            Waiting.until(
                    "the connection of all agents",
                    TIMEOUT,
                    () ->
                            agents == 0
                                    || fakes.stream().filter(FakeProcess::isConnected).count()
                                            >= agents);
            setup.run(fleet);
            Waiting.pause(Duration.ofSeconds(options.quick() ? 2 : 5));
            return measure(fleet, fakes);
        } finally {
            timer.shutdownNow();
            fakes.forEach(FakeProcess::close);
        }
    }

    private Cost measure(ProcessFleet fleet, List<FakeProcess> fakes) throws IOException {
        long pid = fleet.process("entry-1").pid();
        StoreEmulator store = fleet.standIns().store();
        long cpuNanos = ProcessStats.cpuNanos(pid);
        long bytes = bytes(fakes);
        long reads = store.reads();
        long start = System.nanoTime();
        Waiting.pause(Duration.ofSeconds(options.quick() ? 5 : 20));
        long nanos = System.nanoTime() - start;
        double seconds = nanos / (double) TimeUnit.SECONDS.toNanos(1);
        return new Cost(
                PERCENT * (ProcessStats.cpuNanos(pid) - cpuNanos) / nanos,
                ProcessStats.residentMib(pid),
                (bytes(fakes) - bytes) / seconds,
                (store.reads() - reads) / seconds);
    }

    private static long bytes(List<FakeProcess> fakes) {
        return fakes.stream().mapToLong(FakeProcess::bytes).sum();
    }

    private static void addCustomers(ProcessFleet fleet, int count) {
        try (FleetAdmin admin = admin(fleet)) {
            for (int i = 0; i < count; i++) {
                admin.addContract(
                        "customer-" + i,
                        "key-of-customer-" + i,
                        ImmutableList.of("small"),
                        ImmutableList.of());
            }
        }
    }

    private static void changeRepeatedly(ProcessFleet fleet, int rate) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try (FleetAdmin admin = admin(fleet)) {
                                for (int i = 0; fleet.process("entry-1").isAlive(); i++) {
                                    admin.change(
                                            "model",
                                            "small",
                                            JSON.createObjectNode()
                                                    .put("version", Integer.toString(i))
                                                    .put("min_copies", 0)
                                                    .put("max_copies", 1));
                                    Waiting.pause(Duration.ofMillis(1000 / rate));
                                }
                            } catch (IllegalStateException e) {
                                // The fleet was closed while a change was in progress.
                                Thread.currentThread().interrupt();
                            }
                        });
    }

    private static FleetAdmin admin(ProcessFleet fleet) {
        return FleetAdmin.create(fleet.entryUrl("entry-1"), EmbeddedFleet.OPERATOR_KEY);
    }
}
