package org.fuchsiaspindle.testbed.bench;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.fuchsiaspindle.testbed.load.LoadProfile;
import org.fuchsiaspindle.testbed.load.LoadResult;
import org.fuchsiaspindle.testbed.load.OpenLoopLoad;
import org.fuchsiaspindle.testbed.load.Schedule;
import org.fuchsiaspindle.testbed.load.ScheduledRequest;
import org.fuchsiaspindle.testbed.load.StreamingClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Measures the impact of batch work on online latency, and the share of the idle capacity that
 * batch work uses.
 *
 * <p>For each seed, the same online schedule runs alone, then in both profiles together with a
 * batch job that saturates the fleet, then in the baselines. Each figure is the median over the
 * seeds.
 */
@Command(
        name = "mixed",
        mixinStandardHelpOptions = true,
        description = "Measures online and batch load on one fleet, compared with baselines.")
final class MixedBench implements Callable<Integer> {

    private static final int ENTRIES = 3;
    private static final int ENGINES = 8;
    private static final int ITEMS = 20_000;
    private static final int ITEM_CHARS = 200;
    private static final int ITEM_TOKENS = 64;
    private static final int FIFO_ITEMS_PER_ENGINE = 64;
    private static final double CHARS_PER_TOKEN = 4;
    private static final double LATENCY_RATIO_GOAL = 1.05;
    private static final double TAIL_SHARE_GOAL = 0.90;
    private static final double BATCH_SHARE_GOAL = 0.95;
    private static final double MICROS_PER_MS = 1000;
    private static final Duration FILL_TIME = Duration.ofSeconds(3);
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    /** Default step times of the simulated engines, for the oracle; see {@code EngineSettings}. */
    private static final double BASE_STEP_MS = 20;

    private static final double PER_STREAM_MS = 0.5;
    private static final double PREFILL_PER_TOKEN_MS = 0.02;

    @Mixin private BenchOptions options = new BenchOptions();

    private record Run(LoadResult load, double seconds, long batchTokens) {}

