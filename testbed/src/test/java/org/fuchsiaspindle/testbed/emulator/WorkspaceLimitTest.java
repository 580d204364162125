package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.SAFE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.allRoutes;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.core.limit.LimitShards;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the limits of workspaces at three gateways. */
final class WorkspaceLimitTest {

    private static final String LIMITED = "limited";
    private static final String SMALL = "small";
    private static final String UNLIMITED = "unlimited";
    private static final int RATE = 20;
    private static final int BURST = 5;

    private final PlatformEmulator platform = PlatformEmulator.start();
    private final List<String> ips = new ArrayList<>();
    private final AtomicInteger sequence = new AtomicInteger();

    /** A response and when it arrived. */
    private record Timed(long nanos, int status) {}

    @BeforeEach
    void startPlatform() throws Exception {
        platform.setWorkspaces(
                workspace(LIMITED, RATE, BURST),
                workspace(SMALL, 0.5, 0),
                PlatformEmulator.workspace(UNLIMITED, UNLIMITED));
        platform.configure(allRoutes());
        platform.addEngine("plain", "plain", 8, Duration.ofMillis(2));
        for (int number = 1; number <= 3; number++) {
            ips.add(platform.startGateway(number));
        }
        for (String ip : ips) {
            await(ip + " serves", () -> call(ip, UNLIMITED).status() == 200);
        }
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    private static String workspace(String name, double rate, int burst) {
        return "{\"name\":\"%s\",\"apiKeys\":[\"%s\"],\"perS\":%s,\"burst\":%d}"
                .formatted(name, name, rate, burst);
    }

    private Response call(String ip, String workspace) throws IOException {
        Map<String, String> headers = new HashMap<>();
        headers.put("Attempt-Id", workspace + "-" + sequence.incrementAndGet());
        headers.put("Deadline-Ms", "4000");
        headers.put("Authorization", "Bearer " + workspace);
        return platform.client(ip).call("POST", SAFE + "x", headers, "");
    }

    /** Guards against small workspaces that are refused, and messages without a limit. */
    @Test
    void requestsBelowTheLimit_areServedAtAnyGateway() throws Exception {
        assertThat(platform.metric("fuchsiaspindle_control_messages_total{kind=\"PERMIT_REQUEST\""))
                .isEqualTo(0);
        for (String workspace : List.of(SMALL, LIMITED)) {
            // The first request may come before the slices are lent.
            await(workspace + " served", () -> call(ips.get(0), workspace).status() == 200);
        }
        for (String ip : ips) {
            assertThat(call(ip, LIMITED).status()).isEqualTo(200);
        }
        assertThat(call(ips.get(2), SMALL).status()).isEqualTo(200);
    }

    /** Guards against a limit that holds at each gateway for itself, and untrue retry times. */
    @Test
    void requestsBeyondTheLimit_areRefusedByAllGatewaysTogether() throws Exception {
        List<Timed> responses = load(Duration.ofSeconds(6), () -> {});
        assertBound(responses);
        assertThat(count(responses, 429)).isGreaterThan(100);
        assertThat(count(responses, 200)).isGreaterThan(RATE * 5);
        assertThat(platform.metric("fuchsiaspindle_limit_events_total{event=\"over_limit\""))
                .isGreaterThan(100);
    }

    /** Guards against a limit that holds twice, or requests that fail, after a granter crashed. */
    @Test
    void granterKilledUnderLoad_keepsTheLimit() throws Exception {
        String granter =
                LimitShards.none().among(ips).granter(LimitShards.shardOf(LIMITED)).orElseThrow();
        await("served", () -> call(ips.get(0), LIMITED).status() == 200);
        List<Timed> responses =
                load(
                        Duration.ofSeconds(7),
                        () -> {
                            platform.killGateway(granter);
                            ips.remove(granter);
                        });
        assertBound(responses);
        long end = responses.getLast().nanos();
        List<Timed> lastSeconds =
                responses.stream()
                        .filter(response -> end - response.nanos() < 2_000_000_000L)
                        .toList();
        // Two of three slices are left.
        assertThat(count(lastSeconds, 200)).isGreaterThan(RATE);
    }

    /** Guards against a gateway whose seeds are stale: it served nobody, then without a bound. */
    @Test
    void gatewayWithStaleSeeds_sharesTheLimitWithTheOthers() throws Exception {
        await("served", () -> call(ips.get(0), LIMITED).status() == 200);
        String added = platform.startGateway(4, List.of("127.0.0.99"));
        await(
                "limited requests served at " + added,
                Duration.ofSeconds(5),
                () -> call(added, LIMITED).status() == 200);
        ips.add(added);
        assertBound(load(Duration.ofSeconds(7), () -> {}));
    }

    private static long count(List<Timed> responses, int status) {
        return responses.stream().filter(response -> response.status() == status).count();
    }

    private static void assertBound(List<Timed> responses) {
        List<Timed> served =
                responses.stream().filter(response -> response.status() == 200).toList();
        for (Timed first : served) {
            long inSpan =
                    served.stream()
                            .filter(response -> response.nanos() >= first.nanos())
                            .filter(response -> response.nanos() - first.nanos() <= 5_000_000_000L)
                            .count();
            assertThat((double) inSpan).isLessThanOrEqualTo((RATE * 5 + BURST) * 1.1 + 20);
        }
    }

    /** Sends requests to all gateways in turn, more than the limit allows. */
    private List<Timed> load(Duration time, Runnable afterASecond) throws Exception {
        List<Timed> responses = Collections.synchronizedList(new ArrayList<>());
        ScheduledExecutorService executor = Executors.newScheduledThreadPool(8);
        Runnable request =
                () -> {
                    try {
                        List<String> running = List.copyOf(ips);
                        String ip = running.get(sequence.get() % running.size());
                        int status = call(ip, LIMITED).status();
                        responses.add(new Timed(System.nanoTime(), status));
                    } catch (IOException gatewayKilled) {
                        responses.add(new Timed(System.nanoTime(), 0));
                    }
                };
        for (int thread = 0; thread < 4; thread++) {
            executor.scheduleAtFixedRate(request, thread * 7, 40, TimeUnit.MILLISECONDS);
        }
        executor.schedule(afterASecond, 1, TimeUnit.SECONDS);
        executor.schedule(executor::shutdown, time.toMillis(), TimeUnit.MILLISECONDS);
        assertThat(executor.awaitTermination(time.toSeconds() + 20, TimeUnit.SECONDS)).isTrue();
        return responses.stream().sorted((a, b) -> Long.compare(a.nanos(), b.nanos())).toList();
    }
}
