package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.EmulatorJobs.item;
import static org.fuchsiaspindle.testbed.emulator.EmulatorJobs.submission;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.BATCH;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.RESUMABLE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.SAFE;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.allRoutes;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.ResponseFault;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator.Run;
import org.fuchsiaspindle.testbed.proxy.FaultProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the keys of workspaces at two gateways, of which one reaches the store by a proxy. */
final class GatewayWorkspaceTest {

    private static final String PUBLIC = "/public/";
    private static final String KEY = "key-of-a";
    private static final String SECOND_KEY = "second-key-of-a";
    private static final String OTHER_KEY = "key-of-b";
    private static final String NO_KEY = "";

    private static final String QUEUED = "fuchsiaspindle_slot_events_total{event=\"queued\"";

    /** Slots of all model engines together. */
    private static final int MODEL_SLOTS = 8;

    private final PlatformEmulator platform = PlatformEmulator.start();
    private final List<EngineEmulator> engines = new ArrayList<>();
    private FaultProxy storeProxy;
    private String first;
    private String proxied;

    @BeforeEach
    void startPlatform() throws Exception {
        platform.setWorkspaces(
                PlatformEmulator.workspace("a", KEY, SECOND_KEY),
                PlatformEmulator.workspace("b", OTHER_KEY));
        configure();
        for (int number = 1; number <= 2; number++) {
            Duration eventTime = Duration.ofMillis(10);
            engines.add(platform.addEngine("engine-" + number, "model", 4, eventTime));
            engines.add(platform.addEngine("plain-" + number, "plain", 1, eventTime));
        }
        first = platform.startGateway(1);
        InetSocketAddress store =
                new InetSocketAddress(
                        platform.store().address().getHost(), platform.store().port());
        storeProxy = FaultProxy.start(store);
        platform.setStoreProxy(
                HostAndPort.fromParts(
                        storeProxy.address().getHostString(), storeProxy.address().getPort()));
        proxied = platform.startGateway(2);
        for (String ip : List.of(first, proxied)) {
            await(ip + " serves", () -> call(ip, SAFE + "ready", KEY).status() == 200);
        }
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
        storeProxy.close();
    }

    private void configure() {
        platform.configure(
                Stream.concat(
                                Stream.of(allRoutes()),
                                Stream.of(
                                        PlatformEmulator.route(
                                                "public",
                                                PUBLIC,
                                                "safe",
                                                "plain",
                                                3,
                                                ",\"public\":true")))
                        .toArray(String[]::new));
    }

    /** Guards against requests that are served without a key, and unknown routes that need one. */
    @Test
    void requestWithoutAKnownKey_isRefusedUnlessItsRouteIsPublicOrUnknown() throws Exception {
        Response refused = call(first, SAFE + "x", NO_KEY);
        assertThat(refused.status()).isEqualTo(401);
        assertThat(refused.headers()).containsEntry("WWW-Authenticate", "Bearer");
        assertThat(call(first, SAFE + "x", "unknown").status()).isEqualTo(401);
        assertThat(call(first, SAFE + "x", KEY).status()).isEqualTo(200);
        assertThat(call(first, PUBLIC + "x", NO_KEY).status()).isEqualTo(200);
        assertThat(call(first, PUBLIC + "x", "unknown").status()).isEqualTo(200);
        assertThat(call(first, "/unknown/x", NO_KEY).status()).isEqualTo(404);
        assertThat(call(first, "GET", "/lots/nothing", NO_KEY, "").status()).isEqualTo(401);
        assertThat(call(first, "GET", "/lots/nothing", KEY, "").status()).isEqualTo(404);
        Map<String, String> lowerCase = headers("lower", KEY);
        lowerCase.put("Authorization", "bearer " + KEY);
        assertThat(platform.client(first).call("POST", SAFE + "x", lowerCase, "").status())
                .isEqualTo(200);
        assertThat(platform.metric("fuchsiaspindle_refusals_total{code=\"INVALID_KEY\""))
                .isEqualTo(3);
    }

