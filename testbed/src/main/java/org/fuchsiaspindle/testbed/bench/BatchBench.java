package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Measures the table reads and writes of batch jobs and of an idle fleet. */
@Command(
        name = "batch",
        mixinStandardHelpOptions = true,
        description =
                "Measures the batch throughput, and table reads and writes per item and when idle.")
final class BatchBench implements Callable<Integer> {

    private static final double WRITES_PER_SECOND_GOAL = 150;
    private static final double READS_PER_SECOND_GOAL = 600;

    /** Item rate of a full-size fleet, at which the table reads and writes are projected. */
    private static final double FULL_SIZE_ITEMS_PER_SECOND = 313;

    private static final double THOUSAND = 1000;
    private static final double SECONDS_PER_HOUR = 3600;
    private static final int ENTRIES = 2;
    private static final int ENGINES = 4;
    private static final Duration JOB_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    @Mixin private BenchOptions options = new BenchOptions();

    private record TableUse(long reads, long writes, double seconds) {}

    @Override
    public Integer call() throws IOException {
        int items = options.quick() ? 1_000 : 5_000;
        Duration idleTime = Duration.ofSeconds(options.quick() ? 10 : 60);
        Figures figures = Figures.of("batch");
        figures.row("phase", "seconds", "table reads", "table writes");
        try (BenchFleet fleet = BenchFleet.start(ENTRIES, ENGINES)) {
            fleet.changeSettings("batch", Duration.ofMillis(59));
            StoreEmulator store = fleet.processes().standIns().store();
            TableUse idle = measure(store, () -> Waiting.pause(idleTime));
            figures.row("idle", idle.seconds(), idle.reads(), idle.writes());
            TableUse job = measure(store, () -> runJob(fleet, items));
            figures.row("job of " + items, job.seconds(), job.reads(), job.writes());
            report(figures, items, idle, job);
        }
        return options.report(figures);
    }

    private void report(Figures figures, int items, TableUse idle, TableUse job) {
        figures.figure("items_per_second", items / job.seconds());
        figures.figure("idle_reads_per_hour", idle.reads() / idle.seconds() * SECONDS_PER_HOUR);
        figures.figure("idle_writes_per_hour", idle.writes() / idle.seconds() * SECONDS_PER_HOUR);
        double reads = job.reads() - idle.reads() / idle.seconds() * job.seconds();
        double thousands = items / THOUSAND;
        figures.figure("reads_per_1000_items", reads / thousands);
        figures.figure("writes_per_1000_items", job.writes() / thousands);
        figures.atMost(
                "full_size_item_writes_per_second",
                job.writes() / (double) items * FULL_SIZE_ITEMS_PER_SECOND,
                WRITES_PER_SECOND_GOAL);
        figures.atMost(
                "full_size_item_reads_per_second",
                reads / items * FULL_SIZE_ITEMS_PER_SECOND,
                READS_PER_SECOND_GOAL);
    }

    private void runJob(BenchFleet fleet, int items) {
        try {
            String job = fleet.submitJob(items, 200, 16, options.seed());
            long end = System.nanoTime() + JOB_TIMEOUT.toNanos();
            while (!fleet.job(job).path("status").asText().equals("completed")) {
                if (System.nanoTime() - end > 0) {
                    throw new IllegalStateException("job " + job + " did not complete in time");
                }
                Waiting.pause(POLL_INTERVAL);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static TableUse measure(StoreEmulator store, Runnable phase) {
        long reads = store.reads();
        long writes = store.writes();
        long start = System.nanoTime();
        phase.run();
        double seconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
        return new TableUse(store.reads() - reads, store.writes() - writes, seconds);
    }
}
