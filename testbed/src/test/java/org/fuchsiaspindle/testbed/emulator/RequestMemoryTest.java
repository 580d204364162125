package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.EmulatorJobs.submission;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.BATCH;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.startGateways;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.Arrival;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests whose prompts and outputs fill the memory of a target. */
final class RequestMemoryTest {

    private static final int MEMORY_TOKENS = 1000;
    private static final int EVENTS = 20;
    private static final int ITEMS = 12;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration EVENT_TIME = Duration.ofMillis(10);

    private final PlatformEmulator platform = PlatformEmulator.start();
    private EngineEmulator engine;
    private List<String> gateways;

    @BeforeEach
    void startPlatform() throws Exception {
        platform.setEngineMemory(MEMORY_TOKENS);
        configureAll(platform);
        engine = platform.addEngine("engine-1", "model", 8, EVENT_TIME);
        platform.addEngine("plain-1", "plain", 8, Duration.ofMillis(5));
        gateways = startGateways(platform, 2);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /** Guards against a target that crashes because two gateways fill its memory together. */
    @Test
    void requestsThatDoNotFitTogether_runOneAfterTheOther() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Response>> responses = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                String ip = gateways.get(i % gateways.size());
                String id = "large-" + i;
                responses.add(threads.submit(() -> call(ip, id, "400,200")));
            }
            for (Future<Response> response : responses) {
                assertThat(response.get().status()).isEqualTo(200);
                assertThat(response.get().complete()).isTrue();
            }
        }
        List<Long> arrivals =
                engine.arrivals().stream()
                        .map(Arrival::nanos)
                        .sorted(Comparator.naturalOrder())
                        .toList();
        for (int i = 1; i < arrivals.size(); i++) {
            assertThat(arrivals.get(i) - arrivals.get(i - 1))
                    .isGreaterThan(EVENT_TIME.multipliedBy(EVENTS - 2).toNanos());
        }
    }

    /** Guards against a request that waits until its deadline although no target can run it. */
    @Test
    void requestLargerThanATarget_isRefusedAtOnce() throws Exception {
        Response response = call(gateways.getFirst(), "huge", "900,200");
        assertThat(response.status()).isEqualTo(413);
        assertThat(response.headers()).doesNotContainKey("Retry-After");
        assertThat(engine.arrivals()).isEmpty();
    }

    /** Guards against items that are lost for good by a configuration that is soon over. */
    @Test
    void itemsLargerThanTheTargetsForAWhile_completeLater() throws Exception {
        String[] items =
                IntStream.range(0, ITEMS)
                        .mapToObj(number -> largeItem("item-" + number))
                        .toArray(String[]::new);
        Response accepted =
                platform.client(gateways.getFirst())
                        .call("POST", BATCH + "job", headers("job"), submission(items));
        assertThat(accepted.status()).isEqualTo(202);
        platform.setEngineMemory(MEMORY_TOKENS / 2);
        int smaller = platform.configure(GatewayFixture.allRoutes());
        awaitVersion(smaller);
        Thread.sleep(1000);
        platform.setEngineMemory(MEMORY_TOKENS);
        configureAll(platform);
        await("all items are listed", () -> results().size() == ITEMS);
        for (JsonNode result : results()) {
            assertThat(result.path("state").asText()).isEqualTo("completed");
        }
    }

    private static String largeItem(String id) {
        return EmulatorJobs.item(
                id, Map.of("X-Events", String.valueOf(EVENTS), "Token-Count", "400,200"));
    }

    private void awaitVersion(int version) throws Exception {
        await(
                "version " + version + " in force",
                () ->
                        call(gateways.getFirst(), "probe", "400,200").status() == 413
                                && call(gateways.getLast(), "probe", "400,200").status() == 413);
    }

    private JsonNode results() throws Exception {
        Response response =
                platform.client(gateways.getLast())
                        .call("GET", "/lots/job?after=0", headers("read"), "");
        return JSON.readTree(response.body()).path("results");
    }

    private Response call(String ip, String id, String tokens) throws Exception {
        return platform.client(ip)
                .call(
                        "POST",
                        STREAM + "h",
                        Map.of(
                                "Attempt-Id",
                                id,
                                "Deadline-Ms",
                                "4000",
                                "X-Events",
                                String.valueOf(EVENTS),
                                "Token-Count",
                                tokens),
                        "");
    }
}
