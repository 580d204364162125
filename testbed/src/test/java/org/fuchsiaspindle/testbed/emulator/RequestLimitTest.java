package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.startGateways;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.streamHeaders;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.Arrival;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests targets that announce how many requests a second they accept from all gateways. */
final class RequestLimitTest {

    private static final int GATEWAYS = 3;
    private static final double LIMIT = 2;
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** Time from the first announcement until the limit must hold. */
    private static final Duration TIME_TO_LEARN = Duration.ofSeconds(3);

    /** Requests in one window: one and a half times what the limit allows, and five more. */
    private static final double MAX_REQUESTS = 1.5 * LIMIT * 4 + 5;

    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(40);

    private final PlatformEmulator platform = PlatformEmulator.start();
    private List<String> gateways;
    private EngineEmulator limited;

    private int requests;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        platform.addEngine("plain-1", "plain", 4, Duration.ofMillis(5));
        limited = platform.addEngine("engine-1", "model", 8, Duration.ofMillis(10));
        platform.addEngine("engine-2", "model", 8, Duration.ofMillis(10));
        gateways = startGateways(platform, GATEWAYS);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /** Guards against a target that gets as many requests as it has slots, whatever its limit. */
    @Test
    void targetThatAnnouncesALimit_getsNoMoreFromAllGatewaysTogether() throws Exception {
        limited.announceLimit(OptionalDouble.of(LIMIT));
        long start = System.nanoTime();
        assertAllServed(load(Duration.ofSeconds(9), gateways));
        assertThat(mostInOneWindow(start)).isLessThanOrEqualTo((long) MAX_REQUESTS);
        assertThat(arrivalsSince(limited, start)).isGreaterThan((long) (LIMIT * 4));
    }

    /** Guards against a limit that is forgotten with the gateway that assigned the slots. */
    @Test
    void limitHolds_whenGatewaysAreLostAndReturn() throws Exception {
        limited.announceLimit(OptionalDouble.of(LIMIT));
        long start = System.nanoTime();
        load(Duration.ofSeconds(3), gateways);
        for (int number = 1; number <= 2; number++) {
            platform.killGateway(gateways.get(number - 1));
            List<String> left = new ArrayList<>(gateways);
            left.remove(number - 1);
            load(Duration.ofSeconds(2), left);
            platform.startGateway(number);
            awaitReady(platform, gateways.get(number - 1));
        }
        load(Duration.ofSeconds(3), gateways);
        assertThat(mostInOneWindow(start)).isLessThanOrEqualTo((long) MAX_REQUESTS);
    }

    /** Guards against a target that stays limited after it has stopped to announce a limit. */
    @Test
    void limitThatIsNoLongerAnnounced_isLifted() throws Exception {
        limited.announceLimit(OptionalDouble.of(LIMIT));
        load(Duration.ofSeconds(2), gateways);
        limited.announceLimit(OptionalDouble.empty());
        load(Duration.ofSeconds(2), gateways);
        long start = System.nanoTime();
        assertAllServed(load(Duration.ofSeconds(2), gateways));
        assertThat(arrivalsSince(limited, start)).isGreaterThan(2 * (long) (2 * LIMIT));
    }

    /** Guards against a limit that is forgotten while the target is not registered. */
    @Test
    void limitHolds_whenTheRegistrationLapsesAndReturns() throws Exception {
        limited.announceLimit(OptionalDouble.of(LIMIT));
        long start = System.nanoTime();
        load(Duration.ofSeconds(3), gateways);
        platform.unregister(limited);
        load(Duration.ofSeconds(2), gateways);
        platform.register(limited, false);
        load(Duration.ofSeconds(6), gateways);
        assertThat(mostInOneWindow(start)).isLessThanOrEqualTo((long) MAX_REQUESTS);
    }

    /** Guards against batch items that take what a limit leaves to online requests. */
    @Test
    void limitHolds_whileBatchItemsWait() throws Exception {
        limited.announceLimit(OptionalDouble.of(LIMIT));
        long start = System.nanoTime();
        assertThat(
                        platform.client(gateways.getFirst())
                                .call(
                                        "POST",
                                        GatewayFixture.BATCH + "x",
                                        GatewayFixture.headers("job-1"),
                                        EmulatorJobs.submission("job-1", 150, 10))
                                .status())
                .isEqualTo(202);
        assertAllServed(load(Duration.ofSeconds(9), gateways));
        assertThat(mostInOneWindow(start)).isLessThanOrEqualTo((long) MAX_REQUESTS);
    }

    private List<Future<Response>> load(Duration time, List<String> over) throws Exception {
        List<Future<Response>> responses = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            long end = System.nanoTime() + time.toNanos();
            while (System.nanoTime() - end < 0) {
                String ip = over.get(requests % over.size());
                String id = "r" + requests++;
                responses.add(
                        threads.submit(
                                () ->
                                        platform.client(ip)
                                                .call(
                                                        "POST",
                                                        STREAM + "h",
                                                        streamHeaders(id, 5),
                                                        "")));
                Thread.sleep(REQUEST_INTERVAL);
            }
        }
        return responses;
    }

    private static void assertAllServed(List<Future<Response>> responses) throws Exception {
        for (Future<Response> response : responses) {
            assertThat(response.get().status()).isEqualTo(200);
            assertThat(response.get().complete()).isTrue();
        }
    }

    private static long arrivalsSince(EngineEmulator engine, long start) {
        return engine.arrivals().stream().filter(arrival -> arrival.nanos() - start > 0).count();
    }

    /** Returns the largest number of requests in a window after the time to learn the limit. */
    private long mostInOneWindow(long start) {
        long from = start + TIME_TO_LEARN.toNanos();
        List<Long> times =
                limited.arrivals().stream()
                        .map(Arrival::nanos)
                        .filter(nanos -> nanos - from > 0)
                        .sorted()
                        .toList();
        return times.stream()
                .mapToLong(
                        first ->
                                times.stream()
                                        .filter(time -> time - first >= 0)
                                        .filter(time -> time - first < WINDOW.toNanos())
                                        .count())
                .max()
                .orElse(0);
    }
}
