package org.fuchsiaspindle.testbed.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/** An HTTP server on a loopback address; each request runs on a virtual thread. Thread-safe. */
public final class StandInServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(StandInServer.class);
    private static final String LOOPBACK = "127.0.0.1";
    private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int IO_THREADS = 2;

    private final Undertow undertow;
    private final Handler handler;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final ExecutorService requests = Executors.newVirtualThreadPerTaskExecutor();

    /** Handles requests. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Handles one request; the exchange is in blocking mode. An exception closes the connection
         * without a response.
         */
        void handle(HttpServerExchange exchange) throws IOException;
    }

    private StandInServer(int port, Handler handler) {
        this.handler = handler;
        undertow =
                Undertow.builder()
                        .addHttpListener(port, LOOPBACK)
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(1)
                        .setBufferSize(BUFFER_BYTES)
                        .setDirectBuffers(true)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setHandler(exchange -> exchange.dispatch(requests, () -> run(exchange)))
                        .build();
    }

    /**
     * Starts a server.
     *
     * @param port the port, 0 for a free port
     * @param handler handles all requests
     */
    public static StandInServer start(int port, Handler handler) {
        StandInServer server = new StandInServer(port, checkNotNull(handler, "handler"));
        server.undertow.start();
        return server;
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) undertow.getListenerInfo().getFirst().getAddress();
    }

    /** Returns the base URL. */
    public URI url() {
        return URI.create("http://" + LOOPBACK + ":" + address().getPort());
    }

    /** Closes all connections that have sent a request, as a process crash does. */
    public void closeConnections() {
        connections.forEach(IoUtils::safeClose);
    }

    @Override
    public void close() {
        closeConnections();
        undertow.stop();
        requests.shutdownNow();
    }

    private void run(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (connections.add(connection)) {
            connection.addCloseListener(connections::remove);
        }
        try {
            exchange.startBlocking();
            handler.handle(exchange);
            // Only here: ending the exchange after a failure could complete its response before the
            // connection is closed.
            exchange.endExchange();
        } catch (IOException e) {
            LOG.debug("http: connection to a stand-in failed", e);
            IoUtils.safeClose(connection);
        } catch (RuntimeException e) {
            LOG.error("http: handler of a stand-in failed path={}", exchange.getRequestPath(), e);
            IoUtils.safeClose(connection);
        }
    }
}
