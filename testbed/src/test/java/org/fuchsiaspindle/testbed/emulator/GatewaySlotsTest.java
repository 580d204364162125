package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.startGateways;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.streamHeaders;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how several gateways share the slots of a target, also when its coordinator is lost. */
final class GatewaySlotsTest {

    private static final int SLOTS = 4;

    /** Time to notice that a coordinator does not answer, to replace it, and to preempt an item. */
    private static final Duration MAX_TIME_AFTER_LOSS = Duration.ofMillis(1500);

    private final PlatformEmulator platform = PlatformEmulator.start();
    private EngineEmulator engine;
    private List<String> gateways;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        engine = platform.addEngine("engine-1", "model", SLOTS, Duration.ofMillis(10));
        platform.addEngine("plain-1", "plain", SLOTS, Duration.ofMillis(5));
        gateways = startGateways(platform, 3);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /** Guards against several gateways that fill the same slot, which makes the target queue. */
    @Test
    void burstOverSeveralGateways_neverOccupiesMoreThanTheSlots() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Response>> responses = new ArrayList<>();
            // Six requests for each slot; the last ones start well before their clients give up.
            for (int i = 0; i < 6 * SLOTS; i++) {
                String ip = gateways.get(i % gateways.size());
                String id = "burst-" + i;
                responses.add(threads.submit(() -> stream(ip, id, 10)));
            }
            while (responses.stream().anyMatch(response -> !response.isDone())) {
                assertThat(engine.queuedRequests()).isLessThanOrEqualTo(SLOTS);
                Thread.sleep(2);
            }
            for (Future<Response> response : responses) {
                assertThat(response.get().status()).isEqualTo(200);
                assertThat(response.get().complete()).isTrue();
            }
        }
    }

    /** Guards against online requests that wait behind batch items after a coordinator was lost. */
    @Test
    void afterTheLossOfAnyGateway_onlineRequestsStillPreemptItems() throws Exception {
        String owner = gateways.getFirst();
        submit(owner, "job-s", 8, 1500);
        await("batch occupies all slots", () -> engine.active() == SLOTS);
        for (int lost = 1; lost <= 2; lost++) {
            platform.killGateway(gateways.get(lost));
            String other = gateways.get(3 - lost);
            assertServedInTime(other, "after-loss-" + lost);
            assertServedInTime(owner, "owner-after-loss-" + lost);
            platform.startGateway(lost + 1);
            awaitReady(platform, gateways.get(lost));
        }
    }

    /** Guards against slots of a lost gateway that stay occupied. */
    @Test
    void slotsOfALostGateway_areUsedByOthers() throws Exception {
        String lost = gateways.getFirst();
        submit(lost, "job-l", 4, 3000);
        await("batch occupies all slots", () -> engine.active() == SLOTS);
        platform.killGateway(lost);
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Response>> responses = new ArrayList<>();
            for (int i = 0; i < SLOTS; i++) {
                String id = "reuse-" + i;
                responses.add(threads.submit(() -> stream(gateways.get(1), id, 2)));
            }
            for (Future<Response> response : responses) {
                assertThat(response.get().status()).isEqualTo(200);
            }
        }
    }

    private void assertServedInTime(String ip, String id) throws IOException {
        long start = System.nanoTime();
        assertThat(stream(ip, id, 2).status()).isEqualTo(200);
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_TIME_AFTER_LOSS);
    }

    private Response stream(String ip, String id, int events) throws IOException {
        return platform.client(ip).call("POST", STREAM + "h", streamHeaders(id, events), "");
    }

    private void submit(String ip, String job, int items, int events) throws IOException {
        Response response =
                platform.client(ip)
                        .call(
                                "POST",
                                GatewayFixture.BATCH + "x",
                                headers(job),
                                EmulatorJobs.submission(job, items, events));
        assertThat(response.status()).isEqualTo(202);
    }
}