    /** Guards against targets that get a key, or the workspace that the caller claims to be. */
    @Test
    void target_getsTheNameOfTheWorkspaceAndNoKey() throws Exception {
        Map<String, String> forged = headers("forged", KEY);
        forged.put("tenant", "b");
        forged.put("Fuchsiaspindle-Key-Digest", "0".repeat(64));
        assertThat(platform.client(first).call("POST", SAFE + "x", forged, "").status())
                .isEqualTo(200);
        assertIdentity("forged", "a");
        Map<String, String> anonymous = headers("anonymous", NO_KEY);
        anonymous.put("Tenant", "b");
        assertThat(platform.client(first).call("POST", PUBLIC + "x", anonymous, "").status())
                .isEqualTo(200);
        assertIdentity("anonymous", "");
    }

    /** Guards against later attempts that are sent with other headers than the first one. */
    @Test
    void requestThatIsSentAgain_namesItsWorkspaceEachTime() throws Exception {
        failNext("plain", ResponseFault.RESET);
        call(first, SAFE + "again", KEY);
        failNext("model", ResponseFault.TRUNCATE);
        Map<String, String> headers = headers("resumed", KEY);
        headers.put("X-Events", "5");
        assertThat(platform.client(first).call("POST", RESUMABLE + "x", headers, "").complete())
                .isTrue();
        assertThat(runs("again").size()).isGreaterThan(1);
        assertThat(runs("resumed").size()).isGreaterThan(1);
        assertIdentity("again", "a");
        assertIdentity("resumed", "a");
    }

    /** Guards against a request that is sent to a target after its key was taken away. */
    @Test
    void keyTakenAwayWhileARequestWaits_refusesTheRequest() throws Exception {
        List<CompletableFuture<Response>> running = new ArrayList<>();
        for (int slot = 0; slot < MODEL_SLOTS; slot++) {
            running.add(streamLater("busy-" + slot));
        }
        await("all slots are taken", () -> activeModelRuns() == MODEL_SLOTS);
        double queuedBefore = platform.metric(QUEUED);
        CompletableFuture<Response> waiting = streamLater("waiting");
        await("the request waits", () -> platform.metric(QUEUED) > queuedBefore);
        platform.setWorkspaces(PlatformEmulator.workspace("a", SECOND_KEY));
        configure();
        // A call on a job is judged at its arrival only, so it can't be a second request of which
        // the
        // key is taken away while it waits.
        await("the key is gone", () -> call(first, "GET", "/lots/none", KEY, "").status() == 401);
        assertThat(activeModelRuns()).isEqualTo(MODEL_SLOTS);
        assertThat(waiting.get().status()).isEqualTo(401);
        assertThat(runs("waiting")).isEmpty();
        assertThat(platform.metric("fuchsiaspindle_key_rejections_total{cause=\"taken_away\""))
                .isEqualTo(1);
        for (CompletableFuture<Response> response : running) {
            assertThat(response.get().complete()).isTrue();
            assertThat(response.get().status()).isEqualTo(200);
        }
    }

    /** Guards against a request that runs for a workspace whose limit it does not count for. */
    @Test
    void keyThatMovesToAWorkspaceOverItsLimit_refusesTheRequestThatWaits() throws Exception {
        String limited = "{\"name\":\"c\",\"apiKeys\":[%s],\"perS\":0.001}";
        platform.setWorkspaces(
                PlatformEmulator.workspace("a", KEY, SECOND_KEY),
                limited.formatted("\"key-of-c\""));
        configure();
        await("no permit is left", () -> call(first, SAFE + "x", "key-of-c").status() == 429);
        List<CompletableFuture<Response>> running = new ArrayList<>();
        for (int slot = 0; slot < MODEL_SLOTS; slot++) {
            running.add(streamLater("busy-" + slot));
        }
        await("all slots are taken", () -> activeModelRuns() == MODEL_SLOTS);
        double queuedBefore = platform.metric(QUEUED);
        CompletableFuture<Response> waiting = streamLater("waiting");
        await("the request waits", () -> platform.metric(QUEUED) > queuedBefore);
        platform.setWorkspaces(
                PlatformEmulator.workspace("a", SECOND_KEY),
                limited.formatted("\"key-of-c\",\"" + KEY + "\""));
        configure();
        await("the key moved", () -> call(first, SAFE + "later", KEY).status() == 429);
        assertThat(activeModelRuns()).isEqualTo(MODEL_SLOTS);
        assertThat(waiting.get().status()).isEqualTo(429);
        assertThat(runs("waiting")).isEmpty();
        for (CompletableFuture<Response> response : running) {
            assertThat(response.get().status()).isEqualTo(200);
        }
    }

