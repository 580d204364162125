package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that a planned stop takes and then cuts off without an answer. */
final class GatewayStopTest {

    private static final Duration EVENT_TIME = Duration.ofMillis(100);

    /** Events of a stream that ends about six seconds after its start. */
    private static final int EVENTS = 60;

    private final PlatformEmulator platform = PlatformEmulator.start();
    private EngineEmulator plain;
    private String ip;

    @BeforeEach
    void startPlatform() throws Exception {
        String longTimeout = ",\"timeoutMs\":20000";
        platform.configure(
                PlatformEmulator.route(
                        "safe", GatewayFixture.SAFE, "safe", "plain", 2, longTimeout),
                PlatformEmulator.route(
                        "unsafe", GatewayFixture.UNSAFE, "unsafe", "plain", 1, longTimeout),
                PlatformEmulator.route(
                        "stream", GatewayFixture.STREAM, "streaming", "model", 1, longTimeout));
        plain = platform.addEngine("plain-1", "plain", 1, EVENT_TIME);
        platform.addEngine("model-1", "model", 4, EVENT_TIME);
        ip = platform.startGateway(1);
        awaitReady(platform, ip);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /**
     * The connection is still open, because its last answer began before the stop. Its next request
     * comes about a second before the process ends.
     */
    @Test
    void lateRequestThatMayLastBeyondTheStop_isRefusedAndDoesNotRun() throws Exception {
        try (Socket connection = openStream("stream-1")) {
            CompletableFuture<Void> stop = stopGateway();
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            assertThat(EmulatorClient.read(in).complete()).isTrue();
            plain.failNextResponse(EngineEmulator.ResponseFault.NO_RESPONSE);
            connection.getOutputStream().write(request("late", 9000));
            Response response = EmulatorClient.read(in);
            stop.join();
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.headers()).containsKey("Retry-After");
            assertThat(runs("late")).isZero();
        }
    }

    /** Guards against refusing requests that can be answered before the process ends. */
    @Test
    void lateRequestWithAShortDeadline_isAnswered() throws Exception {
        try (Socket connection = openStream("stream-2")) {
            CompletableFuture<Void> stop = stopGateway();
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            assertThat(EmulatorClient.read(in).complete()).isTrue();
            connection.getOutputStream().write(request("short", 600));
            assertThat(EmulatorClient.read(in).status()).isEqualTo(200);
            stop.join();
        }
    }

    /** Guards against a process that ends without answers to the requests that it still has. */
    @Test
    void requestsInProgressAtTheEnd_areAnsweredTruthfully() throws Exception {
        plain.failNextResponse(EngineEmulator.ResponseFault.NO_RESPONSE);
        CompletableFuture<Response> running = call("running");
        await("request runs", () -> runs("running") == 1);
        CompletableFuture<Response> waiting = call("waiting");
        stopGateway().join();
        assertThat(running.join().status()).isEqualTo(502);
        assertThat(waiting.join().status()).isEqualTo(503);
        assertThat(runs("waiting")).isZero();
    }

    private Socket openStream(String id) throws Exception {
        Map<String, String> headers =
                Map.of(
                        "Attempt-Id",
                        id,
                        "Deadline-Ms",
                        "15000",
                        "X-Events",
                        String.valueOf(EVENTS));
        Socket connection = platform.client(ip).open("POST", GatewayFixture.STREAM, headers, "");
        // The first byte of the answer: its head was sent before the stop.
        await("answer begins", () -> connection.getInputStream().available() > 0);
        return connection;
    }

    private static byte[] request(String id, int deadlineMillis) {
        return ("POST "
                        + GatewayFixture.UNSAFE
                        + "x HTTP/1.1\r\nHost: "
                        + PlatformEmulator.HOST
                        + "\r\nAttempt-Id: "
                        + id
                        + "\r\nDeadline-Ms: "
                        + deadlineMillis
                        + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private CompletableFuture<Response> call(String id) {
        Map<String, String> headers = Map.of("Attempt-Id", id, "Deadline-Ms", "15000");
        EmulatorClient client = platform.client(ip);
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return client.call("POST", GatewayFixture.UNSAFE + "x", headers, "");
                    } catch (IOException failure) {
                        throw new java.io.UncheckedIOException(failure);
                    }
                });
    }

    private CompletableFuture<Void> stopGateway() {
        return CompletableFuture.runAsync(() -> platform.stopGateway(ip));
    }

    private long runs(String id) {
        return plain.ledger().stream().filter(run -> run.requestId().equals(id)).count();
    }
}
