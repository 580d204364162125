package org.fuchsiaspindle.testbed.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient;
import org.fuchsiaspindle.testbed.emulator.EmulatorJobs;
import org.fuchsiaspindle.testbed.emulator.EmulatorLoad;
import org.fuchsiaspindle.testbed.emulator.PlatformEmulator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a steady load and a burst on the platform emulator while batch jobs use idle capacity. */
@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        description =
                "Runs a steady load, a burst and batch jobs on gateways on the emulated platform.")
final class PlatformBench implements Callable<Integer> {

    private static final ObjectMapper JSON = new ObjectMapper();

    private static final int GATEWAYS = 3;
    private static final int ENGINES = 4;
    private static final int SLOTS = 8;
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(10);
    private static final int ONLINE_EVENTS = 24;
    private static final int JOBS = 8;
    private static final int ITEMS = 10;
    private static final int ITEM_EVENTS = 120;
    private static final double STEADY_PER_SECOND = 40;
    private static final double BURST_PER_SECOND = 110;

    /** Time after submission within which the platform requires the results of a job. */
    private static final Duration JOB_DEADLINE = Duration.ofSeconds(18);

    /** Goal for the duration of a stream: 300 ms to the first event plus the time of its events. */
    private static final double STREAM_GOAL_MILLIS =
            300 + ONLINE_EVENTS * EVENT_INTERVAL.toMillis();

    @Mixin private BenchOptions options = new BenchOptions();

    @Override
    public Integer call() throws IOException, InterruptedException {
        Figures figures = Figures.of("platform");
        figures.row("phase", "served", "failed", "p50 ms", "p99 ms");
        try (PlatformEmulator platform = PlatformEmulator.start()) {
            List<EmulatorClient> clients = startFleet(platform);
            Duration duration = Duration.ofSeconds(options.quick() ? 3 : 10);
            EmulatorLoad load = EmulatorLoad.of(clients, "/hint/x", ONLINE_EVENTS, options.seed());
            long submitted = System.nanoTime();
            submit(clients);
            report(figures, "calm", load.run(STEADY_PER_SECOND, duration));
            report(figures, "burst", load.run(BURST_PER_SECOND, duration.dividedBy(3)));
            reportBatch(figures, clients.getFirst(), submitted);
        }
        return options.report(figures);
    }

    private static List<EmulatorClient> startFleet(PlatformEmulator platform)
            throws InterruptedException, IOException {
        BenchRoutes.configure(platform);
        IntStream.range(0, ENGINES)
                .forEach(
                        i ->
                                platform.addEngine(
                                        "engine-" + i,
                                        PlatformEmulator.MODEL,
                                        SLOTS,
                                        EVENT_INTERVAL));
        List<EmulatorClient> clients = new ArrayList<>();
        for (int i = 1; i <= GATEWAYS; i++) {
            clients.add(platform.client(platform.startGateway(i)));
        }
        for (EmulatorClient client : clients) {
            while (call(client, "POST", "/hint/x", "probe", "").status() != 200) {
                Thread.sleep(20);
            }
        }
        return clients;
    }

    private static void submit(List<EmulatorClient> clients) throws IOException {
        for (int job = 0; job < JOBS; job++) {
            String id = jobId(job);
            String body = EmulatorJobs.submission(id, ITEMS, ITEM_EVENTS);
            EmulatorClient client = clients.get(job % clients.size());
            call(client, "POST", "/batch/x", id, body);
        }
    }

    private static String jobId(int job) {
        return "job-" + job;
    }

    private static EmulatorClient.Response call(
            EmulatorClient client, String method, String path, String id, String body)
            throws IOException {
        Map<String, String> headers =
                Map.of("Attempt-Id", id, "Deadline-Ms", "4000", "X-Events", "1");
        return client.call(method, path, headers, body);
    }

    private static void report(Figures figures, String phase, EmulatorLoad.Results results) {
        figures.row(
                phase,
                results.served(),
                results.failed(),
                results.latencyMillis(50),
                results.latencyMillis(99));
        figures.atMost(phase + "_failed", results.failed(), 0);
        figures.atMost(phase + "_p99_ms", results.latencyMillis(99), STREAM_GOAL_MILLIS);
    }

    private static void reportBatch(Figures figures, EmulatorClient client, long submitted)
            throws IOException, InterruptedException {
        int correct = 0;
        for (int job = 0; job < JOBS; job++) {
            correct += countCorrectResults(client, job);
        }
        Duration elapsed = Duration.ofNanos(System.nanoTime() - submitted);
        figures.atLeast("batch_items_right", correct, JOBS * ITEMS);
        figures.atMost("batch_seconds", elapsed.toMillis() / 1000.0, JOB_DEADLINE.toSeconds());
    }

    /** Waits for the results of a job and counts the items with exactly one correct result. */
    private static int countCorrectResults(EmulatorClient client, int job)
            throws IOException, InterruptedException {
        JsonNode results = JSON.createArrayNode();
        for (int attempt = 0; attempt < 200 && results.size() < ITEMS; attempt++) {
            String body = call(client, "GET", "/lots/" + jobId(job), "read", "").body();
            results = JSON.readTree(body).path("results");
            Thread.sleep(100);
        }
        int correct = 0;
        for (int item = 0; item < ITEMS; item++) {
            String id = EmulatorJobs.itemId(jobId(job), item);
            long matches =
                    results.valueStream()
                            .filter(result -> result.path("id").asText().equals(id))
                            .filter(
                                    result ->
                                            result.path("text")
                                                    .asText()
                                                    .equals(
                                                            EmulatorJobs.expectedText(
                                                                    id, ITEM_EVENTS)))
                            .count();
            correct += matches == 1 ? 1 : 0;
        }
        return correct;
    }
}
