package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.EmulatorJobs.item;
import static org.fuchsiaspindle.testbed.emulator.EmulatorJobs.submission;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.BATCH;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.UNLIMITED;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.streamHeaders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.Run;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests batch jobs on several gateways while gateways are killed and the store fails. */
final class GatewayBatchTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    private static final int LARGE_JOBS = 12;

    /** Memory for the items of a few of the large jobs. */
    private static final long ITEM_MEMORY = 6L << 20;

    private static final String WAITING_JOBS = "fuchsiaspindle_batch_jobs_waiting_for_memory";

    private final PlatformEmulator platform = PlatformEmulator.start();
    private EngineEmulator engine;
    private EngineEmulator plain;
    private String first;
    private String second;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        engine = platform.addEngine("engine-1", "model", 4, Duration.ofMillis(8));
        plain = platform.addEngine("plain-1", "plain", 4, Duration.ofMillis(5));
        first = platform.startGateway(1);
        second = platform.startGateway(2);
        awaitReady(platform, first, second);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /** Guards against results that differ between gateways or omit an item. */
    @Test
    void job_hasTheSameResultsAtEveryGateway() throws Exception {
        submit(first, "job-a", submission("job-a", 6, 10));
        awaitResults(second, "job-a", 6);
        String results = read(first, "job-a", 0).body();
        assertThat(read(second, "job-a", 0).body()).isEqualTo(results);
        assertThat(texts(results)).containsAll(expected("job-a", 6, 10));
        assertThat(JSON.readTree(read(second, "job-a", 4).body()).path("results")).hasSize(2);
    }

    /** Guards against a repeated submission that executes the job twice. */
    @Test
    void repeatedSubmission_isAcceptedAndRunsOnce() throws Exception {
        String body = submission("job-b", 3, 5);
        submit(first, "job-b", body);
        submit(second, "job-b", body);
        awaitResults(first, "job-b", 3);
        assertThat(engine.ledger().stream().map(Run::requestId).distinct()).hasSize(3);
        assertThat(engine.ledger()).hasSize(3);
    }

    /** Guards against losing a job when the process that accepted it is killed. */
    @Test
    void jobOfAKilledGateway_isTakenOver() throws Exception {
        submit(first, "job-c", submission("job-c", 6, 60));
        await("items run", () -> engine.active() > 0);
        platform.killGateway(first);
        awaitResults(second, "job-c", 6);
        assertThat(texts(read(second, "job-c", 0).body())).containsAll(expected("job-c", 6, 60));
    }

    /** Guards against repeating work whose progress was stored before the gateway was killed. */
    @Test
    void jobOfAKilledGateway_resumesAfterItsStoredProgress() throws Exception {
        submit(first, "job-o", submission("job-o", 4, 400));
        await("progress stored", () -> platform.store().count("progress") >= 4);
        platform.killGateway(first);
        int runsBeforeTakeover = engine.ledger().size();
        awaitResults(second, "job-o", 4);
        assertThat(texts(read(second, "job-o", 0).body())).containsAll(expected("job-o", 4, 400));
        assertThat(engine.ledger().subList(runsBeforeTakeover, engine.ledger().size()))
                .allSatisfy(run -> assertThat(run.lastEventId()).isNotEmpty());
    }

    /** Guards against losing an accepted job when all processes are killed at once. */
    @Test
    void jobAcceptedJustBeforeAllGatewaysAreKilled_completes() throws Exception {
        submit(first, "job-d", submission("job-d", 4, 10));
        platform.killGateway(first);
        platform.killGateway(second);
        String third = platform.startGateway(3);
        awaitResults(third, "job-d", 4);
    }

    /**
     * Guards against reading all membership renewals from the store while the peers respond; the
     * number of such reads would grow with the number of gateways.
     */
    @Test
    void ownerThatRespondsToItsPeers_causesFewReadsOfTheStore() throws Exception {
        submit(first, "job-q", submission("job-q", 4, 2000));
        await("items run", () -> engine.active() > 0);
        Thread.sleep(500);
        long readsBefore = platform.store().readsOf("member");
        Thread.sleep(3600);
        // Only the other gateway reads, every 1.2 s; an interval of 0.4 s would cause nine reads.
        assertThat(platform.store().readsOf("member") - readsBefore).isLessThanOrEqualTo(4);
    }

    /** Guards against a planned stop that delays a job until its owner is considered lost. */
    @Test
    void jobOfAStoppingGateway_isHandedOverAtOnce() throws Exception {
        submit(first, "job-e", submission("job-e", 4, 100));
        await("items run", () -> engine.active() > 0);
        long start = System.nanoTime();
        Thread stop = Thread.startVirtualThread(() -> platform.stopGateway(first));
        awaitResults(second, "job-e", 4);
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(3));
        stop.join();
    }

    /** Guards against items that run after the cancellation of their job was acknowledged. */
    @Test
    void cancelledJob_startsNoMoreItems() throws Exception {
        submit(first, "job-f", submission("job-f", 30, 50));
        await("items run", () -> engine.active() > 0);
        assertThat(call(second, "DELETE", "/lots/job-f").status()).isEqualTo(200);
        assertThat(call(first, "DELETE", "/lots/job-f").status()).isEqualTo(200);
        await("items stopped", Duration.ofSeconds(3), () -> engine.active() == 0);
        int runs = engine.ledger().size();
        Thread.sleep(700);
        assertThat(engine.ledger()).hasSize(runs);
    }

    /**
     * Guards against items that never succeed being retried without limit or delaying other items.
     */
    @Test
    void failingItems_becomeDeadLettersWithinTheirAttempts() throws Exception {
        String body =
                submission(
                        item("bad-1", "X-Fail", "422"),
                        item("bad-2", "X-Fail", "500"),
                        item("good", "X-Events", "3"));
        submit(first, "job-g", body);
        awaitResults(first, "job-g", 3);
        JsonNode results = JSON.readTree(read(first, "job-g", 0).body()).path("results");
        for (JsonNode result : results) {
            boolean good = result.path("id").asText().equals("good");
            assertThat(result.path("state").asText()).isEqualTo(good ? "completed" : "dead_letter");
        }
        assertThat(runs("bad-1")).isEqualTo(1);
        assertThat(runs("bad-2")).isEqualTo(3);
    }

    /** Guards against a job that is lost or duplicated because the response to a write was lost. */
    @Test
    void lostResponsesOfTheStore_loseNoResult() throws Exception {
        submit(first, "job-h", submission("job-h", 6, 30));
        platform.store().setFaultMode(StoreEmulator.FaultMode.DROPPING_RESPONSES);
        Thread.sleep(1500);
        platform.store().setFaultMode(StoreEmulator.FaultMode.SERVING);
        awaitResults(second, "job-h", 6);
        assertThat(texts(read(second, "job-h", 0).body())).containsAll(expected("job-h", 6, 30));
    }

    /** Guards against reporting a job as not run while its write may still take effect. */
    @Test
    void submissionWithAnUnknownOutcome_isNotReportedAsNotRun() throws Exception {
        platform.store().setFaultMode(StoreEmulator.FaultMode.DROPPING_RESPONSES);
        int status = post(first, UNLIMITED + "job-i", submission("job-i", 1, 2)).status();
        assertThat(status).isNotIn(408, 421, 429, 503);
        platform.store().setFaultMode(StoreEmulator.FaultMode.SERVING);
        submit(second, UNLIMITED + "job-i", submission("job-i", 1, 2));
        awaitResults(second, "job-i", 1);
    }

    /**
     * Guards against a job that is refused, or needs twice the room, because the answer to the
     * reservation of room for it was lost.
     */
    @Test
    void submissionWhoseReservationHasAnUnknownOutcome_isAccepted() throws Exception {
        String body = submission(item("job-w-0", "X-Events", "300")).replace("100}", "60000}");
        platform.store().dropNextResponses(1);
        submit(first, "job-w", body);
        assertThat(platform.store().values("job", "job-w")).hasSize(1);
        assertThat(post(second, "job-y", body).status()).isEqualTo(429);
    }

    /** Guards against reporting a job as not found while the store is unavailable. */
    @Test
    void storeOutage_isReportedAsUnavailableAndLosesNoJob() throws Exception {
        submit(first, "job-j", submission("job-j", 4, 60));
        platform.store().setFaultMode(StoreEmulator.FaultMode.BUSY);
        assertThat(read(second, "job-j", 0).status()).isEqualTo(503);
        assertThat(post(second, "job-k", submission("job-k", 1, 1)).status()).isEqualTo(503);
        Thread.sleep(1000);
        platform.store().setFaultMode(StoreEmulator.FaultMode.SERVING);
        awaitResults(second, "job-j", 4);
    }

    /**
     * Guards against sending writes to a store that is known to be unresponsive, because their
     * outcome would be unknown.
     */
    @Test
    void submissionToAnUnresponsiveStore_isStoredOnRecoveryOrReportedAsNotRun() throws Exception {
        platform.store().setFaultMode(StoreEmulator.FaultMode.SILENT);
        // A feed call times out after its wait time of one second and a margin.
        Thread.sleep(3000);
        assertThat(post(first, "job-p", submission("job-p", 1, 2)).status()).isEqualTo(503);
        Thread.startVirtualThread(
                () -> {
                    LockSupport.parkNanos(Duration.ofMillis(300).toNanos());
                    platform.store().setFaultMode(StoreEmulator.FaultMode.SERVING);
                });
        submit(second, "job-p", submission("job-p", 1, 2));
        awaitResults(first, "job-p", 1);
    }

    /** Guards against accepting more waiting tokens than the route allows. */
    @Test
    void jobOverTheTokenLimitOfTheRoute_isRefused() throws Exception {
        String body =
                submission(
                        IntStream.range(0, 200)
                                .mapToObj(i -> item("big-" + i, "X-Events", "200"))
                                .map(item -> item.replace("100}", "600}"))
                                .toArray(String[]::new));
        assertThat(post(first, "job-l", body).status()).isEqualTo(429);
    }

    /** Guards against gateways that accept more together than the route allows. */
    @Test
    void jobsSubmittedAtOnceAtSeveralGateways_stayWithinTheTokenLimit() throws Exception {
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        for (int job = 0; job < 12; job++) {
            String id = "many-" + job;
            String ip = job % 2 == 0 ? first : second;
            String body = submission(item(id, "X-Events", "2000")).replace("100}", "20000}");
            statuses.add(CompletableFuture.supplyAsync(() -> statusOfPost(ip, id, body)));
        }
        List<Integer> results = new ArrayList<>();
        for (CompletableFuture<Integer> status : statuses) {
            results.add(status.get());
        }
        assertThat(results).containsOnly(202, 429);
        assertThat(results.stream().filter(status -> status == 202)).hasSize(5);
    }

    /** Guards against online requests that wait behind batch items. */
    @Test
    void onlineRequests_preemptBatchItemsWhichThenResume() throws Exception {
        submit(first, "job-m", submission("job-m", 4, 300));
        await(
                "batch occupies all slots and produces events",
                () ->
                        engine.ledger().size() == 4
                                && engine.ledger().stream().allMatch(run -> run.events() > 2));
        long start = System.nanoTime();
        Response response =
                platform.client(second)
                        .call("POST", GatewayFixture.STREAM + "h", streamHeaders("online", 2), "");
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        assertThat(response.status()).isEqualTo(200);
        assertThat(elapsed).isLessThan(Duration.ofMillis(300));
        awaitResults(first, "job-m", 4);
        assertThat(texts(read(first, "job-m", 0).body())).containsAll(expected("job-m", 4, 300));
        assertThat(engine.ledger().stream().filter(run -> !run.lastEventId().isEmpty()))
                .isNotEmpty();
    }

    /** Guards against results that fill the store, and against deleting those still to be read. */
    @Test
    void closedJob_isDeletedOnlyAfterItsResultsWereReadableForLongEnough() throws Exception {
        platform.setResultRetention(Duration.ofSeconds(2));
        String third = platform.startGateway(3);
        await("ready", () -> platform.gateway(third).isReady());
        // The others were started with a longer time.
        platform.killGateway(first);
        platform.killGateway(second);
        submit(third, "job-x", submission("job-x", 3, 5));
        awaitResults(third, "job-x", 3);
        long completed = System.nanoTime();
        await("job deleted", () -> platform.store().values("job", "job-x").isEmpty());
        assertThat(Duration.ofNanos(System.nanoTime() - completed))
                .isGreaterThan(Duration.ofMillis(2500));
        for (String table : List.of("result", "submission", "progress")) {
            assertThat(platform.store().values(table, "job-x")).isEmpty();
        }
        await("not found", () -> call(third, "GET", "/lots/job-x?after=0").status() == 404);
    }

    /** Guards against accepted jobs that cannot be read because a route is added above them. */
    @Test
    void routeForTheRestOfTheHost_takesNoCallsOnJobs() throws Exception {
        submit(first, "job-s", submission("job-s", 3, 5));
        awaitResults(first, "job-s", 3);
        platform.configure(withRoute("rest", "/", "plain"));
        await("the route is in force", () -> call(first, "GET", "/other/x").status() == 200);
        await("the route is in force", () -> call(second, "GET", "/other/x").status() == 200);
        for (String ip : List.of(first, second)) {
            assertThat(texts(read(ip, "job-s", 0).body())).containsAll(expected("job-s", 3, 5));
            assertThat(call(ip, "GET", "/items/job-s?id=job-s-1").body()).isEqualTo("hallo");
            assertThat(call(ip, "GET", "/lots/nothing").status()).isEqualTo(404);
            assertThat(call(ip, "DELETE", "/lots/job-s").status()).isEqualTo(200);
        }
    }

    /**
     * Guards against a repeated submission that is refused, or sent to a target, because the routes
     * have changed since the first one was accepted.
     */
    @Test
    void repeatedSubmission_isAcknowledgedWhateverTheRoutesAreNow() throws Exception {
        String path = "studio/job-t";
        String body = submission("job-t", 2, 300);
        submit(first, path, body);
        platform.configure(withRoute("studio", BATCH + "studio/", "plain"));
        await("the route is in force", () -> post(second, "studio/other", "").status() == 200);
        await("the route is in force", () -> post(first, "studio/other", "").status() == 200);
        submit(first, path, body);
        submit(second, path, body);
        assertThat(plain.ledger()).noneMatch(run -> run.requestId().equals("job-t"));
    }

    /** Guards against items that run although their job ended before the store confirmed it. */
    @Test
    void jobThatEndsBeforeItsCreationIsConfirmed_startsNoItems() throws Exception {
        String body = submission("job-u", 4, 300);
        platform.store().delayNextResponse(Duration.ofMillis(1500));
        CompletableFuture<Integer> submitted =
                CompletableFuture.supplyAsync(() -> statusOfPost(first, UNLIMITED + "job-u", body));
        await("job stored", () -> !platform.store().values("job", "job-u").isEmpty());
        submit(second, UNLIMITED + "job-u", body);
        assertThat(call(second, "DELETE", "/lots/job-u").status()).isEqualTo(200);
        assertThat(submitted.get()).isEqualTo(202);
        // An item would start within milliseconds of the confirmation.
        submit(first, "job-v", submission("job-v", 1, 2));
        awaitResults(first, "job-v", 1);
        assertThat(engine.ledger()).noneMatch(run -> run.requestId().startsWith("job-u"));
    }

    private int statusOfPost(String ip, String path, String body) {
        try {
            return post(ip, path, body).status();
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static String[] withRoute(String name, String prefix, String service) {
        return Stream.concat(
                        Stream.of(GatewayFixture.allRoutes()),
                        Stream.of(PlatformEmulator.route(name, prefix, "safe", service, 2, "")))
                .toArray(String[]::new);
    }

    /** Guards against accepted items that are abandoned because a route is added on their path. */
    @Test
    void routeAddedBelowTheBatchRoute_abandonsNoAcceptedItem() throws Exception {
        String job = "studio/job-r";
        submit(first, job, submission("job-r", 8, 400));
        await("items run", () -> engine.active() > 0);
        platform.configure(withRoute("studio", BATCH + "studio/", "plain"));
        awaitResults(second, "job-r", 8);
        assertThat(texts(read(second, "job-r", 0).body())).containsAll(expected("job-r", 8, 400));
        assertThat(plain.ledger()).noneMatch(run -> run.requestId().startsWith("job-r"));
    }

    /**
     * Guards against a gateway that takes over more than its memory holds and ends with an error.
     */
    @Test
    void jobsBeyondTheMemoryOfTheGateway_areHeldInTurnAndComplete() throws Exception {
        for (int job = 0; job < LARGE_JOBS; job++) {
            submit(first, "job-" + job, EmulatorJobs.largeSubmission("job-" + job, 8, 100_000));
        }
        platform.setItemMemory(ITEM_MEMORY);
        String third = platform.startGateway(3);
        await("ready", () -> platform.gateway(third).isReady());
        platform.killGateway(first);
        platform.killGateway(second);
        await("jobs wait", () -> platform.metric(WAITING_JOBS) > 0);
        await(
                "all items completed",
                () -> {
                    assertThat(platform.metric("fuchsiaspindle_batch_item_bytes"))
                            .isLessThanOrEqualTo(ITEM_MEMORY);
                    return results(third) == LARGE_JOBS * 8;
                });
        assertThat(platform.metric(WAITING_JOBS)).isZero();
    }

    private int results(String ip) throws Exception {
        int results = 0;
        for (int job = 0; job < LARGE_JOBS; job++) {
            Response response = read(ip, "job-" + job, 0);
            results += JSON.readTree(response.body()).path("results").size();
        }
        return results;
    }

    /** Guards against item bodies that are returned modified, or for a job that does not exist. */
    @Test
    void bodiesOfItems_areReadableAtEveryGateway() throws Exception {
        submit(first, "job-n", submission("job-n", 2, 100));
        Response body = call(second, "GET", "/items/job-n?id=job-n-1");
        assertThat(body.status()).isEqualTo(200);
        assertThat(body.body()).isEqualTo("hallo");
        assertThat(call(second, "GET", "/items/nothing?id=x").status()).isEqualTo(404);
        assertThat(call(second, "GET", "/lots/nothing").status()).isEqualTo(404);
    }

    private void submit(String ip, String job, String body) throws Exception {
        assertThat(post(ip, job, body).status()).isEqualTo(202);
    }

    /** Submits a job; the last segment of its path is its identifier. */
    private Response post(String ip, String path, String body) throws Exception {
        String job = path.substring(path.lastIndexOf('/') + 1);
        return platform.client(ip).call("POST", BATCH + path, headers(job), body);
    }

    private Response call(String ip, String method, String path) throws Exception {
        return platform.client(ip).call(method, path, headers("call"), "");
    }

    private Response read(String ip, String job, int after) throws Exception {
        return call(ip, "GET", "/lots/" + job + "?after=" + after);
    }

    private void awaitResults(String ip, String job, int count) throws Exception {
        await(
                count + " results of " + job,
                () -> {
                    Response response = read(ip, job, 0);
                    return response.status() == 200
                            && JSON.readTree(response.body()).path("results").size() == count;
                });
    }

    private long runs(String id) {
        return engine.ledger().stream().filter(run -> run.requestId().equals(id)).count();
    }

    private static Set<String> texts(String body) throws Exception {
        Set<String> texts = new HashSet<>();
        JSON.readTree(body)
                .path("results")
                .forEach(result -> texts.add(result.path("text").asText()));
        return texts;
    }

    private static List<String> expected(String job, int items, int events) {
        return IntStream.range(0, items)
                .mapToObj(item -> EmulatorJobs.expectedText(EmulatorJobs.itemId(job, item), events))
                .toList();
    }
}
