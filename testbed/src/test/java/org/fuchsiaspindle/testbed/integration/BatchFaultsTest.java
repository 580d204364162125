package org.fuchsiaspindle.testbed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.http.HttpResponse;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator.FaultMode;
import org.fuchsiaspindle.testbed.engine.EngineStandIn;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet.Link;
import org.fuchsiaspindle.testbed.fleet.StandIns;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against batch items that are lost, duplicated or have wrong results under faults. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class BatchFaultsTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ENTRIES = 3;
    private static final int ENGINES = 3;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /**
     * Maximum time for which the holder of a segment may dispatch items after the job was
     * cancelled; see docs/design.md.
     */
    private static final Duration DISPATCH_AFTER_CANCEL = Duration.ofSeconds(3);

    private TestFleet fleet;

    @BeforeAll
    void startFleet() {
        fleet = TestFleet.start(ENTRIES, ENGINES);
    }

    @AfterEach
    void endFaults() {
        ProcessFleet processes = fleet.processes();
        processes.standIns().store().setFaultMode(FaultMode.SERVING);
        processes.clearFaults();
        for (String id : processes.instances().keySet()) {
            if (!processes.process(id).isAlive()) {
                processes.start(id);
            } else {
                processes.process(id).resume();
            }
        }
        fleet.awaitServing();
    }

    @AfterAll
    void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    /** Guards against lost and duplicate results after takeovers, restarts and lost responses. */
    @Test
    void jobCompletesOnceWhileProcessesAreLostAndReplaced() throws Exception {
        ProcessFleet processes = fleet.processes();
        StoreEmulator store = processes.standIns().store();
        BatchJob job =
                BatchJob.create("job-faults", 300).items(300).submit(fleet.caller("entry-1"));
        store.dropNextResponses(4);
        String suspendedEntry = job.awaitHolder(fleet);
        awaitItemRuns(job, 1);
        processes.process(suspendedEntry).suspend();
        // Each item takes several seconds, so the holder cannot have finished its segments yet.
        assertThat(job.openSegments(fleet).values())
                .anyMatch(holder -> holder.contains("/" + suspendedEntry + "/"));
        List<String> otherEntries =
                fleet.callers().keySet().stream().filter(id -> !id.equals(suspendedEntry)).toList();
        restart(otherEntries.getFirst());
        restart("agent-engine-1");
        String readingEntry = otherEntries.getLast();
        checkRefusalDuringTableOutage(readingEntry);
        store.dropNextResponses(4);
        Await.until(
                () ->
                        job.openSegments(fleet).values().stream()
                                        .anyMatch(
                                                holder ->
                                                        holder.contains("/" + suspendedEntry + "/"))
                                ? "takeover of the segments of " + suspendedEntry
                                : "");
        processes.process(suspendedEntry).resume();
        assertThat(job.awaitEnd(fleet.caller(readingEntry))).isEqualTo("completed");
        assertThat(job.takenOverSegments(fleet)).isPositive();
        assertThat(job.verifyFiles(fleet.caller(readingEntry))).isEmpty();

        restartAll();
        for (FleetCaller caller : fleet.callers().values()) {
            assertThat(job.read(caller).orElseThrow().path("status").asText())
                    .isEqualTo("completed");
            assertThat(job.verifyFiles(caller)).isEmpty();
        }
    }

    /** Guards against an item that crashes engines and thereby fails other items of its segment. */
    @Test
    @Tag("known-red")
    void poisonAndRejectedItemsEndWithErrorsAndAllOthersComplete() throws Exception {
        BatchJob job =
                BatchJob.create("job-poison", 20)
                        .items(30)
                        .item("poison", "[[poison]]")
                        .item("reject", "[[reject]]")
                        .items(30)
                        .submit(fleet.caller("entry-2"));
        assertThat(job.awaitEnd(fleet.caller("entry-1"))).isEqualTo("completed");
        Map<String, JsonNode> errors = job.verifyFiles(fleet.caller("entry-3"));
        assertThat(errors).containsOnlyKeys("poison", "reject");
        assertThat(errors.get("poison").path("number").asInt())
                .isEqualTo(ResultCode.ITEM_ATTEMPTS_EXHAUSTED.number());
        assertThat(errors.get("reject").path("number").asInt())
                .isEqualTo(ResultCode.ITEM_REJECTED.number());
    }

    /**
     * Guards against a holder that continues a cancelled job because it cannot read the table. The
     * job takes much longer than the test waits, so idle engines prove that dispatch has stopped.
     */
    @Test
    void cancelledJobStopsAtAHolderThatIsCutOffFromTheTable() throws Exception {
        ProcessFleet processes = fleet.processes();
        StandIns standIns = processes.standIns();
        BatchJob job =
                BatchJob.create("job-cancel", 400).items(1500).submit(fleet.caller("entry-1"));
        String holder = job.awaitHolder(fleet);
        awaitItemRuns(job, 1);
        for (String entry : fleet.callers().keySet()) {
            processes.proxy(entry, Link.FLEET).toTarget().setDropping(true);
            processes.proxy(entry, Link.FLEET).toCaller().setDropping(true);
        }
        processes.proxy(holder, Link.STORE).toTarget().setDropping(true);
        processes.proxy(holder, Link.STORE).toCaller().setDropping(true);
        String otherEntry =
                fleet.callers().keySet().stream()
                        .filter(id -> !id.equals(holder))
                        .findFirst()
                        .get();
        HttpResponse cancelResponse =
                fleet.caller(otherEntry)
                        .post("/v1/batches/" + job.id() + "/cancel", JSON.createObjectNode());
        assertThat(cancelResponse.status()).isEqualTo(OK);
        // Engines may be idle briefly while the holder still dispatches, so idleness is checked
        // only after DISPATCH_AFTER_CANCEL has passed.
        long dispatchLimitNanos = System.nanoTime() + DISPATCH_AFTER_CANCEL.toNanos();
        Await.until(
                () ->
                        System.nanoTime() - dispatchLimitNanos > 0
                                ? ""
                                : "the time limit of the last dispatch");
        Await.until(
                () ->
                        standIns.engines().values().stream().allMatch(BatchFaultsTest::isIdle)
                                ? ""
                                : "idle engines");
        int runsAfterCancel = runs(job);
        assertThat(runsAfterCancel).isLessThan(job.size());
        processes.clearFaults();
        assertThat(job.awaitEnd(fleet.caller(otherEntry))).isEqualTo("cancelled");
        fleet.awaitServing();
        for (FleetCaller caller : fleet.callers().values()) {
            assertThat(job.read(caller).orElseThrow().path("status").asText())
                    .isEqualTo("cancelled");
        }
        assertThat(runs(job)).isEqualTo(runsAfterCancel);
    }

    /**
     * Makes the table unavailable and verifies that a job submitted then is refused as not
     * executed, which also proves that the outage has begun.
     */
    private void checkRefusalDuringTableOutage(String readingEntry) throws IOException {
        StoreEmulator store = fleet.processes().standIns().store();
        store.setFaultMode(FaultMode.BUSY);
        HttpResponse response =
                fleet.caller(readingEntry).submit("file_none", ImmutableListMultimap.of());
        assertThat(response.status()).isEqualTo(UNAVAILABLE);
        assertThat(JSON.readTree(response.body()).path("error").path("executed").asText())
                .isEqualTo("no");
        store.setFaultMode(FaultMode.SERVING);
    }

    private void restart(String id) {
        fleet.processes().process(id).kill();
        fleet.processes().start(id);
    }

    private void restartAll() {
        ProcessFleet processes = fleet.processes();
        processes.instances().keySet().forEach(id -> processes.process(id).kill());
        processes.instances().keySet().forEach(processes::start);
        fleet.awaitServing();
    }

    private void awaitItemRuns(BatchJob job, int count) {
        Await.until(() -> runs(job) >= count ? "" : "runs of " + job.name());
    }

    private int runs(BatchJob job) {
        return fleet.processes()
                .standIns()
                .engineLedger()
                .runsWithPrompt("<" + job.name() + ">")
                .size();
    }

    private static boolean isIdle(EngineStandIn engine) {
        return engine.runningStreams() == 0 && engine.waitingRequests() == 0;
    }
}
