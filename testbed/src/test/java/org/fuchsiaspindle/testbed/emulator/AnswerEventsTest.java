package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitTargets;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Handler;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against irregular answers of targets that leave no trace in the metrics. */
final class AnswerEventsTest {

    private static final String SERVER_IP = "127.0.2.12";
    private static final String ANSWER =
            """
            HTTP/1.1 200 OK\r
            Attempt-Id: %s\r
            Server-Stamp: s\r
            Content-Length: 4\r
            \r
            done\
            """;
    private static final String FAILURE_WITHOUT_ID =
            "HTTP/1.1 500 Failed\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n";

    private final PlatformEmulator platform = PlatformEmulator.start();
    private final AtomicInteger requests = new AtomicInteger();
    private BlockingHttpServer server;
    private String ip;

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

    /** Guards against a late answer to another request that is passed over unseen. */
    @Test
    void answersOfOtherRequests_arePassedOverAndCounted() throws Exception {
        startServer(
                (request, connection) -> {
                    String id = request.header("Attempt-Id");
                    connection.write(ANSWER.formatted("other") + ANSWER.formatted(id));
                    return true;
                });
        Response response = call("a");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("done");
        assertThat(events("of_another_request")).isEqualTo(1);
        assertThat(events("accepted_after_another")).isEqualTo(1);
        assertThat(events("without_identifier")).isZero();
        assertThat(events("after_complete")).isZero();
    }

    /** Guards against a failure that names no request and leaves no trace. */
    @Test
    void answersWithoutIdentifier_areCounted() throws Exception {
        startServer(
                (request, connection) -> {
                    requests.incrementAndGet();
                    connection.write(FAILURE_WITHOUT_ID);
                    return false;
                });
        Response response = call("b");
        assertThat(response.status()).isNotEqualTo(200);
        assertThat(requests.get()).isPositive();
        assertThat(events("without_identifier")).isEqualTo(requests.get());
        assertThat(events("of_another_request")).isZero();
        assertThat(events("accepted_after_another")).isZero();
    }

    /** Guards against a second answer to a request that is dropped unseen. */
    @Test
    void bytesAfterACompleteAnswer_areCounted() throws Exception {
        startServer(
                (request, connection) -> {
                    String answer = ANSWER.formatted(request.header("Attempt-Id"));
                    connection.write(answer + answer);
                    return true;
                });
        assertThat(call("c").body()).isEqualTo("done");
        await("bytes counted", () -> events("after_complete") == 1);
        assertThat(events("accepted_after_another")).isZero();
    }

    /** Guards against sound answers that are counted as irregular. */
    @Test
    void soundAnswers_areNotCounted() throws Exception {
        startServer(
                (request, connection) -> {
                    connection.write(ANSWER.formatted(request.header("Attempt-Id")));
                    return true;
                });
        for (int i = 0; i < 5; i++) {
            assertThat(call("d" + i).status()).isEqualTo(200);
        }
        assertThat(platform.metric("fuchsiaspindle_target_answer_events_total")).isZero();
    }

    private double events(String event) throws IOException {
        return platform.metric(
                "fuchsiaspindle_target_answer_events_total{event=\"" + event + "\"}");
    }

    private void startServer(Handler handler) throws Exception {
        server = BlockingHttpServer.start(SERVER_IP, 0, handler);
        String registration =
                ("{\"service\":\"model\",\"address\":\"%s:%d\",\"zone\":\"zone-a\","
                                + "\"slots\":4,\"state\":\"ready\",\"born\":1}")
                        .formatted(SERVER_IP, server.port());
        platform.store().put("servers", "faulty", registration.getBytes(StandardCharsets.UTF_8));
        awaitTargets(platform, 2);
    }

    private Response call(String id) throws IOException {
        return platform.client(ip).call("POST", STREAM + "x", headers(id), "");
    }
}
