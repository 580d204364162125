package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.RESUMABLE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.SAFE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.UNSAFE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitTargets;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Connection;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Handler;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that are taken for those of another run or hold their caller. */
final class DuplicateAnswersTest {

    private static final String SERVER_IP = "127.0.2.10";

    /** The deadline of the requests is 4 s; an answer that cannot be used is known at once. */
    private static final Duration MAX_TIME = Duration.ofMillis(1500);

    /** So long that the connections of the callers are idle most of the time. */
    private static final Duration CALL_INTERVAL = Duration.ofMillis(40);

    private static final String EVENTS = "Content-Type: text/event-stream\r\n";
    private static final String EVENT = "id: 1\ndata: late\n\n";

    private final PlatformEmulator platform = PlatformEmulator.start();
    private BlockingHttpServer server;
    private String ip;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        platform.addEngine("plain-ready", "plain", 4, Duration.ofMillis(5));
        ip = platform.startGateway(1);
        awaitReady(platform, ip);
        platform.store().remove("servers", "plain-ready");
        awaitTargets(platform, 0);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
        server.close();
    }

    /** Guards against a late success that replaces the failure of the same run. */
    @ParameterizedTest
    @ValueSource(strings = {SAFE, UNSAFE, STREAM, RESUMABLE})
    void failureWithoutIdentifier_isNotReplacedByALateSuccess(String path) throws Exception {
        startServers(
                (request, connection) -> {
                    connection.write(failure(""));
                    connection.write(success(request.header("Attempt-Id")));
                    return true;
                });
        Response response = call(path, "a");
        assertThat(response.status()).isEqualTo(502);
    }

    /** Guards against a request that waits for its time limit, and its slot with it. */
    @ParameterizedTest
    @ValueSource(strings = {SAFE, UNSAFE, STREAM, RESUMABLE})
    void failureWithoutIdentifier_endsItsCallAtOnce(String path) throws Exception {
        startServers(
                (request, connection) -> {
                    connection.write(failure(""));
                    return true;
                });
        Response response = call(path, "b");
        assertThat(response.status()).isEqualTo(502);
    }

    /** Guards against an item with the text of a run that its target reported as failed. */
    @Test
    void failureOfAnItemWithoutIdentifier_isNotReplacedByALateSuccess() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        startServers(
                (request, connection) -> {
                    String id = request.header("Attempt-Id");
                    if (runs.incrementAndGet() > 1) {
                        connection.write(success(id).replace("late", "good"));
                    } else {
                        connection.write(failure(""));
                        connection.write(success(id));
                    }
                    return true;
                });
        String body = EmulatorJobs.submission("job-1", 1, 1);
        assertThat(platform.client(ip).call("POST", "/batch/x", headers("job-1"), body).status())
                .isEqualTo(202);
        await("item completed", () -> results("job-1").contains("completed"));
        assertThat(results("job-1")).contains("good").doesNotContain("late");
    }

    /** Guards against a late answer of one run that is taken for that of the next run. */
    @Test
    void lateSuccessOfAFailedRun_isNotTheAnswerToItsNextRun() throws Exception {
        Map<Connection, String> lastFailed = new ConcurrentHashMap<>();
        startServers(
                (request, connection) -> {
                    String id = request.header("Attempt-Id");
                    String failedBefore = lastFailed.put(connection, id);
                    if (failedBefore != null) {
                        connection.write(success(failedBefore));
                    }
                    connection.write(failure("Attempt-Id: " + id + "\r\n"));
                    return true;
                });
        for (int i = 0; i < 10; i++) {
            assertThat(call(SAFE, "c" + i).status()).isEqualTo(500);
        }
    }

    /** Guards against a late refusal of an earlier request that makes the next one run twice. */
    @Test
    void lateRefusalWithoutIdentifier_isNotTheAnswerToALaterRequest() throws Exception {
        Set<Connection> answered = ConcurrentHashMap.newKeySet();
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        AtomicBoolean reused = new AtomicBoolean();
        startServers(
                (request, connection) -> {
                    String id = request.header("Attempt-Id");
                    if (!answered.add(connection)) {
                        reused.set(true);
                        connection.write(
                                "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
                    }
                    runs.merge(id, 1, Integer::sum);
                    connection.write(success(id));
                    return true;
                });
        for (int i = 0; i < 10 || !reused.get(); i++) {
            assertThat(call(UNSAFE, "h" + i).status()).isNotEqualTo(503);
        }
        assertThat(runs.values()).containsOnly(1);
    }

    /** Guards against an answer of another request that hides the own answer behind it. */
    @ParameterizedTest
    @ValueSource(strings = {SAFE, UNSAFE, STREAM, RESUMABLE})
    void answerOfAnotherRequestWithoutLength_endsItsCallAtOnce(String path) throws Exception {
        startServers(
                (request, connection) -> {
                    connection.write(
                            "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\n\r\nother");
                    connection.write(success(request.header("Attempt-Id")));
                    return true;
                });
        assertThat(call(path, "d").status()).isEqualTo(502);
    }

    /** Guards against an answer of another request that holds the call until its time limit. */
    @ParameterizedTest
    @ValueSource(
            strings = {"Content-Length: 100\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\n"})
    void answerOfAnotherRequestThatDoesNotEnd_endsItsCallSoon(String framing) throws Exception {
        startServers(
                (request, connection) -> {
                    connection.write(
                            "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\n"
                                    + framing
                                    + "ot");
                    return true;
                });
        assertThat(call(UNSAFE, "e").status()).isEqualTo(502);
    }

    /** Guards against a failure whose head is taken for the rest of an earlier, broken one. */
    @ParameterizedTest
    @MethodSource("partsOfAHead")
    void failureAfterAPartOfAHead_isNoSuccess(String part) throws Exception {
        startServers(
                (request, connection) -> {
                    connection.write(part);
                    connection.write(
                            failure("Attempt-Id: " + request.header("Attempt-Id") + "\r\n"));
                    return true;
                });
        assertThat(call(UNSAFE, "i").status()).isEqualTo(502);
        assertThat(call(STREAM, "j").status()).isEqualTo(502);
    }

    /** Guards against the same part of a head that arrives between two requests. */
    @ParameterizedTest
    @MethodSource("partsOfAHead")
    void partOfAHeadAfterAnAnswer_isNotTheStartOfTheNextAnswer(String part) throws Exception {
        AtomicInteger connections = new AtomicInteger();
        Set<Connection> answered = ConcurrentHashMap.newKeySet();
        startServers(
                (request, connection) -> {
                    String id = request.header("Attempt-Id");
                    if (answered.add(connection)) {
                        connections.incrementAndGet();
                        connection.write(success(id) + part);
                    } else {
                        connection.write(failure("Attempt-Id: " + id + "\r\n"));
                    }
                    return true;
                });
        for (int i = 0; i < 5; i++) {
            assertThat(call(UNSAFE, "k" + i).body()).isEqualTo(EVENT);
        }
        assertThat(connections.get()).isEqualTo(5);
    }

    static List<String> partsOfAHead() {
        return List.of(
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nServer-St",
                "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nX-Other: a");
    }

    /** Guards against an answer that is taken for the body of an earlier one, and never found. */
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 300})
    void answerBehindAHeadWithoutItsBody_doesNotHoldItsCall(int length) throws Exception {
        startServers(
                (request, connection) -> {
                    connection.write(headWithoutBody(length));
                    connection.write(
                            success(request.header("Attempt-Id"))
                                    .replace(
                                            "Content-Length: " + EVENT.length(),
                                            "Content-Length: 600")
                                    .replace(EVENT, "x".repeat(600)));
                    return true;
                });
        assertThat(call(UNSAFE, "l").status()).isEqualTo(502);
    }

    /** Guards against a failure that is taken for the body of an earlier answer. */
    @Test
    void failureBehindAHeadWithoutItsBody_isNotReplacedByALateSuccess() throws Exception {
        startServers(
                (request, connection) -> {
                    String id = request.header("Attempt-Id");
                    String failure = failure("Attempt-Id: " + id + "\r\n");
                    connection.write(headWithoutBody(failure.length()));
                    connection.write(failure);
                    connection.write(success(id));
                    return true;
                });
        assertThat(call(UNSAFE, "m").status()).isEqualTo(502);
    }

    /** Guards against a call that waits for the rest of a head until its time limit. */
    @ParameterizedTest
    @MethodSource("partsOfAHead")
    void partOfAHeadAndNothingMore_endsItsCallSoon(String part) throws Exception {
        startServers(
                (request, connection) -> {
                    connection.write(part);
                    return true;
                });
        assertThat(call(UNSAFE, "n").status()).isEqualTo(502);
    }

    private static String headWithoutBody(int length) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    /** Guards against an item whose failures are never counted, so that it runs without end. */
    @Test
    void itemThatAlwaysFailsWithoutIdentifier_runsAboutAsOftenAsItsAttempts() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        startServers(
                (request, connection) -> {
                    String id = request.header("Attempt-Id");
                    if (id.startsWith("job-2")) {
                        runs.incrementAndGet();
                        connection.write(failure(""));
                    } else {
                        served.incrementAndGet();
                        connection.write(success(id));
                    }
                    return true;
                });
        // Keeps connections in use that have carried other requests.
        AtomicBoolean stopped = new AtomicBoolean();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int caller = 0; caller < 3; caller++) {
            String prefix = "o" + caller + "-";
            callers.add(CompletableFuture.runAsync(() -> callUntil(stopped, prefix)));
        }
        try {
            await("connections in use", () -> served.get() > 10);
            String body = EmulatorJobs.submission("job-2", 1, 1);
            platform.client(ip).call("POST", "/batch/x", headers("job-2"), body);
            await("item given up", () -> results("job-2").contains("dead_letter"));
        } finally {
            stopped.set(true);
            callers.forEach(CompletableFuture::join);
        }
        // The rule is three times the attempts of the route.
        assertThat(runs.get()).isLessThanOrEqualTo(9);
    }

    /** Guards against a refusal without an identifier that fails a request that may run again. */
    @Test
    void refusalWithoutIdentifier_isFollowedByAnotherRunOfAnIdempotentRequest() throws Exception {
        Set<Connection> answered = ConcurrentHashMap.newKeySet();
        AtomicInteger refusals = new AtomicInteger();
        startServers(
                (request, connection) -> {
                    if (answered.add(connection)) {
                        connection.write(success(request.header("Attempt-Id")));
                    } else {
                        refusals.incrementAndGet();
                        connection.write(
                                "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
                    }
                    return true;
                });
        for (int i = 0; refusals.get() < 3; i++) {
            assertThat(call(SAFE, "p" + i).status()).isEqualTo(200);
        }
    }

    /** Guards against a sound answer that is given up because of what comes before it. */
    @ParameterizedTest
    @ValueSource(strings = {SAFE, UNSAFE, STREAM, RESUMABLE})
    void completeAnswerOfAnotherRequest_isPassedOver(String path) throws Exception {
        startServers(
                (request, connection) -> {
                    connection.write(success("other"));
                    connection.write(success(request.header("Attempt-Id")).replace("late", "mine"));
                    return true;
                });
        Response response = call(path, "f");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(EVENT.replace("late", "mine"));
    }

    /** Guards against an answer that names two requests and is taken for one of them. */
    @Test
    void answerWithTwoIdentifiers_isNoSuccess() throws Exception {
        startServers(
                (request, connection) -> {
                    String id = request.header("Attempt-Id");
                    connection.write(
                            success(id)
                                    .replace("Server-Stamp", "Attempt-Id: other\r\nServer-Stamp"));
                    return true;
                });
        assertThat(call(UNSAFE, "g").status()).isEqualTo(502);
    }

    private static String failure(String identifier) {
        return "HTTP/1.1 500 Failed\r\n"
                + identifier
                + "Server-Stamp: s\r\nContent-Length: 6\r\n\r\nfailed";
    }

    private static String success(String id) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: "
                + id
                + "\r\nServer-Stamp: s\r\n"
                + EVENTS
                + "Content-Length: "
                + EVENT.length()
                + "\r\n\r\n"
                + EVENT;
    }

    /** Starts a target of each service, both with the same answers. */
    private void startServers(Handler handler) throws Exception {
        server = BlockingHttpServer.start(SERVER_IP, 0, handler);
        for (String service : new String[] {"plain", "model"}) {
            String registration =
                    ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\",\"slots\":4,"
                                    + "\"state\":\"ready\",\"born\":1}")
                            .formatted(service, SERVER_IP, server.port());
            platform.store().put("servers", service, registration.getBytes(StandardCharsets.UTF_8));
        }
        awaitTargets(platform, 2);
    }

    private Response call(String path, String id) throws IOException {
        long start = System.nanoTime();
        Response response = platform.client(ip).call("POST", path + "x", headers(id), "");
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_TIME);
        return response;
    }

    private void callUntil(AtomicBoolean stopped, String prefix) {
        try {
            for (int i = 0; !stopped.get(); i++) {
                call(STREAM, prefix + i);
                Thread.sleep(CALL_INTERVAL);
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private String results(String job) throws IOException {
        return platform.client(ip).call("GET", "/lots/" + job, headers("read"), "").body();
    }
}
