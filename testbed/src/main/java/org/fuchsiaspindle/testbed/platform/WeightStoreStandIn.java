package org.fuchsiaspindle.testbed.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.util.concurrent.RateLimiter;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.http.Response;
import org.fuchsiaspindle.testbed.http.StandInServer;

/**
 * A simulated weight store, which serves {@code GET /weights/v1/{model}/{version}}. All readers
 * share one rate limit, so concurrent loads slow each other down. Thread-safe.
 */
public final class WeightStoreStandIn implements AutoCloseable {

    private static final String WEIGHTS = "/weights/v1/";
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;

    private final int bytesPerModel;
    private final RateLimiter rate;
    private final AtomicInteger concurrentReads = new AtomicInteger();
    private final AtomicInteger maxConcurrentReads = new AtomicInteger();
    private final StandInServer server;
    private volatile boolean down;

    private WeightStoreStandIn(int port, int bytesPerModel, double bytesPerSecond) {
        this.bytesPerModel = bytesPerModel;
        rate = RateLimiter.create(bytesPerSecond);
        server = StandInServer.start(port, this::handle);
    }

    /**
     * Starts the weight store.
     *
     * @param port the port, 0 for a free port
     * @param bytesPerModel size of each model's weights
     * @param bytesPerSecond total rate of all concurrent reads
     */
    public static WeightStoreStandIn start(int port, int bytesPerModel, double bytesPerSecond) {
        checkArgument(bytesPerModel > 0, "bytesPerModel not positive: %s", bytesPerModel);
        return new WeightStoreStandIn(port, bytesPerModel, bytesPerSecond);
    }

    /** Returns the base URL. */
    public URI url() {
        return server.url();
    }

    /** Sets whether the store responds to all requests with status 503. */
    public void setDown(boolean value) {
        down = value;
    }

    /** Returns the largest number of concurrent reads so far. */
    public int maxConcurrentReads() {
        return maxConcurrentReads.get();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        if (down) {
            Response.text(UNAVAILABLE, "down\n").send(exchange);
        } else if (!exchange.getRequestPath().startsWith(WEIGHTS)) {
            Response.text(NOT_FOUND, "no such path\n").send(exchange);
        } else {
            maxConcurrentReads.accumulateAndGet(concurrentReads.incrementAndGet(), Math::max);
            try {
                sendWeights(exchange);
            } finally {
                concurrentReads.decrementAndGet();
            }
        }
    }

    private void sendWeights(HttpServerExchange exchange) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, bytesPerModel);
        OutputStream out = exchange.getOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int sent = 0; sent < bytesPerModel; sent += BUFFER_BYTES) {
            int count = Math.min(BUFFER_BYTES, bytesPerModel - sent);
            rate.acquire(count);
            out.write(buffer, 0, count);
        }
        out.close();
    }
}
