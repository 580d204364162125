package org.fuchsiaspindle.testbed.bench;

import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.fuchsiaspindle.platform.http.HttpClient;
import org.fuchsiaspindle.platform.http.HttpRequest;
import org.fuchsiaspindle.platform.http.HttpResponse;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Measures the latency that an entry and an agent add to a small service call. */
@Command(
        name = "overhead",
        mixinStandardHelpOptions = true,
        description =
                "Measures the latency that an entry and an agent add to a small service call.")
final class OverheadBench implements Callable<Integer> {

    private static final double P50_GOAL_MS = 1;
    private static final double P99_GOAL_MS = 3;
    private static final double NANOS_PER_MS = 1e6;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Mixin private BenchOptions options = new BenchOptions();

    @Override
    public Integer call() throws IOException {
        int calls = options.quick() ? 2_000 : 20_000;
        Figures figures = Figures.of("overhead");
        figures.row("path", "p50 ms", "p99 ms", "p99.9 ms");
        try (BenchFleet fleet = BenchFleet.start(1, 1)) {
            URI service = fleet.processes().standIns().services().get("orders").url();
            HttpRequest direct = HttpRequest.of("GET", "/status/7");
            HttpRequest viaEntry =
                    new HttpRequest(
                            "GET",
                            "/services/orders/status/7",
                            ImmutableListMultimap.of(
                                    "Authorization", "Bearer " + BenchFleet.ONLINE_KEY),
                            new byte[0]);
            try (HttpClient serviceClient = HttpClient.create(service);
                    HttpClient entryClient = HttpClient.create(fleet.entryUrl(0))) {
                awaitServing(entryClient, viaEntry);
                measure(serviceClient, direct, calls);
                measure(entryClient, viaEntry, calls);
                Histogram directNanos = measure(serviceClient, direct, calls);
                Histogram viaEntryNanos = measure(entryClient, viaEntry, calls);
                addRow(figures, "direct", directNanos);
                addRow(figures, "entry and agent", viaEntryNanos);
                figures.atMost(
                        "added_p50_ms", addedMs(viaEntryNanos, directNanos, 50), P50_GOAL_MS);
                figures.atMost(
                        "added_p99_ms", addedMs(viaEntryNanos, directNanos, 99), P99_GOAL_MS);
            }
        }
        return options.report(figures);
    }

    private static void awaitServing(HttpClient client, HttpRequest request) {
        Waiting.until(
                "a successful response",
                Duration.ofSeconds(30),
                () -> {
                    try {
                        return client.exchange(request, TIMEOUT).status() == OK;
                    } catch (IOException e) {
                        return false;
                    }
                });
    }

    private static Histogram measure(HttpClient client, HttpRequest request, int calls)
            throws IOException {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        for (int i = 0; i < calls; i++) {
            long start = System.nanoTime();
            HttpResponse response = client.exchange(request, TIMEOUT);
            histogram.recordValue(System.nanoTime() - start);
            if (response.status() != OK) {
                throw new IOException("status " + response.status());
            }
        }
        return histogram;
    }

    private static double addedMs(
            Histogram viaEntryNanos, Histogram directNanos, double percentile) {
        return (viaEntryNanos.getValueAtPercentile(percentile)
                        - directNanos.getValueAtPercentile(percentile))
                / NANOS_PER_MS;
    }

    private static void addRow(Figures figures, String name, Histogram histogram) {
        figures.row(
                name,
                histogram.getValueAtPercentile(50) / NANOS_PER_MS,
                histogram.getValueAtPercentile(99) / NANOS_PER_MS,
                histogram.getValueAtPercentile(99.9) / NANOS_PER_MS);
    }
}
