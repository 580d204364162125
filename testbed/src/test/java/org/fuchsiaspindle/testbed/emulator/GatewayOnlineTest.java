package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.streamHeaders;

import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.ResponseFault;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.Run;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests online requests through one gateway with every kind of target fault. */
final class GatewayOnlineTest {

    private final PlatformEmulator platform = PlatformEmulator.start();
    private EngineEmulator first;
    private EngineEmulator second;
    private EngineEmulator plainFirst;
    private EngineEmulator plainSecond;
    private EmulatorClient client;
    private String ip;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        first = platform.addEngine("engine-1", "model", 4, Duration.ofMillis(10));
        second = platform.addEngine("engine-2", "model", 4, Duration.ofMillis(10));
        plainFirst = platform.addEngine("plain-1", "plain", 4, Duration.ofMillis(5));
        plainSecond = platform.addEngine("plain-2", "plain", 4, Duration.ofMillis(5));
        ip = platform.startGateway(1);
        client = platform.client(ip);
        awaitReady(platform, ip);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /** Guards against responses that lose the headers, the status or the body of the target. */
    @Test
    void plainRequest_returnsTheUnchangedResponse() throws Exception {
        Response response =
                client.call("POST", GatewayFixture.SAFE + "w?x=1", headers("a1"), "body");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.headers()).containsEntry("Server-Stamp", "stamp");
        assertThat(response.headers()).containsEntry("Attempt-Id", "a1");
        assertThat(response.body()).isEqualTo("done /check/w?x=1");
        assertThat(response.complete()).isTrue();
    }

    /**
     * Guards against reporting a lost response to the client although the request may be retried.
     */
    @Test
    void safeRequest_whoseResponseIsLost_isRetriedOnAnotherTarget() throws Exception {
        plainFirst.failNextResponse(ResponseFault.RESET);
        plainSecond.failNextResponse(ResponseFault.RESET);
        Response response = client.call("POST", GatewayFixture.SAFE + "w", headers("a2"), "");
        assertThat(response.status()).isIn(200, 502);
        Response secondResponse = client.call("POST", GatewayFixture.SAFE + "w", headers("a3"), "");
        assertThat(secondResponse.status()).isEqualTo(200);
    }

    /**
     * Guards against cutting off the answer of a slow but sound target when so much of it has been
     * forwarded that no other target's answer can take its place.
     */
    @Test
    void largeAnswerWithAPause_isDeliveredWhole() throws Exception {
        plainFirst.failNextResponse(ResponseFault.LARGE_WITH_PAUSE);
        plainSecond.failNextResponse(ResponseFault.LARGE_WITH_PAUSE);
        Response response = client.call("POST", GatewayFixture.SAFE + "w", headers("a14"), "");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.complete()).isTrue();
        assertThat(response.body()).hasSize(2 * EngineEmulator.LARGE_PART_BYTES);
    }

    /** Guards against a second run, and against reporting the request as not run. */
    @Test
    void unsafeRequest_whoseResponseIsLost_runsOnceAndIsNotReportedAsNotRun() throws Exception {
        plainFirst.failNextResponse(ResponseFault.RESET);
        plainSecond.failNextResponse(ResponseFault.RESET);
        Response response = client.call("POST", GatewayFixture.UNSAFE + "w", headers("a4"), "");
        assertThat(response.status()).isEqualTo(502);
        assertThat(runs("a4")).hasSize(1);
    }

    /** Guards against a truncated response that is forwarded as complete. */
    @Test
    void unsafeRequest_whoseResponseIsTruncated_fails() throws Exception {
        plainFirst.failNextResponse(ResponseFault.TRUNCATE);
        plainSecond.failNextResponse(ResponseFault.TRUNCATE);
        Response response = client.call("POST", GatewayFixture.UNSAFE + "w", headers("a5"), "");
        assertThat(response.status()).isEqualTo(502);
        assertThat(runs("a5")).hasSize(1);
    }

    /** Guards against a second response on a pooled connection that reaches the next request. */
    @Test
    void extraResponse_neverReachesAnotherRequest() throws Exception {
        for (int i = 0; i < 20; i++) {
            plainFirst.failNextResponse(ResponseFault.EXTRA_RESPONSE);
            plainSecond.failNextResponse(ResponseFault.EXTRA_RESPONSE);
            String path = GatewayFixture.SAFE + i;
            Response response = client.call("POST", path, headers("b" + i), "");
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("done " + path);
            assertThat(response.headers()).containsEntry("Attempt-Id", "b" + i);
        }
    }

    /**
     * Guards against treating a request as executed that was refused because the address belongs to
     * another target.
     */
    @Test
    void requestToTheAddressOfAnotherTarget_isRetried() throws Exception {
        platform.store().put("servers", "plain-0", plainFirst.registration(false));
        Thread.sleep(500);
        for (int i = 0; i < 12; i++) {
            Response response =
                    client.call("POST", GatewayFixture.UNSAFE + i, headers("c" + i), "");
            assertThat(response.status()).isEqualTo(200);
        }
    }

    /** Guards against events that are lost, duplicated or merged from two runs. */
    @Test
    void resumableStream_thatBreaks_isResumedOnAnotherTargetWithoutAGap() throws Exception {
        first.failNextResponse(ResponseFault.TRUNCATE);
        second.failNextResponse(ResponseFault.TRUNCATE);
        Response response =
                client.call("POST", GatewayFixture.RESUMABLE + "h", streamHeaders("d1", 12), "");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.complete()).isTrue();
        assertThat(response.body()).isEqualTo(events("d1", 12));
        assertThat(runs("d1")).hasSizeGreaterThan(1);
        assertThat(runs("d1").getLast().lastEventId()).isNotEmpty();
    }

    /** Guards against a broken stream that is forwarded as complete or that runs again. */
    @Test
    void nonResumableStream_thatBreaks_isTruncatedAndRunsOnce() throws Exception {
        first.failNextResponse(ResponseFault.TRUNCATE);
        second.failNextResponse(ResponseFault.TRUNCATE);
        Response response =
                client.call("POST", GatewayFixture.STREAM + "h", streamHeaders("d2", 12), "");
        assertThat(response.complete()).isFalse();
        assertThat(events("d2", 12)).startsWith(response.body());
        assertThat(runs("d2")).hasSize(1);
    }

    /** Guards against a target that continues to work for a client that has disconnected. */
    @Test
    void clientDisconnect_stopsTheRun() throws Exception {
        try (Socket socket =
                client.open("POST", GatewayFixture.STREAM + "h", streamHeaders("e1", 400), "")) {
            await("run started", () -> runs("e1").size() == 1);
            assertThat(socket.isConnected()).isTrue();
        }
        await("run abandoned", Duration.ofMillis(500), () -> runs("e1").getFirst().isAbandoned());
    }

    /** Guards against a request for an unknown path that is queued or reported as unavailable. */
    @Test
    void unknownPath_isNotFound() throws Exception {
        assertThat(client.call("GET", "/nothing/x", headers("f1"), "").status()).isEqualTo(404);
    }

    /** Guards against sending requests to a target after its registration was set to draining. */
    @Test
    void drainingTarget_receivesNoNewRequests() throws Exception {
        platform.register(plainFirst, true);
        Thread.sleep(1000);
        int runsBefore = plainFirst.ledger().size();
        for (int i = 0; i < 10; i++) {
            client.call("POST", GatewayFixture.SAFE + i, headers("g" + i), "");
        }
        assertThat(plainFirst.ledger()).hasSize(runsBefore);
    }

    /**
     * Guards against removing targets immediately after a store outage because their registrations
     * expired during the outage.
     */
    @Test
    void registrationMissingAfterAnOutage_isKeptForTwoSeconds() throws Exception {
        platform.store().setFaultMode(StoreEmulator.FaultMode.BUSY);
        Thread.sleep(1500);
        platform.unregister(plainFirst);
        platform.unregister(plainSecond);
        platform.store().setFaultMode(StoreEmulator.FaultMode.SERVING);
        Thread.sleep(1200);
        assertThat(client.call("GET", GatewayFixture.SAFE + "x", headers("h1"), "").status())
                .isEqualTo(200);
        await(
                "targets removed",
                Duration.ofSeconds(5),
                () ->
                        client.call("GET", GatewayFixture.SAFE + "x", headers("h2"), "").status()
                                == 503);
    }

    /** Guards against a body over the limit that is forwarded or that blocks the connection. */
    @Test
    void largeBody_isRefused() throws Exception {
        String body = "x".repeat(5 << 20);
        assertThat(client.call("POST", GatewayFixture.SAFE + "w", headers("i1"), body).status())
                .isEqualTo(413);
    }

    /** Guards against request smuggling and truncation caused by input that is not HTTP. */
    @Test
    void malformedRequest_isRefusedAndTheConnectionCloses() throws Exception {
        try (Socket socket =
                client.open("BAD REQUEST", "/x y z", headers("j1"), "GET / HTTP/1.1\r\n\r\n")) {
            assertThat(EmulatorClient.read(socket.getInputStream()).status()).isEqualTo(400);
        }
    }

    private List<Run> runs(String id) {
        return List.of(first, second, plainFirst, plainSecond).stream()
                .flatMap(engine -> engine.ledger().stream())
                .filter(run -> run.requestId().equals(id))
                .sorted(java.util.Comparator.comparingLong(Run::startNanos))
                .toList();
    }

    private static String events(String id, int count) {
        StringBuilder all = new StringBuilder();
        IntStream.rangeClosed(1, count)
                .forEach(
                        event ->
                                all.append("id: " + event + "\ndata: ")
                                        .append(EngineEmulator.eventData(id, event))
                                        .append("\n\n"));
        return all.toString();
    }
}
