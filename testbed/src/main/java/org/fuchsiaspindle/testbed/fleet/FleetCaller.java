package org.fuchsiaspindle.testbed.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsiaspindle.platform.http.HttpClient;
import org.fuchsiaspindle.platform.http.HttpRequest;
import org.fuchsiaspindle.platform.http.HttpResponse;
import org.fuchsiaspindle.platform.http.HttpResponseStream;
import org.fuchsiaspindle.testbed.http.EventStream;

/** A customer's HTTP client of one entry. Thread-safe. */
public final class FleetCaller implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final String BOUNDARY = "boundary-of-the-testbed";
    private static final String CONTENT_TYPE = "Content-Type";
    private static final int OK = 200;

    private final HttpClient client;
    private final String key;

    /**
     * A streamed response.
     *
     * @param status the HTTP status
     * @param text the concatenated text of all chunks
     * @param chunks the number of chunks with text
     * @param complete true if the stream ended with {@code [DONE]}
     * @param error the error in the response or the error that ended the stream, or a missing node
     *     if there is none
     */
    public record Streamed(int status, String text, int chunks, boolean complete, JsonNode error) {}

    private FleetCaller(HttpClient client, String key) {
        this.client = client;
        this.key = key;
    }

    /** Creates a client that authenticates with a customer's key. */
    public static FleetCaller create(URI entry, String key) {
        return new FleetCaller(HttpClient.create(entry), key);
    }

    /** Sends a POST request with a JSON body and additional headers. */
    public HttpResponse post(
            String path, JsonNode body, ImmutableListMultimap<String, String> headers)
            throws IOException {
        return client.exchange(
                request("POST", path, "application/json", headers, JSON.writeValueAsBytes(body)),
                TIMEOUT);
    }

    /** Sends a POST request with a JSON body. */
    public HttpResponse post(String path, JsonNode body) throws IOException {
        return post(path, body, ImmutableListMultimap.of());
    }

    /** Sends a GET request. */
    public HttpResponse get(String path) throws IOException {
        return client.exchange(
                request("GET", path, "", ImmutableListMultimap.of(), new byte[0]), TIMEOUT);
    }

    /** Sends a streaming completion or chat request and reads the stream to its end. */
    public Streamed stream(String path, ObjectNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body.deepCopy().put("stream", true));
        HttpRequest request =
                request("POST", path, "application/json", ImmutableListMultimap.of(), bytes);
        try (HttpResponseStream response = client.open(request, TIMEOUT, TIMEOUT)) {
            if (response.status() != OK) {
                JsonNode error = JSON.readTree(response.body().readAllBytes()).path("error");
                return new Streamed(response.status(), "", 0, false, error);
            }
            List<String> texts = new ArrayList<>();
            List<JsonNode> errors = new ArrayList<>();
            boolean complete =
                    EventStream.read(
                            response.body(),
                            chunk -> {
                                texts.add(text(chunk));
                                errors.add(chunk.path("error"));
                            });
            texts.removeIf(String::isEmpty);
            errors.removeIf(JsonNode::isMissingNode);
            return new Streamed(
                    OK,
                    String.join("", texts),
                    texts.size(),
                    complete,
                    errors.isEmpty() ? MissingNode.getInstance() : errors.getFirst());
        }
    }

    /** Uploads the input file of a batch job. */
    public HttpResponse upload(String fileName, String content) throws IOException {
        String preamble =
                "--"
                        + BOUNDARY
                        + "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--"
                        + BOUNDARY
                        + "\r\nContent-Disposition: form-data; name=\"file\"; filename=\""
                        + fileName
                        + "\"\r\nContent-Type: application/jsonl\r\n\r\n";
        String body = preamble + content + "\r\n--" + BOUNDARY + "--\r\n";
        return client.exchange(
                request(
                        "POST",
                        "/v1/files",
                        "multipart/form-data; boundary=" + BOUNDARY,
                        ImmutableListMultimap.of(),
                        body.getBytes(UTF_8)),
                TIMEOUT);
    }

    /** Submits a batch job of chat requests. */
    public HttpResponse submit(String fileId, ImmutableListMultimap<String, String> headers)
            throws IOException {
        return post(
                "/v1/batches",
                JSON.createObjectNode()
                        .put("input_file_id", fileId)
                        .put("endpoint", "/v1/chat/completions")
                        .put("completion_window", "1h"),
                headers);
    }

    /** Returns the body of a chat request with one message. */
    public static ObjectNode chat(String model, String message, int maxTokens) {
        ObjectNode body = JSON.createObjectNode().put("model", model).put("max_tokens", maxTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", message);
        return body;
    }

    /** Returns a line of a batch input file, including the line terminator. */
    public static String item(String customId, ObjectNode chat) {
        ObjectNode line =
                JSON.createObjectNode()
                        .put("custom_id", customId)
                        .put("method", "POST")
                        .put("url", "/v1/chat/completions");
        line.set("body", chat);
        return line + "\n";
    }

    /** Returns the text of a response or chunk of a chat or text completion. */
    public static String text(JsonNode completion) {
        JsonNode choice = completion.path("choices").path(0);
        return choice.path("message").path("content").asText("")
                + choice.path("delta").path("content").asText("")
                + choice.path("text").asText("");
    }

    /** Parses the content of a JSON Lines file. */
    public static ImmutableList<JsonNode> lines(byte[] content) throws IOException {
        ImmutableList.Builder<JsonNode> lines = ImmutableList.builder();
        for (String line : new String(content, UTF_8).split("\n")) {
            if (!line.isBlank()) {
                lines.add(JSON.readTree(line));
            }
        }
        return lines.build();
    }

    @Override
    public void close() {
        client.close();
    }

    private HttpRequest request(
            String method,
            String path,
            String contentType,
            ImmutableListMultimap<String, String> additionalHeaders,
            byte[] body) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        headers.put("Authorization", "Bearer " + key);
        if (!contentType.isEmpty()) {
            headers.put(CONTENT_TYPE, contentType);
        }
        return new HttpRequest(method, path, headers.putAll(additionalHeaders).build(), body);
    }
}
