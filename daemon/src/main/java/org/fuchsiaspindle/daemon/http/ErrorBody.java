package org.fuchsiaspindle.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/** Renders a failure as the error object of the HTTP APIs. */
public final class ErrorBody {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int INTERNAL_ERROR = 500;

    private ErrorBody() {}

    /** Returns the error object as JSON. */
    public static String render(FuchsiaspindleException failure) {
        ResultCode code = failure.code();
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error")
                .put("message", failure.getMessage())
                .put("type", type(code))
                .putNull("param")
                .put("code", code.wireName())
                .put("number", code.number())
                .put("executed", failure.executed().wireName());
        return root.toString();
    }

    /** Sends the error object as the whole response. */
    public static void send(HttpServerExchange exchange, FuchsiaspindleException failure) {
        int status = failure.code().httpStatus();
        exchange.setStatusCode(status == 0 ? INTERNAL_ERROR : status);
        if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            long seconds =
                    Math.max(1, failure.retryAfter().orElse(DEFAULT_RETRY_AFTER).toSeconds());
            exchange.getResponseHeaders().put(RETRY_AFTER, Long.toString(seconds));
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(render(failure));
    }

    private static String type(ResultCode code) {
        return switch (code.number() / 1000) {
            case 1, 5, 6 -> "invalid_request_error";
            case 2 -> "rate_limit_error";
            default -> "server_error";
        };
    }
}
