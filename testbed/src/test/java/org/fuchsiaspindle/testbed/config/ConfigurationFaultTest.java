package org.fuchsiaspindle.testbed.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator.FaultMode;
import org.fuchsiaspindle.testbed.fleet.EmbeddedFleet;
import org.fuchsiaspindle.testbed.fleet.FleetLayout;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet.Link;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against configuration changes that are lost, applied twice or reverted under faults. The
 * fleet runs as separate processes.
 */
final class ConfigurationFaultTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final HttpClient client = HttpClient.newHttpClient();
    private ProcessFleet fleet;

    private record Response(int status, JsonNode body) {}

    @BeforeEach
    void start() {
        fleet =
                ProcessFleet.start(
                        FleetLayout.of(2, 1, ImmutableList.of("small"), ImmutableList.of()));
        fleet.awaitReady(TIMEOUT);
    }

    @AfterEach
    void stop() {
        fleet.close();
        client.close();
    }

    @Test
    void changeWithLostResponses_isAppliedOnce() throws Exception {
        fleet.standIns().store().setFaultMode(FaultMode.DROPPING_RESPONSES);
        // Only responses to writes are lost, so the entry can read whether its write took effect.
        assertThat(change("entry-1", "c-1", "m-1").body().path("version").asLong()).isEqualTo(1);
        fleet.standIns().store().setFaultMode(FaultMode.SERVING);
        assertThat(change("entry-2", "c-1", "m-1").body().path("version").asLong()).isEqualTo(1);
        awaitInForce("c-1", "m-1");
        assertThat(get("entry-2", "/history").body().path("changes")).hasSize(1);
    }

    @Test
    void entryThatCannotReachTheTable_receivesChangesFromItsPeer() throws Exception {
        fleet.proxy("entry-2", Link.STORE).setRefusing(true);
        fleet.proxy("entry-2", Link.STORE).resetConnections();
        assertThat(change("entry-1", "c-1", "m-1").status()).isEqualTo(OK);
        awaitInForce("c-1", "m-1");
        assertThat(get("entry-2", "/documents/model/m-1").status()).isEqualTo(OK);
        Response refused = change("entry-2", "c-2", "m-2");
        assertThat(refused.status()).isEqualTo(UNAVAILABLE);
        assertThat(refused.body().at("/error/executed").asText()).isEqualTo("no");
    }

    @Test
    void entryStartedWhileTheTableIsDown_loadsTheVersionOfItsPeer() throws Exception {
        change("entry-1", "c-1", "m-1");
        fleet.process("entry-2").kill();
        change("entry-1", "c-2", "m-2");
        fleet.standIns().store().setFaultMode(FaultMode.BUSY);
        fleet.start("entry-2");
        fleet.awaitReady(TIMEOUT);
        assertThat(get("entry-2", "/documents/model/m-2").status()).isEqualTo(OK);
        fleet.standIns().store().setFaultMode(FaultMode.SERVING);
        assertThat(change("entry-2", "c-3", "m-3").body().path("version").asLong()).isEqualTo(3);
    }

    @Test
    void concurrentChanges_createOneVersionEach() throws Exception {
        List<CompletableFuture<Response>> pending = new ArrayList<>();
        int changes = 10;
        for (int i = 0; i < changes; i++) {
            String id = "c-" + i;
            String entry = "entry-" + (1 + i % 2);
            pending.add(CompletableFuture.supplyAsync(() -> changeUnchecked(entry, id)));
        }
        List<Long> versions = new ArrayList<>();
        for (CompletableFuture<Response> response : pending) {
            assertThat(response.get().status()).isEqualTo(OK);
            versions.add(response.get().body().path("version").asLong());
        }
        assertThat(versions)
                .containsExactlyInAnyOrderElementsOf(
                        LongStream.rangeClosed(1, changes).boxed().toList());
    }

    /**
     * Repeats a change until every process reports it in force; repeating the change identifier
     * creates no further version.
     */
    private void awaitInForce(String changeId, String model) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        Response response = post("entry-1", "/changes?wait_ms=5000", body(changeId, model));
        while (response.status() != OK && System.nanoTime() - end < 0) {
            response = post("entry-1", "/changes?wait_ms=5000", body(changeId, model));
        }
        assertThat(response.body().path("in_force").asBoolean()).as("%s", response).isTrue();
    }

    private Response changeUnchecked(String entry, String id) {
        try {
            return change(entry, id, "m-" + id);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private Response change(String entry, String changeId, String model)
            throws IOException, InterruptedException {
        return post(entry, "/changes", body(changeId, model));
    }

    private static String body(String changeId, String model) {
        return "{\"change_id\":\"%s\",\"kind\":\"model\",\"name\":\"%s\",\"document\":%s}"
                .formatted(changeId, model, "{\"version\":\"1\",\"min_copies\":0}");
    }

    private Response get(String entry, String path) throws IOException, InterruptedException {
        return send(entry, path, HttpRequest.newBuilder().GET());
    }

    private Response post(String entry, String path, String body)
            throws IOException, InterruptedException {
        return send(entry, path, HttpRequest.newBuilder().POST(BodyPublishers.ofString(body)));
    }

    private Response send(String entry, String path, HttpRequest.Builder request)
            throws IOException, InterruptedException {
        HttpResponse<String> httpResponse =
                client.send(
                        request.uri(URI.create(fleet.entryUrl(entry) + "/admin/v1" + path))
                                .header("Authorization", "Bearer " + EmbeddedFleet.OPERATOR_KEY)
                                .build(),
                        BodyHandlers.ofString());
        return new Response(httpResponse.statusCode(), JSON.readTree(httpResponse.body()));
    }
}
