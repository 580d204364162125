package org.fuchsiaspindle.daemon.metrics;

import com.google.common.collect.ImmutableMap;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import org.fuchsiaspindle.daemon.http.ApiServer;

/** Serves {@code /livez}, {@code /readyz} and {@code /metrics}. Thread-safe. */
public final class ManagementServer implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 1024;
    private static final int UNAVAILABLE = 503;
    private static final PrometheusTextFormatWriter WRITER =
            PrometheusTextFormatWriter.builder().build();

    private final ApiServer server;

    private ManagementServer(ApiServer server) {
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param address the address to bind; port 0 chooses a free one
     * @param registry the metrics of this process
     * @param ready returns true while the process accepts requests
     */
    public static ManagementServer start(
            InetSocketAddress address, PrometheusRegistry registry, BooleanSupplier ready) {
        return new ManagementServer(
                ApiServer.start(
                        address,
                        MAX_BODY_BYTES,
                        1,
                        ImmutableMap.of(
                                "/livez", exchange -> sendText(exchange, "ok\n"),
                                "/readyz", exchange -> sendReadiness(exchange, ready),
                                "/metrics", exchange -> sendMetrics(exchange, registry))));
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private static void sendReadiness(HttpServerExchange exchange, BooleanSupplier ready) {
        if (ready.getAsBoolean()) {
            sendText(exchange, "ready\n");
        } else {
            exchange.setStatusCode(UNAVAILABLE);
            sendText(exchange, "not ready\n");
        }
    }

    private static void sendText(HttpServerExchange exchange, String text) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseSender().send(text);
    }

    private static void sendMetrics(HttpServerExchange exchange, PrometheusRegistry registry)
            throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        WRITER.write(out, registry.scrape());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WRITER.getContentType());
        exchange.getResponseSender().send(ByteBuffer.wrap(out.toByteArray()));
    }
}
