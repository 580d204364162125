package org.fuchsiaspindle.testbed.bench;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import org.fuchsiaspindle.testbed.ledger.EngineRun;
import org.fuchsiaspindle.testbed.load.LoadResult;
import org.fuchsiaspindle.testbed.load.OpenLoopLoad;
import org.fuchsiaspindle.testbed.load.ScheduledRequest;
import org.fuchsiaspindle.testbed.load.StreamingClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Measures how fast a burst preempts batch work, and how fast batch work then resumes. */
@Command(
        name = "burst",
        mixinStandardHelpOptions = true,
        description =
                "Measures preemption and refill times of an engine that is saturated with batch"
                        + " work.")
final class BurstBench implements Callable<Integer> {

    private static final double PREEMPTION_GOAL_MS = 20;
    private static final double REFILL_GOAL_MS = 100;
    private static final double NANOS_PER_MS = 1e6;
    private static final int BURST_REQUESTS = 16;
    private static final int TOKENS = 16;
    private static final int ITEMS = 20_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(4);
    private static final String PROMPT_MARKER = "burst request ";

    @Mixin private BenchOptions options = new BenchOptions();

    @Override
    public Integer call() throws IOException {
        int bursts = options.quick() ? 5 : 20;
        List<Double> preemptionMs = new ArrayList<>();
        List<Double> refillMs = new ArrayList<>();
        Figures figures = Figures.of("burst");
        figures.row("burst", "batch streams before", "preemption ms", "refill ms");
        try (BenchFleet fleet = BenchFleet.start(1, 1);
                StreamingClient client = StreamingClient.create()) {
            fleet.changeSettings("tail", Duration.ofMillis(40));
            fleet.submitJob(ITEMS, 200, 64, options.seed());
            Waiting.until("the start of the job", TIMEOUT, () -> fleet.runningStreams() > 0);
            for (int i = 0; i < bursts; i++) {
                Waiting.pause(SETTLE_TIME);
                int streamsBefore = fleet.runningStreams();
                preemptionMs.add(sendBurst(fleet, client, i));
                refillMs.add(awaitRefill(fleet, streamsBefore));
                figures.row(i, streamsBefore, preemptionMs.getLast(), refillMs.getLast());
            }
        }
        figures.atMost("give_way_median_ms", median(preemptionMs), PREEMPTION_GOAL_MS);
        figures.atMost("refill_median_ms", median(refillMs), REFILL_GOAL_MS);
        figures.figure("give_way_max_ms", preemptionMs.stream().max(Double::compare).orElseThrow());
        return options.report(figures);
    }

    /**
     * Sends a burst and returns the longest time in milliseconds from the due time of a request
     * until its arrival at the engine.
     */
    private static double sendBurst(BenchFleet fleet, StreamingClient client, int burst) {
        ImmutableList.Builder<ScheduledRequest> requests = ImmutableList.builder();
        String marker = PROMPT_MARKER + burst + ":";
        for (int i = 0; i < BURST_REQUESTS; i++) {
            requests.add(new ScheduledRequest(0, marker + i, TOKENS, true));
        }
        long start = System.nanoTime();
        OpenLoopLoad.run(
                requests.build(),
                (request, dueNanos) ->
                        client.complete(
                                fleet.entryUrl(0),
                                BenchFleet.ONLINE_KEY,
                                BenchFleet.MODEL,
                                request,
                                dueNanos,
                                LoadResult.create()));
        LongStream arrivals =
                fleet.processes().standIns().engineLedger().runsWithPrompt(marker).stream()
                        .mapToLong(EngineRun::arrivedNanos);
        return (arrivals.max().orElseThrow() - start) / NANOS_PER_MS;
    }

    /**
     * Returns the time in milliseconds from the end of the burst until the engine runs as many
     * streams as before, minus one.
     */
    private static double awaitRefill(BenchFleet fleet, int streamsBefore) {
        long start = System.nanoTime();
        Waiting.until(
                "the refill of the batch slots",
                TIMEOUT,
                () -> fleet.runningStreams() >= streamsBefore - 1);
        return (System.nanoTime() - start) / NANOS_PER_MS;
    }

    private static double median(List<Double> values) {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
