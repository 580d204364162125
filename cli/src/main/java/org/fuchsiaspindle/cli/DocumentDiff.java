package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Renders the differences between two versions of documents, one changed field per line. */
final class DocumentDiff {

    private DocumentDiff() {}

    static String render(Iterable<JsonNode> differences) {
        StringBuilder text = new StringBuilder();
        for (JsonNode difference : differences) {
            text.append(difference.path("kind").asText())
                    .append('/')
                    .append(difference.path("name").asText())
                    .append(' ')
                    .append(difference.path("change").asText())
                    .append('\n');
            Map<String, String> before = new TreeMap<>();
            Map<String, String> after = new TreeMap<>();
            flatten("", difference.path("before"), before);
            flatten("", difference.path("after"), after);
            TreeSet<String> fields = new TreeSet<>(before.keySet());
            fields.addAll(after.keySet());
            for (String field : fields) {
                append(text, field, before.get(field), after.get(field));
            }
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String field, String before, String after) {
        if (before != null && !before.equals(after)) {
            text.append("- ").append(field).append(": ").append(before).append('\n');
        }
        if (after != null && !after.equals(before)) {
            text.append("+ ").append(field).append(": ").append(after).append('\n');
        }
    }

    private static void flatten(String path, JsonNode node, Map<String, String> fields) {
        if (node.isObject()) {
            node.properties()
                    .forEach(
                            field ->
                                    flatten(
                                            path.isEmpty()
                                                    ? field.getKey()
                                                    : path + "." + field.getKey(),
                                            field.getValue(),
                                            fields));
        } else if (!node.isNull() && !node.isMissingNode()) {
            fields.put(path, node.toString());
        }
    }
}
