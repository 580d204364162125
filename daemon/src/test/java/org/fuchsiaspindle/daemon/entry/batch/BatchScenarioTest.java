package org.fuchsiaspindle.daemon.entry.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.batch.JobStatus;
import org.junit.jupiter.api.Test;

/** Tests failing items, cancellation, deadlines, outages and fair sharing in the simulation. */
final class BatchScenarioTest {

    private static final int ITEMS = 30;

    private static final int BYTES_OF_ABOUT_45_RESULTS = 20_000;

    private BatchSimulation simulation = new BatchSimulation(7, Faults.none());

    @Test
    void itemThatCrashesItsTargetsFailsAndTheOthersComplete() throws IOException {
        String job = submit(BatchFixture.lines(ITEMS) + BatchFixture.line("poison-1") + "\n");
        Map<String, JsonNode> errors = finish(job, JobStatus.COMPLETED, ITEMS + 1);
        assertThat(errors).containsOnlyKeys("poison-1");
        assertThat(code(errors, "poison-1")).isEqualTo("item_attempts_exhausted");
        // One loss marks the running items as suspects, at most one more splits a group of two
        // suspects, and three losses are counted for the item.
        assertThat(simulation.executionLog().targetsLost()).isBetween(4, 6);
    }

    @Test
    void lossCountsOfSuspectsAreKeptWhenTheirHolderIsReplaced() throws IOException {
        String job = submit(BatchFixture.line("poison-1") + "\n");
        simulation.runUntil(() -> simulation.executionLog().targetsLost() == 3);
        simulation.replaceAllEntries();
        Map<String, JsonNode> errors = finish(job, JobStatus.COMPLETED, 1);
        assertThat(code(errors, "poison-1")).isEqualTo("item_attempts_exhausted");
        assertThat(simulation.executionLog().targetsLost()).isEqualTo(4);
    }

    @Test
    void rejectedItemGetsAnErrorRecordAtOnce() throws IOException {
        String job = submit(BatchFixture.lines(ITEMS) + BatchFixture.line("rejected-1") + "\n");
        Map<String, JsonNode> errors = finish(job, JobStatus.COMPLETED, ITEMS + 1);
        assertThat(errors).containsOnlyKeys("rejected-1");
        assertThat(errors.get("rejected-1").at("/response/status_code").asInt()).isEqualTo(400);
        assertThat(code(errors, "rejected-1")).isEqualTo("item_rejected");
    }

    @Test
    void itemsReturnedWithPartialOutputAreResumed() throws IOException {
        String job = submit(BatchFixture.lines(ITEMS));
        finish(job, JobStatus.COMPLETED, ITEMS);
        assertThat(simulation.executionLog().resumedDispatches()).isPositive();
    }

    @Test
    void itemsWithoutResultAtTheDeadlineGetErrorRecords() throws IOException {
        String file = simulation.upload(BatchSimulation.ONE, BatchFixture.lines(200));
        String job = simulation.submit(BatchSimulation.ONE, file, "4s", "k").id();
        Map<String, JsonNode> errors = finish(job, JobStatus.EXPIRED, 200);
        assertThat(errors).isNotEmpty().hasSizeLessThan(200);
        assertThat(errors.values())
                .allMatch(e -> e.at("/error/code").asText().equals("item_expired"));
    }

    @Test
    void isolatedEntryStopsDispatchWithinThreeSecondsOfACancellation() throws IOException {
        String job = submit(BatchFixture.lines(1000));
        simulation.advance(Duration.ofSeconds(3));
        simulation.entries().getFirst().setIsolated(true);
        long accepted = cancel(job);
        Map<String, JsonNode> errors = finish(job, JobStatus.CANCELLED, 1000);
        assertThat(errors.values())
                .allMatch(e -> e.at("/error/code").asText().equals("item_cancelled"));
        simulation.advance(Duration.ofSeconds(60));
        assertNotDispatchedAfter(job, accepted);
    }

    @Test
    void resumedEntryDoesNotDispatchAJobCancelledDuringItsPause() throws IOException {
        String job = submit(BatchFixture.lines(1000));
        simulation.advance(Duration.ofSeconds(3));
        SimEntry paused = simulation.entries().getFirst();
        paused.setPaused(true);
        // Isolation also keeps the job hint about the cancellation from the entry.
        paused.setIsolated(true);
        long accepted = cancel(job);
        simulation.advance(Duration.ofSeconds(10));
        paused.setIsolated(false);
        paused.setPaused(false);
        finish(job, JobStatus.CANCELLED, 1000);
        assertNotDispatchedAfter(job, accepted);
    }

    @Test
    void leasedSegmentsContinueWhileTheTableIsUnavailable() throws IOException {
        String job = submit(BatchFixture.lines(600));
        simulation.advance(Duration.ofSeconds(3));
        simulation.takeTableDown(Duration.ofMinutes(10));
        simulation.advance(Duration.ofSeconds(2));
        int before = simulation.executionLog().executions();
        simulation.advance(Duration.ofSeconds(30));
        assertThat(simulation.executionLog().executions()).isGreaterThan(before);
        Map<String, JsonNode> errors = finish(job, JobStatus.COMPLETED, 600);
        assertThat(errors).isEmpty();
    }

