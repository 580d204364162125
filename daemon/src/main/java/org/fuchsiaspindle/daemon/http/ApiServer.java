package org.fuchsiaspindle.daemon.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.handlers.PathHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP server that runs each request on a virtual thread.
 *
 * <p>Thread-safe. The size of a request and the time to read it are limited, so that a slow caller
 * occupies neither a platform thread nor much memory.
 */
public final class ApiServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ApiServer.class);
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MAX_HEADERS = 100;
    private static final int NO_REQUEST_TIMEOUT_MS = 60_000;
    private static final int PARSE_TIMEOUT_MS = 10_000;
    private static final int READ_TIMEOUT_MS = 30_000;
    private static final int BUFFER_BYTES = 8 * 1024;

    private final long maxBodyBytes;
    private final Undertow undertow;
    private final ExecutorService requests = Executors.newVirtualThreadPerTaskExecutor();

    private ApiServer(
            InetSocketAddress address,
            long maxBodyBytes,
            int ioThreads,
            ImmutableMap<String, HttpEndpoint> endpoints) {
        this.maxBodyBytes = maxBodyBytes;
        PathHandler paths = new PathHandler(endpoint(ApiServer::notFound));
        endpoints.forEach((prefix, endpoint) -> paths.addPrefixPath(prefix, endpoint(endpoint)));
        // Undertow compares Content-Length with the server's limit before a handler can raise it,
        // so the server allows the largest limit and each endpoint lowers it.
        long maxLimit =
                endpoints.values().stream()
                        .mapToLong(HttpEndpoint::maxBodyBytes)
                        .reduce(maxBodyBytes, Math::max);
        undertow =
                Undertow.builder()
                        .addHttpListener(address.getPort(), address.getHostString())
                        .setIoThreads(ioThreads)
                        .setWorkerThreads(1)
                        .setBufferSize(BUFFER_BYTES)
                        .setDirectBuffers(false)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxLimit)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_TIMEOUT_MS)
                        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                        .setSocketOption(org.xnio.Options.READ_TIMEOUT, READ_TIMEOUT_MS)
                        .setHandler(paths)
                        .build();
    }

    /**
     * Binds the address and starts to serve requests.
     *
     * @param address the address; port 0 chooses a free one
     * @param maxBodyBytes largest request body in bytes, for endpoints without their own limit
     * @param ioThreads number of I/O threads
     * @param endpoints endpoints by path prefix
     * @throws FuchsiaspindleException with {@code ADDRESS_IN_USE} if it cannot be bound
     */
    public static ApiServer start(
            InetSocketAddress address,
            long maxBodyBytes,
            int ioThreads,
            Map<String, HttpEndpoint> endpoints) {
        ApiServer server =
                new ApiServer(
                        checkNotNull(address, "address"),
                        maxBodyBytes,
                        ioThreads,
                        ImmutableMap.copyOf(endpoints));
        try {
            server.undertow.start();
        } catch (RuntimeException e) {
            throw new FuchsiaspindleException(
                    ResultCode.ADDRESS_IN_USE, "cannot bind HTTP address " + address, e);
        }
        return server;
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) undertow.getListenerInfo().getFirst().getAddress();
    }

    @Override
    public void close() {
        undertow.stop();
        requests.shutdown();
    }

    private HttpHandler endpoint(HttpEndpoint endpoint) {
        return exchange -> exchange.dispatch(requests, () -> run(endpoint, exchange));
    }

    private void run(HttpEndpoint endpoint, HttpServerExchange exchange) {
        try {
            long limit = endpoint.maxBodyBytes();
            exchange.setMaxEntitySize(limit > 0 ? limit : maxBodyBytes);
            exchange.startBlocking();
            endpoint.handle(exchange);
        } catch (FuchsiaspindleException e) {
            sendFailure(exchange, e);
        } catch (RequestTooBigException e) {
            sendFailure(
                    exchange,
                    new FuchsiaspindleException(ResultCode.BODY_TOO_LARGE, e.getMessage(), e));
        } catch (IOException e) {
            LOG.debug("http: caller's connection broke path={}", exchange.getRequestPath(), e);
            closeConnection(exchange);
        } catch (RuntimeException e) {
            LOG.error("http: request failed path={}", exchange.getRequestPath(), e);
            sendFailure(
                    exchange,
                    new FuchsiaspindleException(ResultCode.INTERNAL, "internal error", e));
        } finally {
            exchange.endExchange();
        }
    }

    private static void sendFailure(HttpServerExchange exchange, FuchsiaspindleException failure) {
        if (exchange.isResponseStarted()) {
            closeConnection(exchange);
        } else {
            ErrorBody.send(exchange, failure);
        }
    }

    /** Closes the connection of a failed exchange, so that no later request reuses it. */
    private static void closeConnection(HttpServerExchange exchange) {
        try {
            exchange.getConnection().close();
        } catch (IOException e) {
            LOG.debug("http: cannot close a connection", e);
        }
    }

    private static void notFound(HttpServerExchange exchange) {
        throw new FuchsiaspindleException(
                ResultCode.NOT_FOUND, "no such path: " + exchange.getRequestPath());
    }
}
