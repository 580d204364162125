package org.fuchsiaspindle.daemon.entry.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.fuchsiaspindle.core.batch.JobStatus;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Fault;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Step;
import org.junit.jupiter.api.Test;

/**
 * Guards against items that are lost, have two records or have another item's response when a fault
 * occurs at any step of a job.
 */
final class BatchFaultMatrixTest {

    private static final int RUNS = 4;
    private static final int ITEMS = 30;
    private static final int SMALL_ITEMS = 5;
    private static final Duration MAX_CANCEL_DELAY = Duration.ofSeconds(3);

    private static final String HEADER =
            """
            # Fault matrix of batch jobs

            Written by `BatchFaultMatrixTest`; do not edit. Each cell counts the seeded runs in
            which every accepted item got exactly one record, with a response that a target had
            returned for that item, read through any entry and again after all entries were
            replaced. In the row `cancel` the job also ended as cancelled, and no item was
            dispatched later than 3 s after the cancellation was accepted. Each run has three
            entries, three agents and two jobs under a manual clock; the fault is injected at
            one of the first three executions of the step. `two faults` injects two different
            faults of the other columns.

            """;

    @Test
    void everyAcceptedItemGetsExactlyOneRecordWithoutFaults() throws IOException {
        BatchSimulation simulation = new BatchSimulation(1, Faults.none());
        runJobs(simulation, false);
        assertThat(simulation.executionLog().executions()).isEqualTo(ITEMS + SMALL_ITEMS);
    }

    @Test
    void everyAcceptedItemGetsExactlyOneRecordUnderEveryFaultAtEveryStep() throws IOException {
        List<String> failures = new ArrayList<>();
        StringBuilder table = new StringBuilder("| step |");
        for (Fault fault : Fault.values()) {
            table.append(' ').append(label(fault)).append(" |");
        }
        table.append("\n|---|").append("---|".repeat(Fault.values().length)).append('\n');
        for (Step step : Step.values()) {
            table.append("| ").append(label(step)).append(" |");
            for (Fault fault : Fault.values()) {
                int passed = runCell(step, fault, failures);
                table.append(' ').append(passed).append(" of ").append(RUNS).append(" |");
            }
            table.append('\n');
        }
        assertThat(failures).isEmpty();
        MatrixPage.verify("fault-matrix-batch.md", HEADER + table);
    }

    private static int runCell(Step step, Fault fault, List<String> failures) {
        int passed = 0;
        for (int run = 0; run < RUNS; run++) {
            long seed = (step.ordinal() * 100L + fault.ordinal()) * 100 + run;
            Faults faults = Faults.of(step, fault, new Random(seed));
            BatchSimulation simulation = new BatchSimulation(seed, faults);
            try {
                runJobs(simulation, step == Step.CANCEL);
                assertThat(faults.injected()).isNotEmpty();
                passed++;
            } catch (AssertionError | RuntimeException | IOException e) {
                failures.add(
                        "step "
                                + step
                                + " fault "
                                + fault
                                + " run "
                                + run
                                + " injected "
                                + faults.injected()
                                + ": "
                                + e);
            }
        }
        return passed;
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static void runJobs(BatchSimulation simulation, boolean cancel) throws IOException {
        String fileOne = simulation.upload(BatchSimulation.ONE, BatchFixture.lines(ITEMS));
        String fileTwo = simulation.upload(BatchSimulation.TWO, BatchFixture.lines(SMALL_ITEMS));
        simulation.advance(Duration.ofSeconds(1));
        String jobOne = simulation.submit(BatchSimulation.ONE, fileOne, "24h", "k").id();
        String jobTwo = simulation.submit(BatchSimulation.TWO, fileTwo, "24h", "k").id();
        boolean cancelled = false;
        if (cancel) {
            simulation.advance(Duration.ofMillis(1500));
            cancelled = simulation.cancel(BatchSimulation.ONE, jobOne);
        }
        long cancelledNanos = simulation.clock().nanoTime();
        simulation.runUntil(
                () ->
                        simulation.job(jobOne).status().isFinal()
                                && simulation.job(jobTwo).status().isFinal());
        JobStatus finalStatus = cancelled ? JobStatus.CANCELLED : JobStatus.COMPLETED;
        verify(simulation, jobOne, ITEMS, finalStatus);
        verify(simulation, jobTwo, SMALL_ITEMS, JobStatus.COMPLETED);
        assertThat(simulation.table().readPrefix("custjob/", "", 10)).hasSize(2);
        if (cancelled) {
            simulation.advance(Duration.ofSeconds(90));
            assertThat(simulation.executionLog().lastDispatchNanos(jobOne))
                    .isLessThanOrEqualTo(cancelledNanos + MAX_CANCEL_DELAY.toNanos());
        }
        simulation.replaceAllEntries();
        verify(simulation, jobOne, ITEMS, finalStatus);
    }

    private static void verify(BatchSimulation simulation, String id, int items, JobStatus status)
            throws IOException {
        assertThat(simulation.job(id).status()).isEqualTo(status);
        Map<String, JsonNode> errors = JobResultVerifier.verify(simulation, id, items);
        if (status == JobStatus.COMPLETED) {
            assertThat(errors).isEmpty();
        }
    }
}