    @Test
    void dispatchPausesWhileResultsCannotBeStored() throws IOException {
        simulation = new BatchSimulation(7, Faults.none(), BYTES_OF_ABOUT_45_RESULTS);
        String job = submit(BatchFixture.lines(1000));
        simulation.setResultWritesRefused(true);
        simulation.advance(Duration.ofMinutes(2));
        int executions = simulation.executionLog().executions();
        // Per entry: about 45 results, the rest of a segment of 83 items and 12 items at agents.
        assertThat(executions).isBetween(3 * 45, 3 * (45 + 83 + 12));
        simulation.advance(Duration.ofMinutes(1));
        assertThat(simulation.executionLog().executions()).isEqualTo(executions);
        simulation.setResultWritesRefused(false);
        assertThat(finish(job, JobStatus.COMPLETED, 1000)).isEmpty();
    }

    /**
     * Guards against a deadlock: results of incomplete segments reach the limit and stop the
     * dispatch of the items that would complete these segments.
     */
    @Test
    void segmentsWhoseResultsExceedTheLimitAreCompleted() throws IOException {
        simulation = new BatchSimulation(7, Faults.none(), BYTES_OF_ABOUT_45_RESULTS);
        String job = submit(BatchFixture.lines(1000));
        assertThat(finish(job, JobStatus.COMPLETED, 1000)).isEmpty();
    }

    @Test
    void largeJobDoesNotDelayAnotherCustomersSmallJobBeyondItsShare() throws IOException {
        String large = submit(BatchFixture.lines(1000));
        simulation.advance(Duration.ofSeconds(5));
        String file = simulation.upload(BatchSimulation.TWO, BatchFixture.lines(20));
        int before = simulation.executionLog().dispatchOrder().size();
        String small = simulation.submit(BatchSimulation.TWO, file, "24h", "k").id();
        finish(small, JobStatus.COMPLETED, 20);
        List<String> order = simulation.executionLog().dispatchOrder();
        List<String> concurrent = order.subList(before, order.lastIndexOf(small));
        // Equal weights give equal numbers of items. Before that, the targets finish 6 items in
        // each of 6 steps: a second until all entries know of the job, a scan and a claim.
        assertThat(concurrent.stream().filter(large::equals).count()).isLessThanOrEqualTo(20 + 36);
        finish(large, JobStatus.COMPLETED, 1000);
    }

    @Test
    void idleFleetReadsOnlyTheDirectoryHead() throws IOException {
        finish(submit(BatchFixture.lines(5)), JobStatus.COMPLETED, 5);
        simulation.advance(Duration.ofSeconds(120));
        simulation.executionLog().takeTableCalls();
        simulation.advance(Duration.ofSeconds(60));
        assertThat(simulation.executionLog().takeTableCalls()).containsExactly("read active/head");
    }

    @Test
    void lossOfAnAgentLosesNoItem() throws IOException {
        String job = submit(BatchFixture.lines(200));
        simulation.advance(Duration.ofSeconds(2));
        simulation.agents().getFirst().crash();
        assertThat(finish(job, JobStatus.COMPLETED, 200)).isEmpty();
    }

    @Test
    void jobIsDeletedAfterItsRetention() throws IOException {
        String job = submit(BatchFixture.lines(5));
        finish(job, JobStatus.COMPLETED, 5);
        simulation.advance(Duration.ofMinutes(6));
        assertThat(simulation.table().read("job/" + job)).isPresent();
        simulation.clock().advance(Duration.ofDays(31));
        simulation.advance(Duration.ofMinutes(6));
        for (String prefix : new String[] {"job/", "custjob/", "jobkey/", "seg/", "retained/"}) {
            assertThat(simulation.table().readPrefix(prefix, "", 10)).as(prefix).isEmpty();
        }
    }

    @Test
    void sessionsOfFailedEntriesAreDeleted() throws IOException {
        finish(submit(BatchFixture.lines(5)), JobStatus.COMPLETED, 5);
        simulation.replaceAllEntries();
        assertThat(simulation.table().readPrefix("holder/", "", 10)).isNotEmpty();
        simulation.advance(Duration.ofMinutes(11));
        assertThat(simulation.table().readPrefix("holder/", "", 10)).isEmpty();
    }

    @Test
    void partsOfADeletedInputFileAreKeptUntilItsJobIsDone() throws IOException {
        String file = simulation.upload(BatchSimulation.ONE, BatchFixture.lines(200));
        String job = simulation.submit(BatchSimulation.ONE, file, "24h", "k").id();
        assertThat(simulation.<Boolean>request(c -> c.files().delete("one", file))).isTrue();
        assertThat(finish(job, JobStatus.COMPLETED, 200)).isEmpty();
    }

    private long cancel(String job) {
        assertThat(simulation.cancel(BatchSimulation.ONE, job)).isTrue();
        return simulation.clock().nanoTime();
    }

    private void assertNotDispatchedAfter(String job, long acceptedNanos) {
        assertThat(simulation.executionLog().lastDispatchNanos(job))
                .isLessThanOrEqualTo(acceptedNanos + Duration.ofSeconds(3).toNanos());
    }

    private String submit(String lines) {
        String file = simulation.upload(BatchSimulation.ONE, lines);
        return simulation.submit(BatchSimulation.ONE, file, "24h", "k").id();
    }

    private Map<String, JsonNode> finish(String job, JobStatus status, int items)
            throws IOException {
        simulation.runUntil(() -> simulation.job(job).status().isFinal());
        assertThat(simulation.job(job).status()).isEqualTo(status);
        return JobResultVerifier.verify(simulation, job, items);
    }

    private static String code(Map<String, JsonNode> errors, String customId) {
        return errors.get(customId).at("/error/code").asText();
    }
}
