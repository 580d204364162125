package org.fuchsiaspindle.testbed.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** Sends streamed completion requests and measures their latency. Thread-safe; calls block. */
public final class StreamingClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(120);
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .executor(Executors.newVirtualThreadPerTaskExecutor())
                    .build();

    private StreamingClient() {}

    /** Creates a client. */
    public static StreamingClient create() {
        return new StreamingClient();
    }

    /**
     * Sends a streamed text completion and records its latency and outcome.
     *
     * @param baseUrl base URL of an entry or an engine
     * @param key API key sent as bearer token, or empty for none
     * @param model the model
     * @param request the request
     * @param dueNanos due time in nanoseconds of {@link System#nanoTime}; latency is measured from
     *     it and includes the time to connect
     * @param result receives the measurement
     * @return the complete text, or empty if the request was refused or the stream was interrupted
     */
    public Optional<String> complete(
            URI baseUrl,
            String key,
            String model,
            ScheduledRequest request,
            long dueNanos,
            LoadResult result) {
        try {
            HttpResponse<java.io.InputStream> response =
                    client.send(
                            httpRequest(baseUrl, key, model, request),
                            HttpResponse.BodyHandlers.ofInputStream());
            try (BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
                if (response.statusCode() != OK) {
                    String body = reader.lines().collect(Collectors.joining());
                    String code = JSON.readTree(body).at("/error/code").asText();
                    result.recordRefused(response.statusCode() + " " + code);
                    return Optional.empty();
                }
                return readStream(reader, dueNanos, result);
            }
        } catch (IOException e) {
            result.recordFailed();
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            result.recordFailed();
            return Optional.empty();
        }
    }

    private static Optional<String> readStream(
            BufferedReader reader, long dueNanos, LoadResult result) throws IOException {
        StringBuilder text = new StringBuilder();
        long lastTokenNanos = 0;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length());
            long now = System.nanoTime();
            if (data.equals(DONE)) {
                result.recordCompleted(now - dueNanos);
                return Optional.of(text.toString());
            }
            String delta = JSON.readTree(data).path("choices").path(0).path("text").asText("");
            if (delta.isEmpty()) {
                continue;
            }
            text.append(delta);
            if (lastTokenNanos == 0) {
                result.recordFirstToken(now - dueNanos);
            } else {
                result.recordToken(now - lastTokenNanos);
            }
            lastTokenNanos = now;
        }
        result.recordFailed();
        return Optional.empty();
    }

    private static HttpRequest httpRequest(
            URI baseUrl, String key, String model, ScheduledRequest request) {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("model", model)
                        .put("prompt", request.prompt())
                        .put("max_tokens", request.maxTokens())
                        .put("stream", true);
        if (key.isEmpty()) {
            // Engines require a request identifier, which is normally added by the agent.
            body.put("request_id", "direct-" + UUID.randomUUID());
        }
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(baseUrl.resolve("/v1/completions"))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        if (!key.isEmpty()) {
            builder.header("Authorization", "Bearer " + key);
        }
        return builder.build();
    }

    @Override
    public void close() {
        client.shutdownNow();
    }
}