    @Override
    public Integer call() throws IOException {
        int seeds = options.quick() ? 1 : 3;
        Duration duration = Duration.ofSeconds(options.quick() ? 6 : 20);
        Map<String, List<Run>> runs = new LinkedHashMap<>();
        List<Double> interTokenTargetsMs = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(ENTRIES, ENGINES)) {
            awaitTargets(fleet);
            runThroughEntries(fleet, schedule(Duration.ofSeconds(options.quick() ? 3 : 8), 99));
            for (int i = 0; i < seeds; i++) {
                runSeed(fleet, duration, options.seed() + i, runs, interTokenTargetsMs);
            }
        }
        return options.report(figures(runs, interTokenTargetsMs));
    }

    private static Run logRefusals(String name, long seed, Run run) {
        if (run.load().refused() > 0) {
            System.err.println(
                    "refused way=" + name + " seed=" + seed + " " + run.load().refusedByCode());
        }
        return run;
    }

    private void runSeed(
            BenchFleet fleet,
            Duration duration,
            long seed,
            Map<String, List<Run>> runs,
            List<Double> interTokenTargetsMs)
            throws IOException {
        ImmutableList<ScheduledRequest> schedule = schedule(duration, seed);
        Run onlineOnly = measure(fleet, () -> runThroughEntries(fleet, schedule));
        add(runs, "online_only", logRefusals("online_only", seed, onlineOnly));
        double interTokenTargetMs =
                Math.ceil(
                        onlineOnly.load().timeBetweenTokens().getValueAtPercentile(99)
                                / MICROS_PER_MS);
        interTokenTargetsMs.add(interTokenTargetMs);
        for (String profile : List.of("tail", "batch")) {
            fleet.changeSettings(profile, Duration.ofMillis((long) interTokenTargetMs));
            String job = fleet.submitJob(ITEMS, ITEM_CHARS, ITEM_TOKENS, seed);
            Waiting.until("the start of the job", TIMEOUT, () -> fleet.runningStreams() >= ENGINES);
            Waiting.pause(FILL_TIME);
            Run mixed = measure(fleet, () -> runThroughEntries(fleet, schedule));
            add(runs, profile, logRefusals(profile, seed, mixed));
            fleet.cancelJob(job);
            awaitIdle(fleet);
        }
        List<Integer> all = IntStream.range(0, ENGINES).boxed().toList();
        List<Integer> lower = all.subList(0, ENGINES / 2);
        List<Integer> upper = all.subList(ENGINES / 2, ENGINES);
        add(runs, "fifo", runDirect(fleet, schedule, all, all, seed));
        awaitIdle(fleet);
        add(runs, "static_split", runDirect(fleet, schedule, lower, upper, seed));
        awaitIdle(fleet);
    }

    private Run runDirect(
            BenchFleet fleet,
            ImmutableList<ScheduledRequest> schedule,
            List<Integer> online,
            List<Integer> batch,
            long seed) {
        try (DirectDispatcher direct = new DirectDispatcher(fleet.engineUrls())) {
            direct.fill(batch, FIFO_ITEMS_PER_ENGINE, ITEM_CHARS, ITEM_TOKENS, seed);
            Waiting.pause(FILL_TIME);
            return measure(
                    fleet,
                    () -> {
                        LoadResult result = LoadResult.create();
                        OpenLoopLoad.run(
                                schedule,
                                (request, dueNanos) ->
                                        direct.sendOnline(online, request, dueNanos, result));
                        return result;
                    });
        }
    }

    private static LoadResult runThroughEntries(
            BenchFleet fleet, ImmutableList<ScheduledRequest> schedule) {
        LoadResult result = LoadResult.create();
        AtomicInteger next = new AtomicInteger();
        try (StreamingClient client = StreamingClient.create()) {
            OpenLoopLoad.run(
                    schedule,
                    (request, dueNanos) ->
                            client.complete(
                                    fleet.entryUrl(next.getAndIncrement()),
                                    BenchFleet.ONLINE_KEY,
                                    BenchFleet.MODEL,
                                    request,
                                    dueNanos,
                                    result));
        }
        return result;
    }

    private static Run measure(BenchFleet fleet, java.util.function.Supplier<LoadResult> load) {
        long tokens = fleet.tokensGenerated();
        long start = System.nanoTime();
        LoadResult result = load.get();
        double seconds = (System.nanoTime() - start) / 1e9;
        long batchTokens = fleet.tokensGenerated() - tokens - result.tokens();
        return new Run(result, seconds, Math.max(0, batchTokens));
    }

    private static void awaitTargets(BenchFleet fleet) {
        try (StreamingClient client = StreamingClient.create()) {
            ScheduledRequest probe = new ScheduledRequest(0, "probe", 1, false);
            for (int entry = 0; entry < ENTRIES; entry++) {
                int index = entry;
                Waiting.until(
                        "a successful response",
                        TIMEOUT,
                        () ->
                                client.complete(
                                                fleet.entryUrl(index),
                                                BenchFleet.ONLINE_KEY,
                                                BenchFleet.MODEL,
                                                probe,
                                                System.nanoTime(),
                                                LoadResult.create())
                                        .isPresent());
            }
        }
    }

    private static void awaitIdle(BenchFleet fleet) {
        Waiting.until("the end of all streams", TIMEOUT, () -> fleet.runningStreams() == 0);
    }

    private static ImmutableList<ScheduledRequest> schedule(Duration duration, long seed) {
        return Schedule.create(
                new LoadProfile(
                        duration,
                        16,
                        120,
                        Duration.ofSeconds(4),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(5),
                        32,
                        512,
                        128,
                        32),
                seed);
    }

    private static void add(Map<String, List<Run>> runs, String name, Run run) {
        runs.computeIfAbsent(name, key -> new ArrayList<>()).add(run);
    }

    private static Figures figures(Map<String, List<Run>> runs, List<Double> interTokenTargetsMs) {
        Figures figures = Figures.of("mixed");
        figures.row(
                "way",
                "ttft p50",
                "p95",
                "p99",
                "p99.9",
                "itl p50",
                "p95",
                "p99",
                "p99.9",
                "batch items/s",
                "of oracle",
                "refused",
                "failed");
        runs.forEach(
                (name, list) -> {
                    List<Object> cells = new ArrayList<>();
                    cells.add(name);
                    for (double p : new double[] {50, 95, 99, 99.9}) {
                        cells.add(
                                medianMs(
                                        list, run -> percentile(run.load().timeToFirstToken(), p)));
                    }
                    for (double p : new double[] {50, 95, 99, 99.9}) {
                        cells.add(
                                medianMs(
                                        list,
                                        run -> percentile(run.load().timeBetweenTokens(), p)));
                    }
                    cells.add(median(list, run -> run.batchTokens() / run.seconds() / ITEM_TOKENS));
                    cells.add(shareOfOracle(list, interTokenTargetsMs));
                    cells.add(list.stream().mapToLong(run -> run.load().refused()).sum());
                    cells.add(list.stream().mapToLong(run -> run.load().failed()).sum());
                    figures.row(cells.toArray());
                });
        for (String profile : List.of("tail", "batch")) {
            addProfile(figures, runs, interTokenTargetsMs, profile);
        }
        return figures;
    }

    private static void addProfile(
            Figures figures,
            Map<String, List<Run>> runs,
            List<Double> interTokenTargetsMs,
            String profile) {
        List<Run> onlineOnly = runs.get("online_only");
        List<Run> mixed = runs.get(profile);
        figures.atMost(
                profile + "_online_p99_ttft_ratio",
                ratio(mixed, onlineOnly, run -> percentile(run.load().timeToFirstToken(), 99)),
                LATENCY_RATIO_GOAL);
        figures.atMost(
                profile + "_online_p99_itl_ratio",
                ratio(mixed, onlineOnly, run -> percentile(run.load().timeBetweenTokens(), 99)),
                LATENCY_RATIO_GOAL);
        figures.atLeast(
                profile + "_batch_share_of_oracle",
                shareOfOracle(mixed, interTokenTargetsMs),
                profile.equals("tail") ? TAIL_SHARE_GOAL : BATCH_SHARE_GOAL);
    }

    /**
     * Returns the generated batch tokens as a fraction of those that an ideal scheduler, the
     * oracle, would generate.
     *
     * <p>The oracle always keeps each engine at the number of streams at which a step, including
     * the prefill of batch items, takes exactly the inter-token target; the tokens of the online
     * load are subtracted.
     */
    private static double shareOfOracle(List<Run> runs, List<Double> interTokenTargetsMs) {
        double[] shares = new double[runs.size()];
        double prefillMs = ITEM_CHARS / CHARS_PER_TOKEN * PREFILL_PER_TOKEN_MS / ITEM_TOKENS;
        for (int i = 0; i < shares.length; i++) {
            Run run = runs.get(i);
            double targetMs = interTokenTargetsMs.get(i);
            double streams = (targetMs - BASE_STEP_MS) / (PER_STREAM_MS + prefillMs);
            double tokens = ENGINES * streams / targetMs * 1000 * run.seconds();
            shares[i] = run.batchTokens() / (tokens - run.load().tokens());
        }
        return median(shares);
    }

    private static double ratio(List<Run> runs, List<Run> base, ToDoubleFunction<Run> value) {
        double[] ratios = new double[runs.size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = value.applyAsDouble(runs.get(i)) / value.applyAsDouble(base.get(i));
        }
        return median(ratios);
    }

    private static double percentile(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile);
    }

    private static double medianMs(List<Run> runs, ToDoubleFunction<Run> micros) {
        return median(runs, micros) / MICROS_PER_MS;
    }

    private static double median(List<Run> runs, ToDoubleFunction<Run> value) {
        return median(runs.stream().mapToDouble(value).toArray());
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
