package org.fuchsiaspindle.daemon.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.routing.PromptPrefixes;

/**
 * The fields of a chat or text completion request that the entry itself needs.
 *
 * @param model the model's name
 * @param stream true if the response is streamed
 * @param includeUsage true if a stream ends with a chunk of token counts
 * @param prompt prefixes of the prompt's text, in the order in which the engine processes it
 * @param promptTokens estimated size of the prompt
 * @param maxTokens largest output size, 0 if not given
 */
record CompletionRequest(
        String model,
        boolean stream,
        boolean includeUsage,
        PromptPrefixes prompt,
        int promptTokens,
        int maxTokens) {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Parses a request body. Fields that are not read here are validated by the engine. */
    static CompletionRequest parse(byte[] body, boolean chat) {
        JsonNode root = parseObject(body);
        refuseUnsupported(root);
        JsonNode model = root.path("model");
        if (!model.isTextual() || model.textValue().isEmpty()) {
            throw malformed("the field model is missing or not a string");
        }
        String prompt = chat ? chatPrompt(root) : textPrompt(root);
        return new CompletionRequest(
                model.textValue(),
                flag(root, "stream"),
                flag(root.path("stream_options"), "include_usage"),
                PromptPrefixes.of(prompt),
                prompt.length() / CHARACTERS_PER_TOKEN,
                maxTokens(root));
    }

    private static JsonNode parseObject(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            if (root == null || !root.isObject()) {
                throw malformed("the body is not a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw malformed("the body is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw malformed("the body is not valid UTF-8");
        }
    }

    /** Refuses requests for several choices, an echo of the prompt or token probabilities. */
    private static void refuseUnsupported(JsonNode root) {
        requireOne(root, "n");
        requireOne(root, "best_of");
        JsonNode logprobs = root.path("logprobs");
        if (logprobs.asBoolean() || logprobs.isNumber()) {
            throw unsupported("logprobs", logprobs);
        }
        if (root.path("echo").asBoolean()) {
            throw unsupported("echo", root.path("echo"));
        }
    }

    private static void requireOne(JsonNode root, String field) {
        JsonNode value = root.path(field);
        if (!value.isMissingNode() && !value.isNull() && value.asInt() != 1) {
            throw unsupported(field, value);
        }
    }

    private static boolean flag(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw malformed("the field " + field + " is not a boolean");
        }
        return value.booleanValue();
    }

    private static int maxTokens(JsonNode root) {
        for (String field : new String[] {"max_completion_tokens", "max_tokens"}) {
            JsonNode value = root.path(field);
            if (value.isMissingNode() || value.isNull()) {
                continue;
            }
            if (!value.canConvertToInt() || !value.isIntegralNumber() || value.intValue() < 1) {
                throw malformed("the field " + field + " is not a positive integer");
            }
            return value.intValue();
        }
        return 0;
    }

    private static String chatPrompt(JsonNode root) {
        JsonNode messages = root.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw malformed("the field messages is missing or not a non-empty array");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.isObject() || !message.path("role").isTextual()) {
                throw malformed("a message is not an object with a role");
            }
            prompt.append(message.path("role").textValue()).append('\n');
            appendContent(prompt, message.path("content"));
            prompt.append('\n');
        }
        return prompt.toString();
    }

    private static void appendContent(StringBuilder prompt, JsonNode content) {
        if (content.isTextual()) {
            prompt.append(content.textValue());
        } else if (content.isArray()) {
            content.forEach(part -> prompt.append(part.path("text").asText("")));
        }
    }

    private static String textPrompt(JsonNode root) {
        JsonNode prompt = root.path("prompt");
        if (prompt.isTextual()) {
            return prompt.textValue();
        }
        if (!prompt.isArray() || prompt.isEmpty()) {
            throw malformed("the field prompt is missing, or neither a string nor an array");
        }
        if (prompt.get(0).isIntegralNumber()) {
            return prompt.toString();
        }
        if (prompt.size() > 1) {
            throw new FuchsiaspindleException(
                    ResultCode.UNSUPPORTED_PARAMETER, "several prompts in one request");
        }
        return prompt.get(0).isTextual() ? prompt.get(0).textValue() : prompt.get(0).toString();
    }

    private static FuchsiaspindleException unsupported(String field, JsonNode value) {
        return new FuchsiaspindleException(
                ResultCode.UNSUPPORTED_PARAMETER, "unsupported value of " + field + ": " + value);
    }

    private static FuchsiaspindleException malformed(String message) {
        return new FuchsiaspindleException(ResultCode.MALFORMED_REQUEST, message);
    }
}