    private int activeModelRuns() {
        return engines.stream()
                .filter(engine -> engine.spec().service().equals("model"))
                .mapToInt(EngineEmulator::active)
                .sum();
    }

    private CompletableFuture<Response> streamLater(String id) {
        Map<String, String> headers = headers(id, KEY);
        headers.put("X-Events", "80");
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return platform.client(first).call("POST", STREAM + id, headers, "");
                    } catch (IOException failure) {
                        throw new UncheckedIOException(failure);
                    }
                },
                Thread::startVirtualThread);
    }

    /**
     * Guards against a gateway that the store turns away and that goes on accepting a key which was
     * taken away.
     */
    @Test
    void keyTakenAwayWhileTheStoreRefusesAGateway_isLearnedFromAPeer() throws Exception {
        storeProxy.setRefusing(true);
        storeProxy.resetConnections();
        platform.setWorkspaces(
                PlatformEmulator.workspace("a", SECOND_KEY, "new-key"),
                PlatformEmulator.workspace("b", OTHER_KEY));
        configure();
        await("the key is gone", () -> call(proxied, SAFE + "x", KEY).status() == 401);
        assertThat(call(proxied, SAFE + "x", SECOND_KEY).status()).isEqualTo(200);
        assertThat(call(proxied, SAFE + "x", "new-key").status()).isEqualTo(200);
    }

    /** Guards against a workspace that reads, repeats or ends the job of another one. */
    @Test
    void jobOfAnotherWorkspace_isNotFound() throws Exception {
        String body = submission("job-a", 2, 400);
        assertThat(call(first, "POST", BATCH + "job-a", KEY, body).status()).isEqualTo(202);
        String itemPath = "/items/job-a?id=job-a-1";
        for (String ip : List.of(first, proxied)) {
            assertThat(call(ip, "GET", itemPath, SECOND_KEY, "").status()).isEqualTo(200);
            assertThat(call(ip, "GET", itemPath, OTHER_KEY, "").status()).isEqualTo(404);
            assertThat(call(ip, "GET", "/lots/job-a", OTHER_KEY, "").status()).isEqualTo(404);
            assertThat(call(ip, "DELETE", "/lots/job-a", OTHER_KEY, "").status()).isEqualTo(404);
            assertThat(call(ip, "GET", "/lots/job-a", NO_KEY, "").status()).isEqualTo(401);
            assertThat(call(ip, "DELETE", "/lots/job-a", NO_KEY, "").status()).isEqualTo(401);
            assertThat(call(ip, "POST", BATCH + "job-a", OTHER_KEY, body).status()).isEqualTo(409);
            assertThat(call(ip, "POST", BATCH + "job-a", NO_KEY, body).status()).isEqualTo(401);
            assertThat(call(ip, "POST", BATCH + "job-a", SECOND_KEY, body).status()).isEqualTo(202);
        }
        assertThat(call(proxied, "DELETE", "/lots/job-a", SECOND_KEY, "").status()).isEqualTo(200);
    }

    /** Guards against a job whose identifier makes its rows those of another one's job. */
    @Test
    void jobIdentifierWithASlash_addsNothingToTheJobOfAnotherWorkspace() throws Exception {
        String body = submission("job-s", 1, 400);
        assertThat(call(first, "POST", BATCH + "job-s", KEY, body).status()).isEqualTo(202);
        // One of them shares the partition of the job, and all sort before its rows.
        for (int number = 0; number < 100; number++) {
            Map<String, String> headers = headers("job-s/!" + number, OTHER_KEY);
            String other = submission("intruder", 1, 1);
            assertThat(platform.client(first).call("POST", BATCH + "x", headers, other).status())
                    .isEqualTo(400);
        }
        for (String ip : List.of(first, proxied)) {
            assertThat(call(ip, "GET", "/items/job-s?id=intruder-0", KEY, "").status())
                    .isEqualTo(404);
            assertThat(call(ip, "GET", "/items/job-s?id=job-s-0", KEY, "").status()).isEqualTo(200);
        }
    }

    /** Guards against items that name another workspace, or pass on a key, at their targets. */
    @Test
    void itemsOfAJob_nameTheWorkspaceThatSubmittedThem() throws Exception {
        String body =
                submission(
                        item(
                                "item",
                                Map.of(
                                        "X-Events",
                                        "2",
                                        "tenant",
                                        "b",
                                        "authorization",
                                        "Bearer " + KEY)));
        assertThat(call(first, "POST", BATCH + "job-b", KEY, body).status()).isEqualTo(202);
        await("the item runs", () -> !runs("item").isEmpty());
        assertIdentity("item", "a");
    }

    /** Guards against calls on jobs that a gateway without the store passes on with their key. */
    @Test
    void relayedCallsOnJobs_areAcceptedByTheirKey() throws Exception {
        storeProxy.setRefusing(true);
        storeProxy.resetConnections();
        String body = submission("job-c", 2, 3);
        await(
                "the job is accepted",
                () -> call(proxied, "POST", BATCH + "job-c", KEY, body).status() == 202);
        await("the items run", () -> runs("job-c-0").size() + runs("job-c-1").size() == 2);
        assertIdentity("job-c-0", "a");
        assertThat(call(proxied, "GET", "/lots/job-c", SECOND_KEY, "").status()).isEqualTo(200);
        assertThat(call(proxied, "GET", "/lots/job-c", OTHER_KEY, "").status()).isEqualTo(404);
        assertThat(call(proxied, "GET", "/lots/job-c", NO_KEY, "").status()).isEqualTo(401);
    }

    /** Guards against losing jobs that were accepted before the configuration had workspaces. */
    @Test
    void jobAcceptedBeforeThereWereWorkspaces_isServedToEveryKnownKey() throws Exception {
        platform.setWorkspaces();
        configure();
        await("no key needed", () -> call(first, SAFE + "x", NO_KEY).status() == 200);
        String body = submission("job-d", 6, 50);
        assertThat(call(first, "POST", BATCH + "job-d", NO_KEY, body).status()).isEqualTo(202);
        platform.setWorkspaces(PlatformEmulator.workspace("a", KEY));
        configure();
        await("a key is needed", () -> call(first, SAFE + "x", NO_KEY).status() == 401);
        await(
                "all items complete",
                () ->
                        call(first, "GET", "/lots/job-d", KEY, "").body().split("completed").length
                                == 7);
        assertThat(call(first, "GET", "/lots/job-d", NO_KEY, "").status()).isEqualTo(401);
        assertIdentity("job-d-5", "");
    }

    /** Guards against a change of what is served where the configuration has no workspaces. */
    @Test
    void withoutWorkspaces_theHeadersOfTheCallerAreForwarded() throws Exception {
        platform.setWorkspaces();
        configure();
        await("no key needed", () -> call(first, SAFE + "x", NO_KEY).status() == 200);
        Map<String, String> headers = headers("plain", "any");
        headers.put("Tenant", "claimed");
        assertThat(platform.client(first).call("POST", SAFE + "x", headers, "").status())
                .isEqualTo(200);
        assertThat(runs("plain").getFirst().header("Authorization")).isEqualTo("Bearer any");
        assertThat(runs("plain").getFirst().header("Tenant")).isEqualTo("claimed");
    }

    private void failNext(String service, ResponseFault fault) {
        engines.stream()
                .filter(engine -> engine.spec().service().equals(service))
                .forEach(engine -> engine.failNextResponse(fault));
    }

    private static Map<String, String> headers(String id, String key) {
        Map<String, String> headers = new HashMap<>(GatewayFixture.headers(id));
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        return headers;
    }

    private Response call(String ip, String path, String key) throws Exception {
        return call(ip, "POST", path, key, "");
    }

    /** Sends a request whose identifier is the last segment of its path. */
    private Response call(String ip, String method, String path, String key, String body)
            throws Exception {
        String id = path.substring(path.lastIndexOf('/') + 1);
        return platform.client(ip).call(method, path, headers(id, key), body);
    }

    private List<Run> runs(String id) {
        return engines.stream()
                .flatMap(engine -> engine.ledger().stream())
                .filter(run -> run.requestId().equals(id))
                .toList();
    }

    private void assertIdentity(String id, String workspace) {
        assertThat(runs(id))
                .isNotEmpty()
                .allSatisfy(
                        run -> {
                            assertThat(run.header("Tenant")).isEqualTo(workspace);
                            assertThat(run.header("Authorization")).isEmpty();
                        });
    }
}
