package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Options of the commands that change the system; also sends the change. */
final class ChangeOptions {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ATTEMPTS = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    @Mixin private AdminOptions admin = new AdminOptions();

    @Option(
            names = "--change-id",
            paramLabel = "ID",
            description =
                    "Identifier of the change; repeating a change with the same identifier returns"
                            + " the first outcome (default: random).")
    private String changeId;

    @Option(
            names = "--wait",
            description = "Wait until the change is in force in every live process.")
    private boolean wait;

    @Option(
            names = "--wait-seconds",
            paramLabel = "SECONDS",
            defaultValue = "17",
            description = "Maximum wait time with --wait, 1 to 60 (default: ${DEFAULT-VALUE}).")
    private int waitSeconds;

    AdminOptions admin() {
        return admin;
    }

    /**
     * Sends a change. A request without a response is retried with the same change identifier, so
     * the change is applied at most once.
     *
     * @param path path below {@code /admin/v1}, without query
     * @param body the body, to which the change identifier is added
     * @throws CliException if no attempt received a response or the change was refused
     */
    JsonNode send(String path, ObjectNode body) {
        String id = changeId == null ? "cli-" + UUID.randomUUID() : changeId;
        body.put("change_id", id);
        Duration waitTime =
                wait ? Duration.ofSeconds(Math.clamp(waitSeconds, 1, 60)) : Duration.ZERO;
        String query = wait ? "?wait_ms=" + waitTime.toMillis() : "";
        return admin.withClient(
                client -> {
                    for (int attempt = 1; ; attempt++) {
                        try {
                            return client.post(path + query, body, waitTime);
                        } catch (CliException e) {
                            if (e.exitCode() != ExitCodes.UNREACHABLE) {
                                throw e;
                            }
                            if (attempt == MAX_ATTEMPTS) {
                                throw new CliException(
                                        ExitCodes.UNREACHABLE,
                                        e.getMessage(),
                                        List.of("to repeat safely, add --change-id " + id),
                                        e);
                            }
                            sleepBeforeRetry();
                        }
                    }
                });
    }

    /**
     * Sends a change to a document and prints the outcome.
     *
     * @param document the new document; null deletes the existing one
     * @param base the configuration version that the change is based on
     */
    void sendDocument(String kind, String name, JsonNode document, BaseVersion base) {
        ObjectNode body = JSON.createObjectNode().put("kind", kind).put("name", name);
        body.set("document", document);
        base.version().ifPresent(version -> body.put("base_version", version));
        write(send("/changes", body), kind + "/" + name);
    }

    /** Prints whether a change to a document or target is in force or only accepted. */
    void write(JsonNode response, String subject) {
        admin.output()
                .write(
                        response,
                        () ->
                                subject
                                        + ": version "
                                        + response.path("version").asText()
                                        + (response.path("in_force").asBoolean()
                                                ? " in force"
                                                : " accepted")
                                        + "\n");
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCodes.UNREACHABLE, "interrupted", List.of(), e);
        }
    }
}
