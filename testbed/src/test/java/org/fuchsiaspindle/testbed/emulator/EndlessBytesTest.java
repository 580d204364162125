package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitTargets;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a server whose bytes never end and that takes the memory of a gateway, holds a
 * request beyond its time, or makes the gateway tell its client something untrue.
 */
final class EndlessBytesTest {

    private static final String SERVER_IP = "127.0.2.9";

    /** Far more than a gateway has to read to notice, far less than a server sends in a second. */
    private static final long MAX_BYTES_READ = 24L << 20;

    /** The deadline of the requests is 4 s. */
    private static final Duration MAX_TIME = Duration.ofMillis(4500);

    private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\n";

    private final PlatformEmulator platform = PlatformEmulator.start();
    private EndlessServer server;
    private String ip;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        platform.addEngine("plain-1", "plain", 4, Duration.ofMillis(5));
        ip = platform.startGateway(1);
        awaitReady(platform, ip);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
        server.close();
    }

    @Test
    void headWithoutEnd_isCutOff() throws Exception {
        startServer("model", HEAD, "X-Filler: more\r\n");
        assertMayHaveRun(call(GatewayFixture.STREAM, "a"));
        assertCutOff();
    }

    @Test
    void headerLineWithoutEnd_isCutOff() throws Exception {
        startServer("model", HEAD + "X-Filler: ", "more");
        assertMayHaveRun(call(GatewayFixture.STREAM, "b"));
        assertCutOff();
    }

    @Test
    void bytesThatAreNoAnswer_areCutOff() throws Exception {
        startServer("model", "", "no answer ");
        assertMayHaveRun(call(GatewayFixture.STREAM, "c"));
        assertCutOff();
    }

    @Test
    void interimResponsesWithoutEnd_areCutOff() throws Exception {
        startServer("model", "", "HTTP/1.1 102 Processing\r\n\r\n");
        assertMayHaveRun(call(GatewayFixture.STREAM, "d"));
        assertCutOff();
    }

    @Test
    void answerToAnotherRequestWithoutEnd_isCutOff() throws Exception {
        startServer(
                "model",
                "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\n\r\n",
                "another caller's bytes ");
        Response response = call(GatewayFixture.STREAM, "e");
        assertMayHaveRun(response);
        assertThat(response.body()).doesNotContain("another caller");
        assertCutOff();
    }

    @Test
    void failureWithoutEnd_isCutOff() throws Exception {
        startServer(
                "model",
                "HTTP/1.1 500 Error\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\n\r\n",
                "the error ");
        assertMayHaveRun(call(GatewayFixture.STREAM, "f"));
        assertCutOff();
    }

    /** The server says that the request did not run, so the client must be told so. */
    @Test
    void refusalWithoutEnd_isCutOffAndRemainsARefusal() throws Exception {
        startServer(
                "model",
                "HTTP/1.1 503 Busy\r\nAttempt-Id: ID\r\nNot-Run: 1\r\n\r\n",
                "the reason ");
        assertThat(call(GatewayFixture.STREAM, "g").status()).isEqualTo(503);
        assertCutOff();
    }

    @Test
    void eventWithoutEnd_isCutOff() throws Exception {
        startServer("model", HEAD + EVENTS + "\r\nid: 1\ndata: ", "more");
        assertMayHaveRun(call(GatewayFixture.STREAM, "h"));
        assertCutOff();
    }

    @Test
    void chunkExtensionWithoutEnd_isCutOff() throws Exception {
        startServer(
                "model", HEAD + EVENTS + "Transfer-Encoding: chunked\r\n\r\n5;extension=", "more");
        assertMayHaveRun(call(GatewayFixture.STREAM, "i"));
        assertCutOff();
    }

    @Test
    void trailersWithoutEnd_neverMakeAnAnswerComplete() throws Exception {
        startServer(
                "model",
                HEAD + EVENTS + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Trailer: more\r\n");
        Response response = call(GatewayFixture.STREAM, "j");
        assertThat(response.status() == 200 && response.complete()).isFalse();
        assertCutOff();
    }

    /** The answer is complete; what follows belongs to no request. */
    @Test
    void bytesAfterACompleteAnswer_reachNoOtherRequest() throws Exception {
        startServer("model", HEAD + "Content-Length: 4\r\n\r\ndone", "HTTP/1.1 200 OK\r\n");
        for (int i = 0; i < 5; i++) {
            Response response = call(GatewayFixture.STREAM, "k" + i);
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("done");
            assertThat(response.headers()).containsEntry("Attempt-Id", "k" + i);
        }
        assertCutOff();
    }

    /** Guards against an item that buffers an event without end until the process is killed. */
    @Test
    void batchItemWithAnEventWithoutEnd_runsElsewhere() throws Exception {
        startServer("model", HEAD + EVENTS + "\r\nid: 1\ndata: ", "more");
        submit("job-1");
        await("item was tried", () -> server.requests() > 0);
        assertCutOff();
        platform.addEngine("model-1", "model", 4, Duration.ofMillis(2));
        await("item completed", () -> results("job-1").contains("completed"));
        assertThat(results("job-1")).doesNotContain("more").doesNotContain("dead_letter");
    }

    /** Guards against an item that takes events without end. */
    @Test
    void batchItemWithEventsWithoutEnd_runsElsewhere() throws Exception {
        startServer("model", HEAD + EVENTS + "\r\n", "data: more\n\n");
        submit("job-2");
        await("item was tried", () -> server.requests() > 0);
        assertCutOff();
        platform.addEngine("model-1", "model", 4, Duration.ofMillis(2));
        await("item completed", () -> results("job-2").contains("completed"));
        assertThat(results("job-2")).doesNotContain("more").doesNotContain("dead_letter");
    }

    /** Guards against one such server that makes requests fail although others are sound. */
    @Test
    void soundTargets_serveBesideOne() throws Exception {
        startServer("plain", HEAD, "X-Filler: more\r\n");
        for (int i = 0; i < 20; i++) {
            assertThat(call(GatewayFixture.SAFE, "l" + i).status()).isEqualTo(200);
        }
    }

    private void startServer(String service, String start, String filler) throws Exception {
        server = EndlessServer.start(SERVER_IP, start, filler);
        platform.store().put("servers", "endless", server.registration(service, SERVER_IP));
        awaitTargets(platform, 2);
    }

    private Response call(String path, String id) throws IOException {
        long start = System.nanoTime();
        Response response = platform.client(ip).call("POST", path + "x", headers(id), "");
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_TIME);
        return response;
    }

    private static void assertMayHaveRun(Response response) {
        boolean cutWithinAnswer = response.status() == 200 && !response.complete();
        assertThat(cutWithinAnswer || response.status() == 502 || response.status() == 504)
                .as("status %s, complete %s", response.status(), response.complete())
                .isTrue();
    }

    private void assertCutOff() throws Exception {
        await("all answers cut off", Duration.ofSeconds(6), () -> server.openAnswers() == 0);
        assertThat(server.requests()).isPositive();
        assertThat(server.sentBytes() / server.requests()).isLessThan(MAX_BYTES_READ);
    }

    private void submit(String job) throws IOException {
        String body = EmulatorJobs.submission(job, 1, 3);
        Map<String, String> headers = Map.of("Attempt-Id", job, "Deadline-Ms", "4000");
        assertThat(
                        platform.client(ip)
                                .call("POST", GatewayFixture.BATCH + "x", headers, body)
                                .status())
                .isEqualTo(202);
    }

    private String results(String job) throws IOException {
        return platform.client(ip).call("GET", "/lots/" + job, headers("read"), "").body();
    }
}
