package org.fuchsiaspindle.daemon.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.fleet.ConfigStore;
import org.fuchsiaspindle.daemon.fleet.FakeConnection;
import org.fuchsiaspindle.daemon.fleet.FakeDirectory;
import org.fuchsiaspindle.daemon.fleet.FaultyTable;
import org.fuchsiaspindle.daemon.fleet.FleetVersions;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.daemon.fleet.PeerStatuses;
import org.fuchsiaspindle.daemon.http.ApiServer;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.PeerStatus;
import org.fuchsiaspindle.wire.proto.ProcessVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against wrong outcomes of changes reported to operators. */
final class AdminApiTest {

    private static final String KEY = "bootstrap-operator-key";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** Never advances, so reports do not become stale however slow the machine is. */
    private final ManualClock stoppedClock = ManualClock.startingAt(Instant.EPOCH);

    private final FaultyTable table = new FaultyTable();
    private final FrameDispatcher dispatcher = FrameDispatcher.create();
    private final FakeDirectory directory = new FakeDirectory();
    private final PeerStatuses statuses = PeerStatuses.create(dispatcher, directory, stoppedClock);
    private final LoadReports reports = LoadReports.create(dispatcher, stoppedClock);
    private final ConfigStore store =
            ConfigStore.create(
                    "entry-1",
                    "dc-1",
                    table,
                    dispatcher,
                    directory,
                    statuses,
                    reports,
                    Clock.system(),
                    new Random(1),
                    Runnable::run);
    private final HttpClient client = HttpClient.newHttpClient();
    private AdminApi api;
    private ApiServer server;

    private record Response(int status, JsonNode body) {}

    @BeforeEach
    void start() throws InterruptedException {
        directory.list(instance("entry-1", ListedInstance.Role.ENTRY));
        FleetVersions versions =
                FleetVersions.create(
                        "entry-1",
                        () -> store.current().version(),
                        directory,
                        reports,
                        statuses,
                        stoppedClock);
        api =
                AdminApi.create(
                        CallerAuthentication.create(store, KeyDigest.ofKey(KEY).hex()),
                        store,
                        directory,
                        versions,
                        reports,
                        Clock.system(),
                        new Random(2));
        server = ApiServer.start(ANY, 1024 * 1024, 1, Map.of("/admin/v1", api));
        store.start();
        while (!store.isReady()) {
            Thread.sleep(Duration.ofMillis(1));
        }
    }

    @AfterEach
    void stop() {
        server.close();
        store.close();
        client.close();
    }

    @Test
    void changes_ofEachKind_areAcceptedAndReadBack() throws Exception {
        assertThat(change("c-1", "model", "m-1", "{\"version\":\"1\"}").body().get("version"))
                .isEqualTo(JSON.readTree("1"));
        change("c-2", "service", "s-1", "{\"rules\":[]}");
        change("c-3", "settings", "fleet", "{\"profile\":\"batch\"}");
        change("c-4", "model", "m-1", "null");
        ConfigSnapshot snapshot = store.current();
        assertThat(snapshot.models()).isEmpty();
        assertThat(snapshot.services()).containsKey("s-1");
        assertThat(get("/documents/settings/fleet").body().at("/document/profile").asText())
                .isEqualTo("batch");
        assertThat(get("/documents/model/m-1").status()).isEqualTo(404);
        assertThat(get("/history?kind=model&name=m-1").body().get("changes")).hasSize(2);
        JsonNode differences = get("/diff?from=1").body().get("differences");
        assertThat(differences.findValuesAsText("change"))
                .containsExactly("deleted", "added", "added");
    }

    @Test
    void changes_withErrors_listsThemAll() throws Exception {
        Response response = change("c-1", "contract", "acme", "{\"weight\":0,\"online\":{}}");
        assertThat(response.status()).isEqualTo(422);
        assertThat(response.body().at("/error/number").asInt()).isEqualTo(6002);
        assertThat(response.body().get("errors").findValuesAsText("field"))
                .containsExactlyInAnyOrder(
                        "weight",
                        "online.requests_per_second",
                        "online.burst",
                        "online.concurrency");
        assertThat(store.current().version()).isZero();
    }

