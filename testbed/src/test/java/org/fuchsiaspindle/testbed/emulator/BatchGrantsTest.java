package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.EmulatorJobs.submission;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.BATCH;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitTargets;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.streamHeaders;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.fuchsiaspindle.testbed.fleet.Ports;
import org.fuchsiaspindle.testbed.proxy.FaultProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against accepted batch items that never run beside idle targets, because the coordinator
 * of a pool and a gateway count the slots that were granted apart.
 */
final class BatchGrantsTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String FIRST = "127.0.0.11";
    private static final String SECOND = "127.0.0.12";
    private static final int SLOTS = 4;
    private static final int SHORT = 15;
    private static final int LONG = 150;

    /** More than run while the former coordinator is avoided for two seconds. */
    private static final int MANY = 6 * SLOTS;

    private static final int MEDIUM = 80;

    /** Time after the end of all troubles in which accepted items must be done. */
    private static final Duration FINISH_TIME = Duration.ofSeconds(18);

    private static final Duration EVENT_TIME = Duration.ofMillis(10);

    private final PlatformEmulator platform = PlatformEmulator.start();
    private final int firstPort = Ports.allocate();
    private final int secondPort = Ports.allocate();
    private EngineEmulator engine;
    private FaultProxy toFirst;
    private FaultProxy toSecond;

    /** The first gateway coordinates; between the gateways lies a proxy for each direction. */
    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        engine = platform.addEngine("engine-1", "model", SLOTS, EVENT_TIME);
        platform.addEngine("plain-1", "plain", SLOTS, Duration.ofMillis(5));
        toSecond = proxy(SECOND, firstPort, secondPort);
        toFirst = proxy(FIRST, secondPort, firstPort);
        platform.setPeerPort(firstPort);
        platform.startGateway(1, List.of(SECOND));
        platform.setCapacity(0.25);
        platform.setPeerPort(secondPort);
        platform.startGateway(2, List.of(FIRST));
        awaitReady(platform, FIRST, SECOND);
    }

    private static FaultProxy proxy(String ip, int port, int targetPort) {
        return FaultProxy.start(
                new InetSocketAddress(ip, port), new InetSocketAddress(ip, targetPort));
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
        toFirst.close();
        toSecond.close();
    }

    /** Guards against first grants that are returned, whose slots items that are due later get. */
    @Test
    void firstItemsOfAPool_runInTheSlotsThatWereGranted() throws Exception {
        submit(SECOND, "job-a", 2 * SLOTS, SHORT);
        awaitResults("job-a", 2 * SLOTS);
        assertThat(platform.metric("fuchsiaspindle_slot_events_total{event=\"batch_returned\""))
                .isZero();
    }

    /** Guards against a count that begins anew at one side only when a pool is empty for a time. */
    @Test
    void items_runAfterThePoolWasEmpty() throws Exception {
        submit(SECOND, "job-a", 2 * SLOTS, SHORT);
        awaitResults("job-a", 2 * SLOTS);
        submit(FIRST, "job-b", SLOTS, LONG);
        await("all slots are used", () -> engine.active() == SLOTS);
        // Its demand is withdrawn, so that the second gateway has no more use for the pool.
        submit(SECOND, "job-c", SLOTS, SHORT);
        long demands = frames("BATCH_DEMAND");
        assertThat(
                        platform.client(SECOND)
                                .call("DELETE", "/lots/job-c", headers("end"), "")
                                .status())
                .isEqualTo(200);
        await("the demand is withdrawn", () -> frames("BATCH_DEMAND") > demands);
        awaitResults("job-b", SLOTS);
        platform.unregister(engine);
        awaitTargets(platform, 2);
        engine = platform.addEngine("engine-2", "model", SLOTS, EVENT_TIME);
        awaitTargets(platform, 4);
        submit(SECOND, "job-d", 2 * SLOTS, SHORT);
        awaitResults("job-d", 2 * SLOTS);
    }

    /** Guards against grants lost with a connection that occupy the slots for ever. */
    @Test
    void items_runAfterGrantsWereLostWithTheirConnection() throws Exception {
        fillSlotsAndLetOthersWait(3 * SLOTS, SHORT);
        toSecond.toTarget().setHeld(true);
        awaitGrantsSent();
        toSecond.resetConnections();
        toSecond.clear();
        awaitResults("job-b", 3 * SLOTS);
    }

    /** Guards against late grants of a former coordinator that it takes for received ones. */
    @Test
    void items_runAfterGrantsArrivedFromAFormerCoordinator() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            fillSlotsAndLetOthersWait(MANY, MEDIUM);
            toSecond.toTarget().setHeld(true);
            toFirst.toTarget().setHeld(true);
            awaitGrantsSent();
            // Only a request for a slot shows that the coordinator does not answer.
            threads.submit(() -> stream("hint"));
            await("the second gateway coordinates", () -> engine.active() > 0);
            toSecond.clear();
            toFirst.clear();
        }
        awaitResults("job-b", MANY);
    }

    private void fillSlotsAndLetOthersWait(int items, int events) throws Exception {
        submit(FIRST, "job-a", SLOTS, LONG);
        await("all slots are used", () -> engine.active() == SLOTS);
        long demands = frames("BATCH_DEMAND");
        submit(SECOND, "job-b", items, events);
        await("the demand is sent", () -> frames("BATCH_DEMAND") > demands);
        // Late, so that the slots are free before a gateway that is not heard counts as lost.
        await(
                "the items end soon",
                () -> engine.ledger().stream().allMatch(run -> run.events() > LONG * 2 / 3));
    }

    /** Waits until the slots of the first gateway are free and granted to the second one. */
    private void awaitGrantsSent() throws Exception {
        long grants = frames("BATCH_GRANT");
        await("slots are granted", () -> frames("BATCH_GRANT") >= grants + SLOTS);
    }

    private long frames(String kind) throws IOException {
        return (long)
                platform.metric("fuchsiaspindle_control_messages_total{kind=\"" + kind + "\"");
    }

    private int stream(String id) throws IOException {
        return platform.client(SECOND)
                .call("POST", STREAM + "x", streamHeaders(id, 2), "")
                .status();
    }

    private void submit(String ip, String job, int items, int events) throws IOException {
        assertThat(
                        platform.client(ip)
                                .call(
                                        "POST",
                                        BATCH + job,
                                        headers(job),
                                        submission(job, items, events))
                                .status())
                .isEqualTo(202);
    }

    private void awaitResults(String job, int items) throws Exception {
        await("results of " + job, FINISH_TIME, () -> resultCount(job) == items);
    }

    /** Returns the number of listed results, which are read in several parts. */
    private int resultCount(String job) throws IOException {
        int count = 0;
        int previous;
        do {
            previous = count;
            String path = "/lots/" + job + "?after=" + previous;
            String body = platform.client(FIRST).call("GET", path, headers("read"), "").body();
            count = JSON.readTree(body).path("next").asInt();
        } while (count > previous);
        return count;
    }
}
