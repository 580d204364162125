package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/** Reads documents, their history and their differences from an entry and prints them. */
final class Documents {

    private static final ObjectMapper JSON = new ObjectMapper();

    private Documents() {}

    static void get(AdminOptions admin, String kind, String name) {
        JsonNode response =
                admin.withClient(
                        client -> client.get("/documents/" + kind + "/" + pathSegment(name)));
        admin.output().write(response, () -> Output.pretty(response.path("document")) + "\n");
    }

    static void list(AdminOptions admin, Iterable<String> kinds) {
        ArrayNode documents = JSON.createArrayNode();
        admin.withClient(
                client -> {
                    for (String kind : kinds) {
                        client.get("/documents/" + kind).path("documents").forEach(documents::add);
                    }
                    return documents;
                });
        admin.output().write(documents, () -> documentTable(documents, "KIND", "NAME", "VERSION"));
    }

    static void history(
            AdminOptions admin, Optional<String> kind, Optional<String> name, int limit) {
        String query =
                "?limit="
                        + limit
                        + kind.map(text -> "&kind=" + text).orElse("")
                        + name.map(text -> "&name=" + pathSegment(text)).orElse("");
        JsonNode response = admin.withClient(client -> client.get("/history" + query));
        admin.output().write(response, () -> historyTable(response.path("changes")));
    }

    static void diff(AdminOptions admin, String kind, Optional<String> name, long from, Long to) {
        String query = "?from=" + from + (to == null ? "" : "&to=" + to);
        ObjectNode response = (ObjectNode) admin.withClient(client -> client.get("/diff" + query));
        ArrayNode matching = JSON.createArrayNode();
        for (JsonNode difference : response.path("differences")) {
            boolean nameMatches =
                    name.isEmpty() || difference.path("name").asText().equals(name.get());
            if (nameMatches && difference.path("kind").asText().equals(kind)) {
                matching.add(difference);
            }
        }
        response.set("differences", matching);
        admin.output().write(response, () -> DocumentDiff.render(matching));
    }

    /**
     * Returns a name as one segment of a URL path. The entry validates names; this check only
     * prevents a name from changing the path that the URL refers to.
     *
     * @throws CliException if the name is empty or has characters other than ASCII letters, digits
     *     and {@code ._-}
     */
    static String pathSegment(String name) {
        if (!name.matches("[A-Za-z0-9._-]+")) {
            throw new CliException(ExitCodes.USAGE, "invalid name: " + name);
        }
        return name;
    }

    private static String documentTable(JsonNode documents, String... titles) {
        TextTable table = new TextTable(titles);
        for (JsonNode document : documents) {
            table.add(
                    document.path("kind").asText(),
                    document.path("name").asText(),
                    document.path("version").asText());
        }
        return table.render();
    }

    private static String historyTable(JsonNode changes) {
        TextTable table =
                new TextTable("VERSION", "ACCEPTED", "KIND", "NAME", "CHANGE", "OPERATOR", "ID");
        for (JsonNode change : changes) {
            table.add(
                    change.path("version").asText(),
                    change.path("accepted_at").asText(),
                    change.path("kind").asText(),
                    change.path("name").asText(),
                    change.path("document").isNull() ? "deleted" : "applied",
                    change.path("operator").asText(),
                    change.path("change_id").asText());
        }
        return table.render();
    }
}
