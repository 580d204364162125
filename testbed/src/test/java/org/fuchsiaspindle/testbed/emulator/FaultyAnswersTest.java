package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.RESUMABLE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.UNSAFE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitTargets;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Connection;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Handler;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against answers of faulty targets that mislead clients. */
final class FaultyAnswersTest {

    private static final String SERVER_IP = "127.0.2.8";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: two\n\n";

    private final PlatformEmulator platform = PlatformEmulator.start();
    private final List<String> runs = new CopyOnWriteArrayList<>();
    private BlockingHttpServer server;
    private String ip;
    private int soundTargets = 1;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        platform.addEngine("plain-ready", "plain", 4, Duration.ofMillis(5));
        ip = platform.startGateway(1);
        awaitReady(platform, ip);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
        server.close();
    }

    /** Guards against a request that ran and is answered as if it had not, or that runs again. */
    @Test
    void refusalThatIsWrittenTwice_isNotTheAnswerToALaterRequest() throws Exception {
        String refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        Map<Connection, Boolean> refusing = new ConcurrentHashMap<>();
        startServer(
                "model",
                (request, connection) -> {
                    boolean first = !refusing.containsKey(connection);
                    // The first request on every other connection is refused.
                    refusing.putIfAbsent(connection, refusing.size() % 2 == 0);
                    if (refusing.get(connection)) {
                        connection.write(refusal);
                    }
                    if (!first || !refusing.get(connection)) {
                        runs.add(request.header("Attempt-Id"));
                        connection.write(
                                HEAD.formatted(request.header("Attempt-Id"))
                                        + "Content-Length: 4\r\n\r\ndone");
                    }
                    return true;
                });
        for (int i = 0; i < 4; i++) {
            String id = "a" + i;
            Response response = call(STREAM, id);
            long ran = runs.stream().filter(id::equals).count();
            assertThat(ran).isLessThanOrEqualTo(1);
            assertThat(ran == 1 && response.status() == 503).isFalse();
        }
    }

    @Test
    void streamThatBreaksAndFailsElsewhere_isNeitherCompletedNorMixed() throws Exception {
        assertStreamIsCut("HTTP/1.1 500 Failed\r\nAttempt-Id: b\r\nServer-Stamp: s\r\n", "error");
        assertStreamIsCut("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n", "busy");
        assertStreamIsCut("HTTP/1.1 422 No\r\nAttempt-Id: b\r\nServer-Stamp: s\r\n", "never");
    }

    @Test
    void streamThatBreaksAndContinuesWithAnotherKindOfAnswer_isCut() throws Exception {
        assertStreamIsCut(HEAD.formatted("b"), "no stream");
        assertStreamIsCut(HEAD.formatted("b"), "no stream ".repeat(50_000));
    }

    /** Lets the first target of a request break its stream; the next ones answer otherwise. */
    private void assertStreamIsCut(String otherHead, String otherBody) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        startServer(
                "model",
                (request, connection) -> {
                    if (requests.incrementAndGet() > 1) {
                        connection.write(
                                otherHead
                                        + "Content-Length: "
                                        + otherBody.length()
                                        + "\r\n\r\n"
                                        + otherBody);
                        return true;
                    }
                    connection.write(HEAD.formatted("b") + EVENTS + CHUNKED);
                    connection.chunk(FIRST_EVENT);
                    pause();
                    connection.resetOnClose();
                    return false;
                });
        Response response = call(RESUMABLE, "b");
        assertThat(requests.get()).isGreaterThan(1);
        assertThat(response.body()).isEqualTo(FIRST_EVENT);
        assertThat(response.complete()).isFalse();
        server.close();
    }

    /** Guards against a partial head that is forwarded as a response without a body. */
    @Test
    void answerThatStopsWithinItsHead_isNoSuccess() throws Exception {
        for (String head :
                List.of(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: c\r\nServer-Stamp: s\r\n",
                        "HTTP/1.1 200 OK\r\nAttempt-Id: c\r\nServer-Stamp: s\r\nContent-Le",
                        "HTTP/1.1 200 OK\r\n"
                                + "Attempt-Id: c\r\n"
                                + "Server-Stamp: s\r\n"
                                + "Content-Length: 4\r\n",
                        "HTTP/1.1 200 OK\r\n",
                        "HTTP/1.1 200 O")) {
            startServer(
                    "model",
                    (request, connection) -> {
                        connection.write(head);
                        return false;
                    });
            Response response = call(STREAM, "c");
            assertThat(response.status() == 200 && response.complete()).as(head).isFalse();
            assertThat(response.status()).as(head).isNotEqualTo(503);
            server.close();
        }
    }

    /** Guards against whole answers that are taken for broken ones, and the other way round. */
    @Test
    void answerThatEndsWithItsConnection_isWholeUnlessItBreaks() throws Exception {
        startUnframed(connection -> connection.write(FIRST_EVENT + SECOND_EVENT));
        Response whole = call(STREAM, "d");
        assertThat(whole.status()).isEqualTo(200);
        assertThat(whole.complete()).isTrue();
        assertThat(whole.body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        server.close();
        startUnframed(connection -> connection.write(FIRST_EVENT + "id: 2\nda"));
        Response cutWithinAnEvent = call(STREAM, "d");
        assertThat(cutWithinAnEvent.complete()).isFalse();
        assertThat(FIRST_EVENT).startsWith(cutWithinAnEvent.body());
        server.close();
        startUnframed(
                connection -> {
                    connection.write(FIRST_EVENT);
                    pause();
                    connection.resetOnClose();
                });
        assertThat(call(STREAM, "d").complete()).isFalse();
    }

    @Test
    void unsafeAnswerThatEndsWithItsConnection_isWhole() throws Exception {
        platform.store().remove("servers", "plain-ready");
        soundTargets = 0;
        startServer(
                "plain",
                (request, connection) -> {
                    connection.write(HEAD.formatted(request.header("Attempt-Id")) + "\r\nwhole");
                    return false;
                });
        Response response = call(UNSAFE, "e");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("whole");
        assertThat(response.complete()).isTrue();
    }

    /** Guards against a result without the last event of its item. */
    @Test
    void itemWhoseStreamEndsWithinAnEvent_runsAgain() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        startServer(
                "model",
                (request, connection) -> {
                    connection.write(
                            HEAD.formatted(request.header("Attempt-Id")) + EVENTS + "\r\n");
                    boolean resumed = !request.header("Last-Event-Id").isEmpty();
                    connection.write(resumed ? "" : FIRST_EVENT);
                    connection.write(
                            requests.incrementAndGet() == 1 ? "id: 2\ndata: tw" : SECOND_EVENT);
                    return false;
                });
        assertThat(submit("job-1")).isEqualTo(202);
        await("item completed", () -> results("job-1").contains("completed"));
        assertThat(results("job-1")).contains("one\\ntwo\"");
    }

    /** Guards against a result with text that belongs to no event of its item. */
    @Test
    void itemThatIsResumedByAnotherKindOfAnswer_takesNothingOfIt() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        startServer(
                "model",
                (request, connection) -> {
                    String head = HEAD.formatted(request.header("Attempt-Id"));
                    switch (requests.incrementAndGet()) {
                        case 1 -> connection.write(head + EVENTS + "\r\n" + FIRST_EVENT + "id: 2");
                        case 2 -> connection.write(head + "\r\ndata: other\n\n");
                        default -> connection.write(head + EVENTS + "\r\n" + SECOND_EVENT);
                    }
                    return false;
                });
        assertThat(submit("job-2")).isEqualTo(202);
        await("item completed", () -> results("job-2").contains("completed"));
        assertThat(results("job-2")).contains("\"one\\ntwo\"");
    }

    /** Guards against a status that no client can tell the meaning of, and that is passed on. */
    @Test
    void answerWithAnImpossibleStatus_isNoAnswer() throws Exception {
        platform.store().remove("servers", "plain-ready");
        soundTargets = 0;
        for (String status : List.of("000", "099", "600", "999", "1000")) {
            startServer(
                    "plain",
                    (request, connection) -> {
                        connection.write(
                                HEAD.replace("200", status).formatted(request.header("Attempt-Id"))
                                        + "Content-Length: 4\r\n\r\nodd!");
                        return true;
                    });
            Response response = call(UNSAFE, "f" + status);
            assertThat(response.status()).as(status).isEqualTo(502);
            assertThat(response.body()).as(status).doesNotContain("odd!");
            server.close();
        }
    }

    /** Guards against an item that ends, or counts a failure, by a status that says nothing. */
    @Test
    void itemWithAnImpossibleStatus_runsAgain() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        startServer(
                "model",
                (request, connection) -> {
                    String head = HEAD.formatted(request.header("Attempt-Id"));
                    boolean odd = requests.incrementAndGet() <= 4;
                    connection.write(
                            (odd ? head.replace("200", "600") : head)
                                    + EVENTS
                                    + "\r\n"
                                    + FIRST_EVENT
                                    + SECOND_EVENT);
                    return false;
                });
        assertThat(submit("job-3")).isEqualTo(202);
        await("item completed", () -> results("job-3").contains("completed"));
        assertThat(results("job-3")).contains("\"one\ntwo\"".replace("\n", "\\n"));
    }

    private int submit(String job) throws IOException {
        String body = EmulatorJobs.submission(job, 1, 2);
        return platform.client(ip)
                .call("POST", GatewayFixture.BATCH + "x", headers(job), body)
                .status();
    }

    /** Writes the body of an answer that has neither a length nor chunks. */
    @FunctionalInterface
    private interface BodyWriter {
        void write(Connection connection) throws IOException;
    }

    private void startUnframed(BodyWriter body) throws Exception {
        startServer(
                "model",
                (request, connection) -> {
                    connection.write(HEAD.formatted("d") + EVENTS + "\r\n");
                    body.write(connection);
                    return false;
                });
    }

    private void startServer(String service, Handler handler) throws Exception {
        platform.store().remove("servers", "faulty");
        awaitTargets(platform, soundTargets);
        server = BlockingHttpServer.start(SERVER_IP, 0, handler);
        String registration =
                ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\",\"slots\":4,"
                                + "\"state\":\"ready\",\"born\":1}")
                        .formatted(service, SERVER_IP, server.port());
        platform.store().put("servers", "faulty", registration.getBytes(StandardCharsets.UTF_8));
        awaitTargets(platform, soundTargets + 1);
    }

    /** Gives what was written the time to arrive before a reset discards it. */
    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Response call(String path, String id) throws IOException {
        return platform.client(ip).call("POST", path + "x", headers(id), "");
    }

    private String results(String job) throws IOException {
        return platform.client(ip).call("GET", "/lots/" + job, headers("read"), "").body();
    }
}
