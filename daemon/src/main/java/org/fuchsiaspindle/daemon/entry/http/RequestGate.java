package org.fuchsiaspindle.daemon.entry.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.daemon.entry.metrics.EntryMetrics;
import org.fuchsiaspindle.daemon.http.HttpEndpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts running requests and refuses new ones during a planned stop.
 *
 * <p>Thread-safe; entering never blocks.
 */
public final class RequestGate {

    /**
     * Flag in {@link #state} that marks the gate as closed; the bits below count running requests.
     */
    private static final long CLOSED = 1L << 32;

    private static final Logger LOG = LoggerFactory.getLogger(RequestGate.class);

    private final EntryMetrics metrics;
    private final AtomicLong state = new AtomicLong();
    private final CountDownLatch empty = new CountDownLatch(1);

    private RequestGate(EntryMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Creates an open gate.
     *
     * @param metrics counts the requests that end with an error
     */
    public static RequestGate create(EntryMetrics metrics) {
        return new RequestGate(checkNotNull(metrics, "metrics"));
    }

    /**
     * Returns an endpoint that forwards requests while the gate is open.
     *
     * <p>A request counts as running until its response has been written to the caller's
     * connection. Once the gate is closed, requests are refused with {@code DRAINING}.
     *
     * @param endpoint the endpoint, not null
     * @param maxBodyBytes largest request body in bytes if the endpoint does not set its own limit
     */
    public HttpEndpoint guard(HttpEndpoint endpoint, long maxBodyBytes) {
        checkNotNull(endpoint, "endpoint");
        return new HttpEndpoint() {
            @Override
            public void handle(HttpServerExchange exchange) throws IOException {
                try {
                    enter();
                    exchange.addExchangeCompleteListener(RequestGate.this::leave);
                    endpoint.handle(exchange);
                } catch (FuchsiaspindleException e) {
                    recordRefusal(e);
                    RequestBodies.discard(exchange);
                    throw e;
                }
            }

            @Override
            public long maxBodyBytes() {
                long endpointLimit = endpoint.maxBodyBytes();
                return endpointLimit > 0 ? endpointLimit : maxBodyBytes;
            }
        };
    }

    /** Returns the number of running requests. */
    public long running() {
        return state.get() & (CLOSED - 1);
    }

    /** Refuses new requests from now on; has no further effect when called again. */
    public void close() {
        if (state.getAndUpdate(value -> value | CLOSED) == 0) {
            empty.countDown();
        }
    }

    /**
     * Waits until no request runs; the gate must be closed.
     *
     * @param timeout the longest time to wait
     * @return false if requests still run
     */
    public boolean awaitEmpty(Duration timeout) {
        try {
            return empty.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Counts a failure, and logs it unless the caller caused it, because callers could flood the
     * log.
     */
    private void recordRefusal(FuchsiaspindleException failure) {
        metrics.countRefusal(failure.code());
        if (failure.code().number() > ResultCode.JOB_LIMITED.number()) {
            LOG.info(
                    "http: request ended with an error code={} executed={} reason=\"{}\"",
                    failure.code().number(),
                    failure.executed().wireName(),
                    failure.getMessage());
        }
    }

    private void enter() {
        long before = state.getAndUpdate(value -> (value & CLOSED) == 0 ? value + 1 : value);
        if ((before & CLOSED) != 0) {
            throw new FuchsiaspindleException(
                    ResultCode.DRAINING, "this process is shutting down; use another one");
        }
    }

    private void leave(HttpServerExchange exchange, ExchangeCompletionListener.NextListener next) {
        try {
            next.proceed();
        } finally {
            // The server must not be closed before it has finished the exchange.
            if (state.decrementAndGet() == CLOSED) {
                empty.countDown();
            }
        }
    }
}
