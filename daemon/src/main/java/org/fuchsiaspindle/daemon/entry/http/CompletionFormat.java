package org.fuchsiaspindle.daemon.entry.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiaspindle.wire.proto.Usage;

/**
 * Renders the response objects of one chat or text completion.
 *
 * @param chat true for a chat completion
 * @param id the response's identifier
 * @param created wall time in seconds
 * @param model the model's name as in the request
 * @param includeUsage true if the chunks of a stream carry the field {@code usage}
 */
record CompletionFormat(boolean chat, String id, long created, String model, boolean includeUsage) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns the complete response to a request without {@code stream}. */
    String completion(String text, String finishReason, Usage usage) {
        ObjectNode root = root(chat ? "chat.completion" : "text_completion");
        ObjectNode choice = choice(root);
        if (chat) {
            choice.putObject("message")
                    .put("role", "assistant")
                    .put("content", text)
                    .putNull("refusal");
        } else {
            choice.put("text", text);
        }
        choice.putNull("logprobs").put("finish_reason", finishReason);
        putUsage(root, usage);
        return root.toString();
    }

    /** Returns the first chunk of a chat stream, which names the role. */
    String role() {
        ObjectNode root = chunkRoot();
        ObjectNode choice = choice(root);
        choice.putObject("delta").put("role", "assistant").put("content", "");
        choice.putNull("logprobs").putNull("finish_reason");
        return root.toString();
    }

    /** Returns a chunk with text. */
    String text(String text) {
        ObjectNode root = chunkRoot();
        ObjectNode choice = choice(root);
        if (chat) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("logprobs").putNull("finish_reason");
        return root.toString();
    }

    /** Returns the chunk that ends the choice. */
    String finish(String finishReason) {
        ObjectNode root = chunkRoot();
        ObjectNode choice = choice(root);
        if (chat) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.putNull("logprobs").put("finish_reason", finishReason);
        return root.toString();
    }

    /** Returns the chunk with token counts, which has no choice. */
    String usage(Usage usage) {
        ObjectNode root = root(chunkObject());
        root.putArray("choices");
        putUsage(root, usage);
        return root.toString();
    }

    private ObjectNode chunkRoot() {
        ObjectNode root = root(chunkObject());
        if (includeUsage) {
            root.putNull("usage");
        }
        return root;
    }

    private String chunkObject() {
        return chat ? "chat.completion.chunk" : "text_completion";
    }

    private ObjectNode root(String object) {
        return JSON.createObjectNode()
                .put("id", id)
                .put("object", object)
                .put("created", created)
                .put("model", model);
    }

    private static ObjectNode choice(ObjectNode root) {
        ArrayNode choices = root.putArray("choices");
        return choices.addObject().put("index", 0);
    }

    private static void putUsage(ObjectNode root, Usage usage) {
        root.putObject("usage")
                .put("prompt_tokens", usage.getPromptTokens())
                .put("completion_tokens", usage.getCompletionTokens())
                .put("total_tokens", usage.getPromptTokens() + usage.getCompletionTokens())
                .putObject("prompt_tokens_details")
                .put("cached_tokens", usage.getCachedTokens());
    }
}
