package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.startGateways;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.Run;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests whose prompts share a part that crashes every target. */
final class PromptPartCrashTest {

    private static final String CRASHING_PART = "dead01";
    private static final int GATEWAYS = 3;
    private static final int ENGINES = 4;
    private static final Duration DOWN_TIME = Duration.ofSeconds(2);

    /** Number of crashes after which the part must be known, and the time that may then pass. */
    private static final int CRASHES_TO_LEARN = 5;

    private static final Duration TIME_TO_LEARN = Duration.ofSeconds(3);

    /** Number of requests with the part that may reach targets after that. */
    private static final int MAX_LATER_REQUESTS = 3;

    private final PlatformEmulator platform = PlatformEmulator.start();
    private final List<EngineEmulator> engines = new ArrayList<>();
    private List<String> gateways;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        platform.addEngine("plain-1", "plain", 4, Duration.ofMillis(5));
        for (int number = 1; number <= ENGINES; number++) {
            EngineEmulator engine =
                    platform.addEngine("engine-" + number, "model", 4, Duration.ofMillis(20));
            engine.crashOnPart(CRASHING_PART, DOWN_TIME);
            engines.add(engine);
        }
        gateways = startGateways(platform, GATEWAYS);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /** Guards against one target after the other that is crashed by requests with one part. */
    @Test
    void requestsWithAPartThatCrashesTargets_areKeptFromTargets() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Response>> sound = new ArrayList<>();
            List<Future<Response>> crashing = new ArrayList<>();
            for (int i = 0; i < 240; i++) {
                String ip = gateways.get(i % GATEWAYS);
                String id = "sound-" + i;
                String middlePart = "b" + i % 5;
                sound.add(threads.submit(() -> stream(ip, id, middlePart)));
                if (i % 4 == 0) {
                    String crashingId = "crashing-" + i;
                    String other = gateways.get(i / 4 % GATEWAYS);
                    crashing.add(threads.submit(() -> stream(other, crashingId, CRASHING_PART)));
                }
                Thread.sleep(50);
            }
            assertThat(requestsAfterLearning()).isLessThanOrEqualTo(MAX_LATER_REQUESTS);
            Response last = crashing.getLast().get();
            assertThat(last.status()).isEqualTo(503);
            assertThat(last.headers()).containsKey("Retry-After");
            for (Future<Response> response : sound.subList(180, 240)) {
                assertThat(response.get().status()).isEqualTo(200);
                assertThat(response.get().complete()).isTrue();
            }
        }
    }

    /** Guards against a gateway that starts later and lets the part crash targets again. */
    @Test
    void gatewayThatStartsLater_knowsTheQuarantinedParts() throws Exception {
        crashUntilRefused();
        platform.killGateway(gateways.getFirst());
        platform.startGateway(1);
        awaitReady(platform, gateways.getFirst());
        int crashes = crashCount();
        await(
                "refused by the new gateway",
                () -> stream(gateways.getFirst(), "later", CRASHING_PART).status() == 503);
        assertThat(crashCount() - crashes).isLessThanOrEqualTo(1);
    }

    /** Guards against prompts that are refused because targets crashed for another reason. */
    @Test
    void crashesOfAllTargetsAtOnce_quarantineNoPrompt() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int round = 0; round < 3; round++) {
                List<Future<Response>> running = new ArrayList<>();
                for (int i = 0; i < 2 * ENGINES; i++) {
                    String ip = gateways.get(i % GATEWAYS);
                    String id = "round-" + round + "-" + i;
                    running.add(threads.submit(() -> stream(ip, id, "b1")));
                }
                await(
                        "half of the requests run",
                        () -> engines.stream().mapToInt(EngineEmulator::active).sum() >= ENGINES);
                engines.forEach(engine -> engine.crash(Duration.ofMillis(300)));
                for (Future<Response> response : running) {
                    response.get();
                }
                for (String ip : gateways) {
                    String id = "after-" + round + "-" + ip;
                    // A quarantine would last far longer than this wait.
                    await("served by " + ip, () -> stream(ip, id, "b1").status() == 200);
                }
            }
        }
    }

    /** Guards against batch items that crash targets one after the other until they are done. */
    @Test
    void batchItemsWithThePart_waitWhileOthersComplete() throws Exception {
        crashUntilRefused();
        int crashes = crashCount();
        submit("job-1", item("item-1", "b1"), item("item-2", CRASHING_PART));
        await("the other item completed", () -> results("job-1").contains("completed"));
        submit("job-2", item("item-3", "b1"));
        await("an item of a later job completed", () -> results("job-2").contains("completed"));
        assertThat(results("job-1")).contains("item-1").doesNotContain("dead_letter");
        assertThat(crashCount()).isEqualTo(crashes);
    }

    /** Guards against items that are abandoned although their quarantine is wrong by now. */
    @Test
    void itemWithAQuarantinedPart_completesAfterTheTargetsAreRepaired() throws Exception {
        crashUntilRefused();
        engines.forEach(engine -> engine.crashOnPart("", DOWN_TIME));
        submit("job-3", item("item-4", CRASHING_PART));
        await("the item completed", () -> results("job-3").contains("completed"));
    }

    /** Guards against trials that crash more than a few targets. */
    @Test
    void itemsThatStillCrashTargets_areTriedAFewTimesInTurn() throws Exception {
        crashUntilRefused();
        int crashes = crashCount();
        submit("job-4", item("item-5", CRASHING_PART), item("item-6", CRASHING_PART));
        await("both items were tried", Duration.ofSeconds(30), () -> crashCount() - crashes >= 2);
        assertThat(crashCount() - crashes).isEqualTo(2);
        assertThat(results("job-4")).doesNotContain("dead_letter");
    }

    private void submit(String job, String... items) throws Exception {
        Response response =
                platform.client(gateways.getFirst())
                        .call(
                                "POST",
                                GatewayFixture.BATCH + "x",
                                GatewayFixture.headers(job),
                                EmulatorJobs.submission(items));
        assertThat(response.status()).isEqualTo(202);
    }

    private static String item(String id, String middlePart) {
        return EmulatorJobs.item(
                id, Map.of("X-Events", "3", "Prompt-Prefix", prompt(id, middlePart)));
    }

    private String results(String job) throws Exception {
        return platform.client(gateways.getFirst())
                .call("GET", "/lots/" + job, GatewayFixture.headers("read"), "")
                .body();
    }

    private void crashUntilRefused() throws Exception {
        AtomicInteger count = new AtomicInteger();
        await(
                "the part is refused",
                () -> {
                    String id = "crashing-" + count.incrementAndGet();
                    String ip = gateways.get(count.get() % GATEWAYS);
                    stream(ip, "sound-" + id, "b1");
                    return stream(ip, id, CRASHING_PART).status() == 503;
                });
    }

    private int crashCount() {
        return engines.stream().mapToInt(engine -> engine.crashes().size()).sum();
    }

    private long requestsAfterLearning() {
        List<Long> crashes =
                engines.stream().flatMap(engine -> engine.crashes().stream()).sorted().toList();
        if (crashes.size() < CRASHES_TO_LEARN) {
            return 0;
        }
        long learned = crashes.get(CRASHES_TO_LEARN - 1) + TIME_TO_LEARN.toNanos();
        return engines.stream()
                .flatMap(engine -> engine.ledger().stream())
                .filter(run -> run.requestId().startsWith("crashing"))
                .mapToLong(Run::startNanos)
                .filter(start -> start - learned > 0)
                .count();
    }

    private static String prompt(String id, String middlePart) {
        return "a0:200," + middlePart + ":100," + Integer.toHexString(id.hashCode()) + ":50";
    }

    private Response stream(String ip, String id, String middlePart) throws Exception {
        Map<String, String> headers =
                Map.of(
                        "Attempt-Id",
                        id,
                        "Deadline-Ms",
                        "4000",
                        "X-Events",
                        "10",
                        "Prompt-Prefix",
                        prompt(id, middlePart));
        return platform.client(ip).call("POST", STREAM + "h", headers, "");
    }
}
