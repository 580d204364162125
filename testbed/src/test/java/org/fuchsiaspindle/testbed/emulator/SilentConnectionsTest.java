package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.EmulatorJobs.submission;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.BATCH;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.RESUMABLE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.SAFE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.streamHeaders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.Run;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against sound targets that are not used again after some connections went silent. */
final class SilentConnectionsTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int EVENTS = 150;
    private static final int ITEMS = 10;
    private static final int SLOTS = 4;

    /** Time after which an item must have left a dead connection; all items take longer. */
    private static final Duration MOVE_TIME = Duration.ofSeconds(5);

    /** Time after the end of all troubles in which accepted items must be done. */
    private static final Duration FINISH_TIME = Duration.ofSeconds(18);

    private final PlatformEmulator platform = PlatformEmulator.start();
    private List<EngineEmulator> engines;
    private EngineEmulator plain;
    private String first;
    private String second;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        engines =
                List.of(
                        platform.addEngine("engine-1", "model", SLOTS, Duration.ofMillis(10)),
                        platform.addEngine("engine-2", "model", SLOTS, Duration.ofMillis(10)));
        plain = platform.addEngine("plain-1", "plain", 4, Duration.ofMillis(5));
        first = platform.startGateway(1);
        second = platform.startGateway(2);
        awaitReady(platform, first, second);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /** Guards against batch items that wait for ever beside engines that are idle again. */
    @Test
    void batchItems_completeAfterAllConnectionsWentSilent() throws Exception {
        submit(first, "job-a");
        submit(second, "job-b");
        await("items run", () -> active() > 4);
        silence(1);
        submit(first, "job-c");
        awaitResults("job-a", "job-b", "job-c");
    }

    /** Guards against a second silence that ends what the first one did not. */
    @Test
    void batchItems_completeAfterConnectionsWentSilentTwice() throws Exception {
        submit(first, "job-a");
        submit(second, "job-b");
        await("items run", () -> active() > 4);
        silence(1);
        int runs = engines.getFirst().ledger().size() + engines.getLast().ledger().size();
        await(
                "more runs",
                () ->
                        engines.getFirst().ledger().size() + engines.getLast().ledger().size()
                                > runs + 4);
        silence(1);
        awaitResults("job-a", "job-b");
    }

    /** Guards against items on dead connections to an engine that answers others all the time. */
    @Test
    void batchItems_moveFromDeadConnectionsWhileOthersAreAnswered() throws Exception {
        for (int job = 0; job < 4; job++) {
            submit(job % 2 == 0 ? first : second, "job-" + job);
        }
        await("all slots are used", () -> active() == 2 * SLOTS);
        silence(0.5);
        await("items run again", MOVE_TIME, () -> itemsRunAgain() >= SLOTS);
        awaitResults("job-0", "job-1", "job-2", "job-3");
    }

    private long itemsRunAgain() {
        Map<String, Long> runs =
                engines.stream()
                        .flatMap(engine -> engine.ledger().stream())
                        .collect(Collectors.groupingBy(Run::requestId, Collectors.counting()));
        return runs.values().stream().filter(count -> count > 1).count();
    }

    /** Guards against engines that are slow to start and so are taken for silent ones for ever. */
    @Test
    void batchItems_completeAtEnginesThatStartSlowly() throws Exception {
        engines.forEach(engine -> engine.setStartTime(Duration.ofMillis(1200)));
        submit(first, "job-a");
        submit(second, "job-b");
        awaitResults("job-a", "job-b");
    }

    /** Guards against streams and whole answers that stay refused or late at the same targets. */
    @Test
    void onlineRequests_areServedInTimeAfterAllConnectionsWentSilent() throws Exception {
        for (String ip : List.of(first, second)) {
            stream(ip, "warm-" + ip, 3);
            check(ip, "warm-check-" + ip);
        }
        silence(1);
        plain.silenceConnections(1);
        for (int round = 0; round < 2; round++) {
            for (String ip : List.of(first, second)) {
                assertThat(stream(ip, "hint-" + round + ip, 3).status()).isEqualTo(200);
                assertThat(check(ip, "check-" + round + ip).status()).isEqualTo(200);
            }
        }
        await("no target is avoided", () -> isServedAtOnce(first) && isServedAtOnce(second));
    }

    private boolean isServedAtOnce(String ip) throws Exception {
        long start = System.nanoTime();
        Response stream = stream(ip, "again-" + start, 1);
        Response check = check(ip, "again-check-" + start);
        return stream.status() == 200
                && check.status() == 200
                && System.nanoTime() - start < Duration.ofMillis(200).toNanos();
    }

    private Response stream(String ip, String id, int events) throws Exception {
        return platform.client(ip).call("POST", RESUMABLE + "x", streamHeaders(id, events), "");
    }

    private Response check(String ip, String id) throws Exception {
        return platform.client(ip).call("GET", SAFE + "x", headers(id), "");
    }

    private int active() {
        return engines.stream().mapToInt(EngineEmulator::active).sum();
    }

    private void silence(double share) {
        engines.forEach(engine -> engine.silenceConnections(share));
    }

    private void submit(String ip, String job) throws Exception {
        Response response =
                platform.client(ip)
                        .call("POST", BATCH + job, headers(job), submission(job, ITEMS, EVENTS));
        assertThat(response.status()).isEqualTo(202);
    }

    private void awaitResults(String... jobs) throws Exception {
        for (String job : jobs) {
            await("results of " + job, FINISH_TIME, () -> results(job).size() == ITEMS);
            for (JsonNode result : results(job)) {
                assertThat(result.path("text").asText())
                        .isEqualTo(EmulatorJobs.expectedText(result.path("id").asText(), EVENTS));
            }
        }
    }

    private JsonNode results(String job) throws Exception {
        Response response =
                platform.client(second)
                        .call("GET", "/lots/" + job + "?after=0", headers("read"), "");
        return JSON.readTree(response.body()).path("results");
    }
}
