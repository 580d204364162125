package org.fuchsiaspindle.testbed.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.UUID;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.platform.http.HttpClient;
import org.fuchsiaspindle.platform.http.HttpRequest;
import org.fuchsiaspindle.platform.http.HttpResponse;

/** An operator client that changes the configuration over HTTP. Not thread-safe. */
public final class FleetAdmin implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_ATTEMPTS = 100;
    private static final int SUCCESS_CLASS = 2;
    private static final int STATUS_CLASS_SIZE = 100;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final HttpClient client;
    private final String operatorKey;
    private long baseVersion;

    private FleetAdmin(HttpClient client, String operatorKey) {
        this.client = client;
        this.operatorKey = operatorKey;
    }

    /** Creates a client of one entry. */
    public static FleetAdmin create(URI entry, String operatorKey) {
        return new FleetAdmin(HttpClient.create(entry), operatorKey);
    }

    /**
     * Changes a document. A change that conflicts with another one is rebased on the latest version
     * and retried. It is also retried if the entry is unavailable or the response was lost; all
     * attempts have the same change identifier.
     *
     * @param kind {@code contract}, {@code model}, {@code service} or {@code settings}
     * @param name the document's name
     * @param document the document, or a JSON null to delete it
     * @return the version of the configuration after the change
     * @throws IllegalStateException if the change is refused or if all attempts fail
     */
    public long change(String kind, String name, JsonNode document) {
        String changeId = "change-" + UUID.randomUUID();
        String lastFailure = "";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                HttpResponse response = post(changeId, kind, name, document);
                JsonNode body = JSON.readTree(response.body());
                if (response.status() / STATUS_CLASS_SIZE == SUCCESS_CLASS) {
                    baseVersion = Math.max(baseVersion, body.path("version").asLong());
                    return baseVersion;
                }
                lastFailure = response.status() + " " + body;
                if (response.status() == CONFLICT && body.has("head_version")) {
                    baseVersion = body.path("head_version").asLong();
                } else if (response.status() != UNAVAILABLE) {
                    break;
                }
            } catch (IOException e) {
                lastFailure = e.getMessage();
            }
            pause();
        }
        throw new IllegalStateException(
                "change of " + kind + " " + name + " failed: " + lastFailure);
    }

    /** Adds a model with version 1. */
    public void addModel(String name, int minCopies, int maxCopies) {
        change(
                "model",
                name,
                JSON.createObjectNode()
                        .put("version", "1")
                        .put("min_copies", minCopies)
                        .put("max_copies", maxCopies));
    }

    /** Adds a plain service whose GET calls are repeatable and whose other calls are not. */
    public void addService(String name) {
        ObjectNode document = JSON.createObjectNode().put("timeout_ms", 10_000);
        document.putArray("rules")
                .addObject()
                .put("method", "GET")
                .put("path_prefix", "/")
                .put("repeatable", true);
        change("service", name, document);
    }

    /** Adds a contract whose limits tests do not reach. */
    public void addContract(
            String customer, String key, Iterable<String> models, Iterable<String> services) {
        change("contract", customer, contract(key, models, services));
    }

    /** Returns a new contract document whose limits tests do not reach; callers may modify it. */
    public static ObjectNode contract(
            String key, Iterable<String> models, Iterable<String> services) {
        ObjectNode document =
                JSON.createObjectNode()
                        .put("weight", 1)
                        .put("urgency", 5)
                        .put("request_deadline_ms", 10_000);
        document.putArray("keys_sha256").add(KeyDigest.ofKey(key).hex());
        document.putObject("online")
                .put("requests_per_second", 1000)
                .put("burst", 1000)
                .put("concurrency", 1000);
        document.putObject("batch")
                .put("completion_window_s", 3600)
                .put("max_open_jobs", 100)
                .put("max_items_per_job", 100_000)
                .put("result_retention_s", 86_400);
        models.forEach(document.putArray("models")::add);
        services.forEach(document.putArray("services")::add);
        return document;
    }

    @Override
    public void close() {
        client.close();
    }

    private HttpResponse post(String changeId, String kind, String name, JsonNode document)
            throws IOException {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("change_id", changeId)
                        .put("base_version", baseVersion)
                        .put("kind", kind)
                        .put("name", name);
        body.set("document", document);
        return client.exchange(
                new HttpRequest(
                        "POST",
                        "/admin/v1/changes",
                        ImmutableListMultimap.of(
                                "Authorization",
                                "Bearer " + operatorKey,
                                "Content-Type",
                                "application/json"),
                        JSON.writeValueAsBytes(body)),
                CALL_TIMEOUT);
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_INTERVAL);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
