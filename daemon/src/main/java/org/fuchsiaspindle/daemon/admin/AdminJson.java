package org.fuchsiaspindle.daemon.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Collection;
import java.util.Locale;
import org.fuchsiaspindle.core.config.ConfigChange;
import org.fuchsiaspindle.core.config.ConfigConflictException;
import org.fuchsiaspindle.core.document.FieldError;
import org.fuchsiaspindle.core.document.InvalidDocumentException;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.daemon.fleet.FleetVersions;
import org.fuchsiaspindle.daemon.http.ErrorBody;

/** Reads and writes the bodies of the administration API. */
final class AdminJson {

    static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private AdminJson() {}

    /** Reads the body, which must be a JSON object; an empty body is read as an empty object. */
    static ObjectNode readObject(HttpServerExchange exchange) throws IOException {
        byte[] body = exchange.getInputStream().readAllBytes();
        if (body.length == 0) {
            return JSON.createObjectNode();
        }
        try {
            if (JSON.readTree(body) instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException e) {
            throw malformed("not valid JSON: " + e.getOriginalMessage());
        }
        throw malformed("not a JSON object");
    }

    static FuchsiaspindleException malformed(String message) {
        return new FuchsiaspindleException(ResultCode.MALFORMED_REQUEST, message);
    }

    static void send(HttpServerExchange exchange, JsonNode body) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(body.toString());
    }

    /**
     * Sends the standard error object with additional fields that help the operator to resolve it.
     */
    static void sendFailure(
            HttpServerExchange exchange, FuchsiaspindleException failure, ObjectNode details)
            throws JsonProcessingException {
        ObjectNode body = (ObjectNode) JSON.readTree(ErrorBody.render(failure));
        body.setAll(details);
        exchange.setStatusCode(failure.code().httpStatus());
        send(exchange, body);
    }

    static ObjectNode details(ConfigConflictException conflict) {
        ObjectNode details = JSON.createObjectNode().put("head_version", conflict.headVersion());
        details.set("changes", changes(conflict.changes()));
        return details;
    }

    static ObjectNode details(InvalidDocumentException invalid) {
        ObjectNode details = JSON.createObjectNode();
        ArrayNode errors = details.putArray("errors");
        for (FieldError error : invalid.errors()) {
            errors.addObject().put("field", error.field()).put("problem", error.problem());
        }
        return details;
    }

    static ArrayNode changes(Collection<ConfigChange> changes) {
        ArrayNode list = JSON.createArrayNode();
        changes.forEach(change -> list.add(change(change)));
        return list;
    }

    static ObjectNode change(ConfigChange change) {
        ObjectNode node =
                JSON.createObjectNode()
                        .put("version", change.version())
                        .put("kind", change.key().kind().wireName())
                        .put("name", change.key().name())
                        .put("change_id", change.changeId())
                        .put("operator", change.operator())
                        .put("accepted_at", change.acceptedAt().toString());
        node.set("document", document(change));
        return node;
    }

    static JsonNode document(ConfigChange change) {
        return change.document().map(AdminJson::parse).orElseGet(JSON::nullNode);
    }

    static JsonNode parse(String document) {
        try {
            return JSON.readTree(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an accepted document is not valid JSON", e);
        }
    }

    static ArrayNode processes(Collection<FleetVersions.InstanceVersion> processes) {
        ArrayNode list = JSON.createArrayNode();
        processes.forEach(process -> list.add(process(process)));
        return list;
    }

    static ObjectNode process(FleetVersions.InstanceVersion process) {
        ObjectNode node =
                JSON.createObjectNode()
                        .put("instance", process.instance().id())
                        .put("role", process.instance().role().name().toLowerCase(Locale.ROOT))
                        .put("data_centre", process.instance().dataCentre());
        if (process.version().isPresent()) {
            node.put("config_version", process.version().getAsLong());
        } else {
            node.putNull("config_version");
        }
        return node;
    }
}
