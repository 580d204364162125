package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * One valid line of an input file.
 *
 * @param customId the caller's identifier of the item
 * @param url the request path
 * @param model the model
 * @param maxTokens largest number of output tokens, 0 if the line sets none
 * @param body the request's body, as JSON
 */
public record InputItem(String customId, String url, String model, int maxTokens, byte[] body) {

    /** Path of chat completion requests. */
    public static final String CHAT = "/v1/chat/completions";

    /** Path of text completion requests. */
    public static final String TEXT = "/v1/completions";

    /** Request paths that an item may use. */
    public static final Set<String> URLS = Set.of(CHAT, TEXT);

    /** Validates the components. */
    public InputItem {
        checkNotNull(customId, "customId");
        checkNotNull(url, "url");
        checkNotNull(model, "model");
        checkNotNull(body, "body");
    }

    /** Thrown if a line is not a valid item. */
    public static final class InvalidLineException extends Exception {

        private final String code;
        private final String param;

        InvalidLineException(String code, String param, String message) {
            super(message);
            this.code = code;
            this.param = param;
        }

        /** Returns the error with a line number. */
        public LineError at(int line) {
            return new LineError(line, code, getMessage(), param);
        }
    }

    /**
     * Parses a line.
     *
     * @param line the bytes without the line end
     * @throws InvalidLineException if a field is missing or invalid
     */
    public static InputItem parse(byte[] line) throws InvalidLineException {
        JsonNode root = json(line);
        String customId = requiredString(root, "custom_id");
        if (customId.length() > BatchLimits.MAX_CUSTOM_ID_CHARS) {
            throw new InvalidLineException(
                    "invalid_custom_id",
                    "custom_id",
                    "custom_id has more than " + BatchLimits.MAX_CUSTOM_ID_CHARS + " characters");
        }
        if (!"POST".equals(requiredString(root, "method"))) {
            throw new InvalidLineException("invalid_method", "method", "method is not POST");
        }
        String url = requiredString(root, "url");
        if (!URLS.contains(url)) {
            throw new InvalidLineException("invalid_url", "url", "url is not one of " + URLS);
        }
        JsonNode body = root.path("body");
        if (!body.isObject()) {
            throw new InvalidLineException("missing_body", "body", "body is not an object");
        }
        String required = url.equals(CHAT) ? "messages" : "prompt";
        if (body.path(required).isMissingNode()) {
            throw new InvalidLineException(
                    "missing_" + required, "body." + required, "body lacks " + required);
        }
        int maxTokens =
                Math.max(
                        body.path("max_tokens").asInt(0),
                        body.path("max_completion_tokens").asInt(0));
        return new InputItem(
                customId,
                url,
                requiredString(body, "model"),
                maxTokens,
                body.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static JsonNode json(byte[] line) throws InvalidLineException {
        try {
            JsonNode root = BatchJson.MAPPER.readTree(line);
            if (root != null && root.isObject()) {
                return root;
            }
        } catch (IOException e) {
            throw new InvalidLineException("invalid_json_line", "", "the line is not valid JSON");
        }
        throw new InvalidLineException("invalid_json_line", "", "the line is not a JSON object");
    }

    private static String requiredString(JsonNode node, String field) throws InvalidLineException {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new InvalidLineException(
                    "missing_" + field, field, field + " is not a non-empty string");
        }
        return value.textValue();
    }
}
