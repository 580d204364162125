package org.fuchsiaspindle.core.batch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Creates the lines of output and error files.
 *
 * <p>Result objects hold one line per item in order. The first byte of each line states which file
 * it belongs to; the rest is the line that callers read.
 */
public final class ItemRecords {

    /** First byte of a line of the output file. */
    public static final char OUTPUT = 'O';

    /** First byte of a line of the error file. */
    public static final char ERROR = 'E';

    private static final int STATUS_OK = 200;
    private static final int MS_PER_SECOND = 1000;

    private ItemRecords() {}

    /**
     * A target's response to an item.
     *
     * @param text the complete output
     * @param finishReason why the output ended
     * @param promptTokens tokens of the prompt
     * @param completionTokens tokens of the output
     * @param cachedTokens prompt tokens that the target had in its cache
     */
    public record Response(
            String text,
            String finishReason,
            int promptTokens,
            int completionTokens,
            int cachedTokens) {}

    /**
     * Returns the line of an item that has a result.
     *
     * @param job the job
     * @param index index of the item in the job
     * @param item the input line
     * @param response the target's response
     * @param nowMs wall-clock time in milliseconds
     */
    public static byte[] output(
            String job, int index, InputItem item, Response response, long nowMs) {
        String requestId = requestId(job, index);
        ObjectNode line = line(job, index, item.customId());
        ObjectNode responseNode =
                line.putObject("response")
                        .put("status_code", STATUS_OK)
                        .put("request_id", requestId);
        responseNode.set("body", body(item, response, requestId, nowMs));
        line.putNull("error");
        return bytes(OUTPUT, line);
    }

    /**
     * Returns the line of an item without a result.
     *
     * @param job the job
     * @param index index of the item in the job
     * @param customId the caller's identifier of the item
     * @param code reason why there is no result
     * @param message human-readable message, one sentence
     * @param status HTTP status of the target's response, 0 if there was none
     */
    public static byte[] error(
            String job, int index, String customId, ResultCode code, String message, int status) {
        ObjectNode line = line(job, index, customId);
        if (status == 0) {
            line.putNull("response");
        } else {
            ObjectNode responseNode =
                    line.putObject("response")
                            .put("status_code", status)
                            .put("request_id", requestId(job, index));
            responseNode
                    .putObject("body")
                    .putObject("error")
                    .put("message", message)
                    .put("type", "invalid_request_error")
                    .put("code", code.wireName());
        }
        line.putObject("error")
                .put("code", code.wireName())
                .put("message", message)
                .put("number", code.number());
        return bytes(ERROR, line);
    }

    private static ObjectNode body(InputItem item, Response response, String id, long nowMs) {
        boolean chat = item.url().equals(InputItem.CHAT);
        ObjectNode body =
                BatchJson.MAPPER
                        .createObjectNode()
                        .put("id", (chat ? "chatcmpl-" : "cmpl-") + id)
                        .put("object", chat ? "chat.completion" : "text_completion")
                        .put("created", nowMs / MS_PER_SECOND)
                        .put("model", item.model());
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", response.text());
        } else {
            choice.put("text", response.text());
        }
        choice.putNull("logprobs").put("finish_reason", response.finishReason());
        body.putObject("usage")
                .put("prompt_tokens", response.promptTokens())
                .put("completion_tokens", response.completionTokens())
                .put("total_tokens", response.promptTokens() + response.completionTokens())
                .putObject("prompt_tokens_details")
                .put("cached_tokens", response.cachedTokens());
        return body;
    }

    private static ObjectNode line(String job, int index, String customId) {
        return BatchJson.MAPPER
                .createObjectNode()
                .put("id", "batch_" + requestId(job, index))
                .put("custom_id", customId);
    }

    private static String requestId(String job, int index) {
        return "req_"
                + job.substring(job.indexOf('_') + 1)
                + String.format(Locale.ROOT, "_%06d", index);
    }

    private static byte[] bytes(char tag, ObjectNode line) {
        return (tag + line.toString() + '\n').getBytes(StandardCharsets.UTF_8);
    }
}
