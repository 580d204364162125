package org.fuchsiaspindle.daemon.http;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;

/** Handles the requests below one path prefix; called on a virtual thread in blocking mode. */
@FunctionalInterface
public interface HttpEndpoint {

    /**
     * Handles a request. A {@code FuchsiaspindleException} thrown before the response has started
     * is sent as an error object.
     *
     * @param exchange the exchange, in blocking mode
     * @throws IOException if the caller's connection breaks
     */
    void handle(HttpServerExchange exchange) throws IOException;

    /** Returns the largest request body in bytes, or 0 for the server's limit. */
    default long maxBodyBytes() {
        return 0;
    }
}
