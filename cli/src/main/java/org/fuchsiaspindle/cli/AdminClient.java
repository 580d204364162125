package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.error.ResultCode;

/** Client of the administration API of one entry. Thread-safe. */
final class AdminClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);
    private static final int OK = 200;

    private final HttpClient httpClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
    private final String baseUrl;
    private final String operatorKey;

    AdminClient(String baseUrl, String operatorKey) {
        this.baseUrl = baseUrl;
        this.operatorKey = operatorKey;
    }

    JsonNode get(String path) {
        return send("GET", path, Optional.empty(), Duration.ZERO);
    }

    /**
     * Sends a request with a body.
     *
     * @param path path below {@code /admin/v1}, with query
     * @param body the JSON body, not null
     * @param wait time to wait for the response in addition to the default timeout
     * @throws CliException if the entry cannot be reached or refuses the request
     */
    JsonNode post(String path, JsonNode body, Duration wait) {
        return send("POST", path, Optional.of(body), wait);
    }

    private JsonNode send(String method, String path, Optional<JsonNode> body, Duration wait) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(baseUrl + "/admin/v1" + path))
                        .header("Authorization", "Bearer " + operatorKey)
                        .header("Content-Type", "application/json")
                        .timeout(RESPONSE_TIMEOUT.plus(wait))
                        .method(
                                method,
                                body.map(json -> BodyPublishers.ofString(json.toString()))
                                        .orElseGet(BodyPublishers::noBody))
                        .build();
        HttpResponse<String> response;
        try {
            response = httpClient.send(request, BodyHandlers.ofString());
        } catch (IOException e) {
            throw new CliException(
                    ExitCodes.UNREACHABLE,
                    "no response from " + baseUrl + ": " + reason(e),
                    List.of(),
                    e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCodes.UNREACHABLE, "interrupted", List.of(), e);
        }
        JsonNode responseBody = parse(response);
        if (response.statusCode() != OK) {
            throw refusalException(response.statusCode(), responseBody);
        }
        return responseBody;
    }

    private static String reason(IOException exception) {
        return exception.getMessage() == null
                ? exception.getClass().getSimpleName()
                : exception.getMessage();
    }

    private JsonNode parse(HttpResponse<String> response) {
        try {
            return JSON.readTree(response.body());
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCodes.UNREACHABLE,
                    baseUrl + " is not an entry: the response is not JSON",
                    List.of(),
                    e);
        }
    }

    private static CliException refusalException(int status, JsonNode responseBody) {
        JsonNode error = responseBody.path("error");
        int number = error.path("number").asInt();
        // The entry's message repeats the invalid fields, which the details list one per line.
        int invalidFields = responseBody.path("errors").size();
        String message =
                "error "
                        + number
                        + " "
                        + error.path("code").asText("http_" + status)
                        + ": "
                        + (invalidFields > 0
                                ? "invalid fields: " + invalidFields
                                : error.path("message").asText("status " + status));
        return new CliException(exitCode(number), message, details(responseBody), null);
    }

    private static int exitCode(int number) {
        if (number == ResultCode.CONFIG_NOT_IN_FORCE.number()) {
            return ExitCodes.NOT_IN_FORCE;
        }
        if (number == ResultCode.WRITE_OUTCOME_UNKNOWN.number()) {
            // The change may have been made; a retry with the same change identifier returns its
            // outcome.
            return ExitCodes.UNREACHABLE;
        }
        boolean conflict =
                number == ResultCode.CONFIG_CONFLICT.number()
                        || number == ResultCode.CHANGE_ID_REUSED.number();
        return conflict ? ExitCodes.CONFLICT : ExitCodes.REFUSED;
    }

    private static List<String> details(JsonNode responseBody) {
        List<String> details = new ArrayList<>();
        for (JsonNode error : responseBody.path("errors")) {
            details.add(error.path("field").asText() + ": " + error.path("problem").asText());
        }
        for (JsonNode change : responseBody.path("changes")) {
            details.add(
                    "changed since: version "
                            + change.path("version").asText()
                            + " "
                            + change.path("kind").asText()
                            + "/"
                            + change.path("name").asText()
                            + " by "
                            + change.path("operator").asText());
        }
        for (JsonNode process : responseBody.path("lagging")) {
            String version = process.path("config_version").asText("unknown");
            details.add(
                    "not in force: "
                            + process.path("instance").asText()
                            + " has version "
                            + (version.equals("null") ? "unknown" : version));
        }
        return details;
    }

    @Override
    public void close() {
        httpClient.close();
    }
}
