package org.fuchsiaspindle.daemon.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.io.IOException;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.daemon.agent.target.TargetRequest;
import org.fuchsiaspindle.wire.proto.Execute;
import org.fuchsiaspindle.wire.proto.Order;
import org.fuchsiaspindle.wire.proto.RequestKind;

/** Builds the requests of the engine protocol. */
final class EngineRequests {

    private static final ObjectMapper JSON = new ObjectMapper();

    private EngineRequests() {}

    /**
     * Returns the request that runs or resumes a stream.
     *
     * @throws FuchsiaspindleException with {@code MALFORMED_REQUEST} if the body is not a JSON
     *     object
     */
    static TargetRequest generate(
            RequestKind kind, ByteString body, String requestId, String resumeText, int tokens) {
        try {
            JsonNode parsed = JSON.readTree(body.newInput());
            if (!(parsed instanceof ObjectNode object)) {
                throw malformed("the body is not a JSON object", null);
            }
            object.put("stream", true);
            object.put("request_id", requestId);
            if (tokens > 0 || !resumeText.isEmpty()) {
                object.put("continue_text", resumeText);
                object.put("continue_tokens", tokens);
            }
            return TargetRequest.json(
                    "POST", path(kind), ByteString.copyFrom(JSON.writeValueAsBytes(object)));
        } catch (JsonProcessingException e) {
            throw malformed("the body is not valid JSON", e);
        } catch (IOException e) {
            throw malformed("the body cannot be read", e);
        }
    }

    /** Returns the request that cancels a stream. */
    static TargetRequest cancel(String requestId) {
        return TargetRequest.withoutBody("DELETE", "/v1/requests/" + requestId);
    }

    /** Returns the request that forwards a placement order. */
    static TargetRequest order(Order order) {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("fence", order.getFencingNumber())
                        .put("order", order.getAction())
                        .put("model", order.getModel())
                        .put("version", order.getVersion());
        return TargetRequest.json("POST", "/v1/orders", ByteString.copyFromUtf8(body.toString()));
    }

    /** Returns the request for a call to a plain service. */
    static TargetRequest call(Execute execute) {
        return new TargetRequest(
                execute.getMethod(),
                execute.getPath(),
                ImmutableList.copyOf(execute.getHeadersList()),
                execute.getBody());
    }

    private static String path(RequestKind kind) {
        return switch (kind) {
            case REQUEST_KIND_CHAT -> "/v1/chat/completions";
            case REQUEST_KIND_TEXT -> "/v1/completions";
            default -> throw malformed("engines do not support requests of kind " + kind, null);
        };
    }

    private static FuchsiaspindleException malformed(String message, Throwable cause) {
        return new FuchsiaspindleException(ResultCode.MALFORMED_REQUEST, message, cause);
    }
}