    @Test
    void changes_onAStaleBase_showTheChangesSince() throws Exception {
        change("c-1", "model", "m-1", "{\"version\":\"1\"}");
        Response response =
                post(
                        "/changes",
                        "{\"change_id\":\"c-2\",\"base_version\":0,\"kind\":\"model\","
                                + "\"name\":\"m-1\",\"document\":{\"version\":\"2\"}}");
        assertThat(response.status()).isEqualTo(409);
        assertThat(response.body().at("/error/code").asText()).isEqualTo("config_conflict");
        assertThat(response.body().at("/changes/0/change_id").asText()).isEqualTo("c-1");
        assertThat(response.body().get("head_version").asLong()).isEqualTo(1);
    }

    @Test
    void changes_withMalformedBodies_areRefused() throws Exception {
        for (String body :
                new String[] {
                    "",
                    "{",
                    "[]",
                    "{\"change_id\":\"c\",\"kind\":\"model\",\"name\":\"m\"}",
                    "{\"change_id\":\"c\",\"kind\":\"other\",\"name\":\"m\",\"document\":{}}",
                    "{\"change_id\":\"a b\",\"kind\":\"model\",\"name\":\"m\",\"document\":{}}",
                    "{\"change_id\":\"c\",\"base_version\":-1,\"kind\":\"model\",\"name\":\"m\","
                            + "\"document\":{}}"
                }) {
            Response response = post("/changes", body);
            assertThat(response.status()).as(body).isEqualTo(400);
        }
    }

    @Test
    void requests_withoutAnOperatorKey_areRefused() throws Exception {
        assertThat(send("GET", "/status", "", "wrong").status()).isEqualTo(401);
        String digest = KeyDigest.ofKey("other-operator").hex();
        change("c-1", "settings", "fleet", "{\"operator_keys_sha256\":[\"" + digest + "\"]}");
        assertThat(get("/status").status()).isEqualTo(401);
        assertThat(send("GET", "/status", "", "other-operator").status()).isEqualTo(200);
    }

    @Test
    void waiting_untilInForce_namesTheProcessesThatLag() throws Exception {
        directory.list(instance("agent-1", ListedInstance.Role.AGENT));
        directory.list(instance("entry-2", ListedInstance.Role.ENTRY));
        directory.list(instance("entry-3", ListedInstance.Role.ENTRY));
        receiveReport("agent-1", 0);
        receiveStatus("entry-2", 1, "entry-3");
        String body =
                "{\"change_id\":\"c-1\",\"kind\":\"model\",\"name\":\"m-1\","
                        + "\"document\":{\"version\":\"1\"}}";
        Response response = post("/changes?wait_ms=1", body);
        assertThat(response.status()).isEqualTo(504);
        assertThat(response.body().get("lagging").findValuesAsText("instance"))
                .containsExactly("agent-1");
        assertThat(response.body().get("version").asLong()).isEqualTo(1);
        receiveReport("agent-1", 1);
        receiveStatus("entry-2", 1, "entry-3");
        Response repeated = post("/changes?wait_ms=4000", body);
        assertThat(repeated.status()).isEqualTo(200);
        assertThat(repeated.body().get("in_force").asBoolean()).isTrue();
    }

    @Test
    void drain_ofATarget_isInForceUntilUndrain() throws Exception {
        directory.list(instance("agent-1", ListedInstance.Role.AGENT));
        assertThat(post("/targets/agent-9/drain", "").status()).isEqualTo(404);
        assertThat(post("/targets/agent-1/drain", "").status()).isEqualTo(200);
        assertThat(post("/targets/agent-1/drain", "").body().get("version").asLong()).isEqualTo(1);
        assertThat(store.current().drained()).containsExactly("agent-1");
        assertThat(get("/targets").body().at("/targets/0/state").asText()).isEqualTo("drained");
        assertThat(post("/targets/agent-1/undrain", "").status()).isEqualTo(200);
        assertThat(store.current().drained()).isEmpty();
    }

    @Test
    void status_andExplain_includeDataOfTheOtherComponents() throws Exception {
        directory.list(instance("agent-1", ListedInstance.Role.AGENT));
        receiveReport("agent-1", 0);
        api.setExplanationLookup(
                id ->
                        id.equals("r-1")
                                ? Optional.of(JSON.createObjectNode().put("target", "agent-1"))
                                : Optional.empty());
        api.setJobOperations(new FakeJobs());
        JsonNode body = get("/status").body();
        assertThat(body.at("/targets/0/load/capacity").asInt()).isEqualTo(8);
        assertThat(body.at("/jobs_at_risk/0/id").asText()).isEqualTo("batch_1");
        assertThat(body.get("processes")).hasSize(2);
        assertThat(get("/explain/r-1").body().get("target").asText()).isEqualTo("agent-1");
        assertThat(get("/explain/r-2").status()).isEqualTo(404);
    }

