package org.fuchsiaspindle.testbed.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response of a stand-in.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body
 */
public record Response(int status, String contentType, byte[] body) {

    /** Creates a response with a JSON body. */
    public static Response json(int status, JsonNode body) {
        return new Response(
                status, "application/json", body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Creates a response with a plain text body. */
    public static Response text(int status, String text) {
        return new Response(
                status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends this response and ends the exchange. */
    public void send(HttpServerExchange exchange) throws IOException {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        exchange.getOutputStream().write(body);
        exchange.getOutputStream().close();
    }
}
