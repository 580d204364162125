package org.fuchsiaspindle.daemon.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsiaspindle.core.config.ConfigChange;
import org.fuchsiaspindle.core.config.DocumentKey;

/** Compares the documents at two versions of the configuration log. */
final class ConfigDiff {

    private ConfigDiff() {}

    /**
     * Returns the documents that differ, with their content at both versions.
     *
     * @param log all changes up to the later version, in order
     * @param from the earlier version
     */
    static ArrayNode compute(List<ConfigChange> log, long from) {
        Map<DocumentKey, JsonNode> before = new TreeMap<>();
        Map<DocumentKey, JsonNode> after = new TreeMap<>();
        JsonNode absent = AdminJson.JSON.nullNode();
        for (ConfigChange change : log) {
            JsonNode document = AdminJson.document(change);
            if (change.version() <= from) {
                before.put(change.key(), document);
            } else {
                after.put(change.key(), document);
            }
        }
        ArrayNode list = AdminJson.JSON.createArrayNode();
        after.forEach(
                (key, document) -> {
                    JsonNode old = before.getOrDefault(key, absent);
                    if (!old.equals(document)) {
                        list.add(entry(key, old, document));
                    }
                });
        return list;
    }

    private static ObjectNode entry(DocumentKey key, JsonNode old, JsonNode document) {
        String change = old.isNull() ? "added" : document.isNull() ? "deleted" : "changed";
        ObjectNode node =
                AdminJson.JSON
                        .createObjectNode()
                        .put("kind", key.kind().wireName())
                        .put("name", key.name())
                        .put("change", change);
        node.set("before", old);
        node.set("after", document);
        return node;
    }
}
