package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient;
import org.fuchsiaspindle.testbed.emulator.EmulatorJobs;
import org.fuchsiaspindle.testbed.emulator.EmulatorLoad;
import org.fuchsiaspindle.testbed.emulator.PlatformEmulator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures what one gateway uses, at rest and under load, in fleets of several sizes.
 *
 * <p>The load per gateway is the same at each size, so whatever grows is the cost of coordination.
 * All gateways run in this process; the processor time is that of their threads alone.
 */
@Command(
        name = "growth",
        mixinStandardHelpOptions = true,
        description =
                "Measures processor time and control traffic of a gateway in fleets of several"
                        + " sizes.")
final class GrowthBench implements Callable<Integer> {

    private static final String GATEWAY_THREADS = "multiThreadIoEventLoopGroup";
    private static final int SLOTS = 7;
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(20);
    private static final int ONLINE_EVENTS = 30;
    private static final int ITEMS = 6;
    private static final int ITEM_EVENTS = 120;
    private static final double REQUESTS_PER_SECOND = 4;
    private static final int GATEWAYS_PER_ENGINE = 2;

    /** Goals for one gateway at the full size. */
    private static final double MAX_CONTROL_BYTES_PER_SECOND = 21_000;

    @Option(
            names = "--gateways",
            split = ",",
            defaultValue = "7,28",
            description = "Numbers of gateways (default: 7,28).")
    private int[] sizes;

    @Mixin private BenchOptions options = new BenchOptions();

    /** What all gateways have used so far. */
    private record Usage(double cpuSeconds, double messages, double bytes, long nanos) {

        Usage perSecondSince(Usage start) {
            double seconds = (nanos - start.nanos) / 1e9;
            return new Usage(
                    (cpuSeconds - start.cpuSeconds) / seconds,
                    (messages - start.messages) / seconds,
                    (bytes - start.bytes) / seconds,
                    nanos);
        }
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Figures figures = Figures.of("growth");
        figures.row(
                "gateways", "phase", "served", "failed", "cpu %", "messages/s", "control bytes/s");
        for (int size : sizes) {
            measure(figures, size);
        }
        return options.report(figures);
    }

    private void measure(Figures figures, int size) throws IOException, InterruptedException {
        try (PlatformEmulator platform = PlatformEmulator.start()) {
            List<EmulatorClient> clients = startFleet(platform, size);
            Duration duration = Duration.ofSeconds(options.quick() ? 3 : 8);
            Usage start = usage(platform);
            Thread.sleep(duration);
            report(figures, size, "rest", start, platform, null);
            start = usage(platform);
            submitJobs(clients);
            EmulatorLoad load = EmulatorLoad.of(clients, "/hint/x", ONLINE_EVENTS, options.seed());
            EmulatorLoad.Results results = load.run(REQUESTS_PER_SECOND * size, duration);
            report(figures, size, "load", start, platform, results);
        }
    }

    private static List<EmulatorClient> startFleet(PlatformEmulator platform, int size)
            throws IOException, InterruptedException {
        BenchRoutes.configure(platform);
        for (int engine = 0; engine < Math.max(1, size / GATEWAYS_PER_ENGINE); engine++) {
            platform.addEngine("engine-" + engine, PlatformEmulator.MODEL, SLOTS, EVENT_INTERVAL);
        }
        List<EmulatorClient> clients = new ArrayList<>();
        for (int gateway = 1; gateway <= size; gateway++) {
            clients.add(platform.client(platform.startGateway(gateway)));
        }
        for (EmulatorClient client : clients) {
            while (client.call("POST", "/hint/x", headers("probe", 1), "").status() != 200) {
                Thread.sleep(20);
            }
        }
        return clients;
    }

    private static void submitJobs(List<EmulatorClient> clients) throws IOException {
        for (int job = 0; job < clients.size(); job++) {
            String id = "job-" + job;
            String body = EmulatorJobs.submission(id, ITEMS, ITEM_EVENTS);
            clients.get(job).call("POST", "/batch/x", headers(id, 1), body);
        }
    }

    private static Map<String, String> headers(String id, int events) {
        return Map.of("Attempt-Id", id, "Deadline-Ms", "4000", "X-Events", String.valueOf(events));
    }

    private static void report(
            Figures figures,
            int size,
            String phase,
            Usage start,
            PlatformEmulator platform,
            EmulatorLoad.Results results)
            throws IOException {
        Usage used = usage(platform).perSecondSince(start);
        double messages = used.messages() / size;
        double bytes = used.bytes() / size;
        figures.row(
                size,
                phase,
                results == null ? 0 : results.served(),
                results == null ? 0 : results.failed(),
                100 * used.cpuSeconds() / size,
                messages,
                bytes);
        String name = phase + "_" + size;
        figures.figure(name + "_cpu_percent", 100 * used.cpuSeconds() / size);
        figures.figure(name + "_messages_per_second", messages);
        figures.atMost(name + "_control_bytes_per_second", bytes, MAX_CONTROL_BYTES_PER_SECOND);
    }

    private static Usage usage(PlatformEmulator platform) throws IOException {
        return new Usage(
                gatewayCpuSeconds(),
                platform.metric("fuchsiaspindle_control_messages_total"),
                platform.metric("fuchsiaspindle_control_bytes_total"),
                System.nanoTime());
    }

    private static double gatewayCpuSeconds() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long nanos = 0;
        for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (thread != null && thread.getThreadName().startsWith(GATEWAY_THREADS)) {
                nanos += Math.max(0, threads.getThreadCpuTime(thread.getThreadId()));
            }
        }
        return nanos / 1e9;
    }
}
