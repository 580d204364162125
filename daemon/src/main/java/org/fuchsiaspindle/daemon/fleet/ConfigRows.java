package org.fuchsiaspindle.daemon.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Instant;
import java.util.Optional;
import org.fuchsiaspindle.core.config.ConfigChange;
import org.fuchsiaspindle.core.config.ConfigLog;
import org.fuchsiaspindle.core.config.DocumentKey;
import org.fuchsiaspindle.core.config.DocumentKind;
import org.fuchsiaspindle.platform.table.Row;

/** Keys and values of the config log's rows in the table. */
final class ConfigRows {

    static final String HEAD = "cfg/head";
    static final String LOG_PREFIX = "cfg/log/";

    private static final String CHANGE_PREFIX = "cfg/change/";
    private static final ObjectMapper JSON = new ObjectMapper();

    private ConfigRows() {}

    static String logKey(long version) {
        return String.format("%s%012d", LOG_PREFIX, version);
    }

    static String changeKey(String changeId) {
        return CHANGE_PREFIX + changeId;
    }

    static byte[] head(long version, String nonce) {
        return bytes(JSON.createObjectNode().put("version", version).put("nonce", nonce));
    }

    static long headVersion(Row row) {
        return parse(row).get("version").longValue();
    }

    static byte[] recorded(ConfigLog.RecordedChange recorded, String nonce) {
        return bytes(
                JSON.createObjectNode()
                        .put("version", recorded.version())
                        .put("digest", recorded.contentDigest())
                        .put("nonce", nonce));
    }

    static ConfigLog.RecordedChange recorded(Row row) {
        JsonNode node = parse(row);
        return new ConfigLog.RecordedChange(
                node.get("version").longValue(), node.get("digest").textValue());
    }

    static byte[] log(ConfigChange change, String nonce) {
        ObjectNode node =
                JSON.createObjectNode()
                        .put("version", change.version())
                        .put("change_id", change.changeId())
                        .put("kind", change.key().kind().wireName())
                        .put("name", change.key().name())
                        .put("operator", change.operator())
                        .put("accepted_at_ms", change.acceptedAt().toEpochMilli())
                        .put("nonce", nonce);
        // The document is stored as a string, so that its bytes and its digest stay the same.
        change.document().ifPresent(document -> node.put("document", document));
        return bytes(node);
    }

    /** Returns the change of a log row, or empty if its kind is unknown (from a newer process). */
    static Optional<ConfigChange> change(Row row) {
        JsonNode node = parse(row);
        return DocumentKind.ofWireName(node.get("kind").textValue())
                .map(
                        kind ->
                                new ConfigChange(
                                        node.get("version").longValue(),
                                        node.get("change_id").textValue(),
                                        new DocumentKey(kind, node.get("name").textValue()),
                                        Optional.ofNullable(node.get("document"))
                                                .map(JsonNode::textValue),
                                        node.get("operator").textValue(),
                                        Instant.ofEpochMilli(
                                                node.get("accepted_at_ms").longValue())));
    }

    static long logVersion(Row row) {
        return Long.parseLong(row.key().substring(LOG_PREFIX.length()));
    }

    private static JsonNode parse(Row row) {
        try {
            return JSON.readTree(row.value());
        } catch (IOException e) {
            throw new IllegalStateException("row " + row.key() + " is not valid JSON", e);
        }
    }

    private static byte[] bytes(ObjectNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a row", e);
        }
    }
}
