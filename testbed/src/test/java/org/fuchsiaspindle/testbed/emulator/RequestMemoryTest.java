package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.startGateways;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.Arrival;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests whose prompts and outputs fill the memory of a target. */
final class RequestMemoryTest {

    private static final int MEMORY_TOKENS = 1000;
    private static final int EVENTS = 20;
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