    @Test
    void jobs_areListedShownAndCancelledForAnyCustomer() throws Exception {
        assertThat(get("/jobs").status()).isEqualTo(404);
        api.setJobOperations(new FakeJobs());
        assertThat(get("/jobs?customer=c-1").body().at("/jobs/0/id").asText()).isEqualTo("batch_1");
        assertThat(get("/jobs?customer=c-2").body().get("jobs")).isEmpty();
        assertThat(get("/jobs/batch_1").body().get("customer").asText()).isEqualTo("c-1");
        assertThat(get("/jobs/batch_9").status()).isEqualTo(404);
        assertThat(post("/jobs/batch_1/cancel", "").body().get("status").asText())
                .isEqualTo("cancelling");
        assertThat(post("/jobs/batch_1/restart", "").status()).isEqualTo(404);
    }

    @Test
    void changes_whileTheTableIsDown_areRefusedAsNotExecuted() throws Exception {
        table.setDown(true);
        Response response = change("c-1", "model", "m-1", "{\"version\":\"1\"}");
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.body().at("/error/executed").asText()).isEqualTo("no");
        assertThat(get("/documents/model").status()).isEqualTo(200);
    }

    private void receiveReport(String id, long version) {
        dispatcher.onFrame(
                FakeConnection.toAgent(id, "dc-1"),
                Frame.newBuilder()
                        .setLoadReport(
                                LoadReport.newBuilder().setConfigVersion(version).setCapacity(8))
                        .build());
    }

    private void receiveStatus(String id, long version, String connectedId) {
        dispatcher.onFrame(
                FakeConnection.toEntry(id, "dc-1"),
                Frame.newBuilder()
                        .setPeerStatus(
                                PeerStatus.newBuilder()
                                        .setConfigVersion(version)
                                        .addVersions(
                                                ProcessVersion.newBuilder()
                                                        .setInstanceId(connectedId)
                                                        .setConfigVersion(version)))
                        .build());
    }

    private Response change(String id, String kind, String name, String document) throws Exception {
        return post(
                "/changes",
                "{\"change_id\":\"%s\",\"kind\":\"%s\",\"name\":\"%s\",\"document\":%s}"
                        .formatted(id, kind, name, document));
    }

    private Response get(String path) throws Exception {
        return send("GET", path, "", KEY);
    }

    private Response post(String path, String body) throws Exception {
        return send("POST", path, body, KEY);
    }

    private Response send(String method, String path, String body, String key) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + "/admin/v1" + path);
        HttpResponse<String> response =
                client.send(
                        HttpRequest.newBuilder(uri)
                                .header("Authorization", "Bearer " + key)
                                .method(method, HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        return new Response(response.statusCode(), JSON.readTree(response.body()));
    }

    private static ListedInstance instance(String id, ListedInstance.Role role) {
        boolean agent = role == ListedInstance.Role.AGENT;
        return new ListedInstance(
                id,
                role,
                ANY,
                "dc-1",
                "r-1",
                false,
                agent ? TargetKind.ENGINE : TargetKind.NONE,
                agent ? "engine" : "");
    }

    /** One open job of one customer. */
    private static final class FakeJobs implements JobOperations {

        @Override
        public ArrayNode list(Optional<String> customer) {
            ArrayNode jobs = JSON.createArrayNode();
            if (customer.orElse("c-1").equals("c-1")) {
                jobs.add(job("in_progress"));
            }
            return jobs;
        }

        @Override
        public Optional<ObjectNode> show(String id) {
            return id.equals("batch_1") ? Optional.of(job("in_progress")) : Optional.empty();
        }

        @Override
        public ObjectNode cancel(String id) {
            return job("cancelling");
        }

        @Override
        public ArrayNode atRisk() {
            return list(Optional.empty());
        }

        private static ObjectNode job(String status) {
            return JSON.createObjectNode()
                    .put("id", "batch_1")
                    .put("customer", "c-1")
                    .put("status", status);
        }
    }
}
