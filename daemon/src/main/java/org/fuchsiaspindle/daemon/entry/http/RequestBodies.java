package org.fuchsiaspindle.daemon.entry.http;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/** Reads request bodies of bounded size. */
final class RequestBodies {

    /**
     * If the rest of a body exceeds this, the connection is closed instead of the body being read.
     */
    private static final long MAX_DISCARDED_BYTES = 16L * 1024 * 1024;

    private static final byte[] NO_BODY = {};
    private static final int BUFFER_BYTES = 8 * 1024;

    private RequestBodies() {}

    /**
     * Reads and discards the rest of a refused request's body.
     *
     * <p>Otherwise a caller that is still sending may miss the refusal, and the unread bytes could
     * be taken for the next request on the connection.
     */
    static void discard(HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            return;
        }
        exchange.setMaxEntitySize(MAX_DISCARDED_BYTES);
        byte[] buffer = new byte[BUFFER_BYTES];
        long discarded = 0;
        try {
            InputStream in = exchange.getInputStream();
            int read = 0;
            while (read >= 0 && discarded <= MAX_DISCARDED_BYTES) {
                read = in.read(buffer);
                discarded += Math.max(0, read);
            }
        } catch (IOException e) {
            discarded = Long.MAX_VALUE;
        }
        if (discarded > MAX_DISCARDED_BYTES) {
            exchange.setPersistent(false);
        }
    }

    /**
     * Reads the whole body.
     *
     * @throws FuchsiaspindleException with {@code BODY_TOO_LARGE} if it exceeds the limit, with
     *     {@code OVERLOADED} if the budget is exhausted
     * @throws IOException if the caller's connection breaks
     */
    static byte[] read(HttpServerExchange exchange, long maxBytes, BodyBudget budget)
            throws IOException {
        long contentLength = exchange.getRequestContentLength();
        if (contentLength > maxBytes) {
            throw tooLarge(maxBytes);
        }
        if (exchange.isRequestComplete() && contentLength <= 0) {
            return NO_BODY;
        }
        budget.reserve(exchange, contentLength >= 0 ? contentLength : maxBytes);
        byte[] body = exchange.getInputStream().readNBytes(Math.toIntExact(maxBytes) + 1);
        if (body.length > maxBytes) {
            throw tooLarge(maxBytes);
        }
        return body;
    }

    private static FuchsiaspindleException tooLarge(long maxBytes) {
        return new FuchsiaspindleException(
                ResultCode.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
    }
}
