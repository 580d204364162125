package org.fuchsiaspindle.testbed.integration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.net.URI;
import java.util.Optional;
import org.fuchsiaspindle.platform.http.HttpClient;
import org.fuchsiaspindle.platform.http.HttpRequest;
import org.fuchsiaspindle.platform.http.HttpResponse;
import org.fuchsiaspindle.testbed.fleet.EmbeddedFleet;

/** Client of the administration API that sends each request once, without retries. */
final class OperatorClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client;

    /**
     * A response.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Response(int status, JsonNode body) {}

    private OperatorClient(HttpClient client) {
        this.client = client;
    }

    static OperatorClient create(URI entry) {
        return new OperatorClient(HttpClient.create(entry));
    }

    Response change(String changeId, long baseVersion, String name, JsonNode document)
            throws IOException {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("change_id", changeId)
                        .put("base_version", baseVersion)
                        .put("kind", "contract")
                        .put("name", name);
        body.set("document", document);
        return send("POST", "/admin/v1/changes", JSON.writeValueAsBytes(body));
    }

    /** Returns the entry's view of the fleet, or empty if the entry does not respond. */
    Optional<JsonNode> status() {
        try {
            Response response = send("GET", "/admin/v1/status", new byte[0]);
            return response.status() == 200 ? Optional.of(response.body()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the entry's view of a process, or a missing node if the entry does not list it. */
    JsonNode process(String id) {
        for (JsonNode process : status().map(s -> s.path("processes")).orElse(JSON.nullNode())) {
            if (process.path("instance").asText().equals(id)) {
                return process;
            }
        }
        return JSON.missingNode();
    }

    @Override
    public void close() {
        client.close();
    }

    private Response send(String method, String path, byte[] body) throws IOException {
        HttpResponse httpResponse =
                client.exchange(
                        new HttpRequest(
                                method,
                                path,
                                ImmutableListMultimap.of(
                                        "Authorization",
                                        "Bearer " + EmbeddedFleet.OPERATOR_KEY,
                                        "Content-Type",
                                        "application/json"),
                                body),
                        Await.LIMIT);
        return new Response(httpResponse.status(), JSON.readTree(httpResponse.body()));
    }
}
