package org.fuchsiaspindle.daemon.entry.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Writes the response of one request; used by the request's own thread only. */
final class ResponseWriter {

    private static final Logger LOG = LoggerFactory.getLogger(ResponseWriter.class);
    private static final HttpString REQUEST_ID = new HttpString("x-request-id");
    private static final String EVENT_START = "data: ";
    private static final String EVENT_END = "\n\n";

    private final HttpServerExchange exchange;
    private final SlowCallers slowCallers;
    private boolean streaming;
    private boolean readTimeoutSuspended;

    ResponseWriter(HttpServerExchange exchange, SlowCallers slowCallers, String requestId) {
        this.exchange = exchange;
        this.slowCallers = slowCallers;
        exchange.getResponseHeaders().put(REQUEST_ID, requestId);
    }

    /** Returns true once part of a stream has been written, after which no status can be sent. */
    boolean isStreaming() {
        return streaming;
    }

    void json(String body) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        send(body.getBytes(StandardCharsets.UTF_8));
    }

    void send(byte[] body) throws IOException {
        exchange.setResponseContentLength(body.length);
        OutputStream out = exchange.getOutputStream();
        slowCallers.runWrite(
                exchange.getConnection(),
                () -> {
                    out.write(body);
                    out.close();
                });
    }

    void event(String data) throws IOException {
        if (!streaming) {
            streaming = true;
            exchange.getResponseHeaders()
                    .put(Headers.CONTENT_TYPE, "text/event-stream; charset=utf-8")
                    .put(Headers.CACHE_CONTROL, "no-cache");
        }
        OutputStream out = exchange.getOutputStream();
        byte[] event = (EVENT_START + data + EVENT_END).getBytes(StandardCharsets.UTF_8);
        slowCallers.runWrite(
                exchange.getConnection(),
                () -> {
                    out.write(event);
                    out.flush();
                });
    }

    /** Ends a stream; the final write has the same time limit as other writes. */
    void end() throws IOException {
        slowCallers.runWrite(exchange.getConnection(), exchange.getOutputStream()::close);
    }

    /**
     * Returns true if the caller closed its connection.
     *
     * <p>The server does not read from a connection while it handles a request, so this method
     * reads from it to find the end of the input. If it reads a pipelined request instead, it hands
     * the bytes back to the server.
     */
    boolean isCallerDisconnected() {
        if (!exchange.getConnection().isOpen()) {
            return true;
        }
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)
                || !exchange.isRequestComplete()
                || connection.getExtraBytes() != null) {
            return false;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean returned = false;
        try {
            suspendReadTimeout(connection);
            int read = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (read > 0) {
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                returned = true;
            }
            return read < 0;
        } catch (IOException e) {
            return true;
        } finally {
            if (!returned) {
                pooled.close();
            }
        }
    }

    /**
     * Disables the server's read timeout until the exchange has completed. The timeout counts from
     * the last read, so a check that reads nothing would close the connection of a request that
     * runs for longer than the timeout.
     */
    private void suspendReadTimeout(HttpServerConnection connection) throws IOException {
        if (readTimeoutSuspended) {
            return;
        }
        readTimeoutSuspended = true;
        ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
        Integer timeout = source.setOption(Options.READ_TIMEOUT, 0);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    try {
                        source.setOption(Options.READ_TIMEOUT, timeout);
                    } catch (IOException e) {
                        LOG.debug("http: cannot restore the read timeout", e);
                    } finally {
                        next.proceed();
                    }
                });
    }
}
