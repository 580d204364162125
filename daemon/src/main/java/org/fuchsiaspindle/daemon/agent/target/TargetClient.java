package org.fuchsiaspindle.daemon.agent.target;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.fuchsiaspindle.wire.transport.EventLoops;

/**
 * Sends requests to one target over HTTP with a single event loop.
 *
 * <p>Thread-safe and non-blocking. Each connection carries one request: the responses of these
 * targets do not name the request that they belong to, so a duplicate or late response on a
 * connection that is used again could not be told from that of the next request.
 */
public final class TargetClient implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);
    private static final int DEFAULT_PORT = 80;

    private final URI base;
    private final HostAndPort address;
    private final EventLoopGroup group;
    private final EventLoop loop;

    private TargetClient(URI base) {
        this.base = base;
        this.address = HostAndPort.fromString(base.getRawAuthority()).withDefaultPort(DEFAULT_PORT);
        this.group = EventLoops.create(1, new DefaultThreadFactory("target-client", true));
        this.loop = group.next();
    }

    /**
     * Creates a client with its event loop.
     *
     * @param base base URL of the target, not null
     */
    public static TargetClient create(URI base) {
        return new TargetClient(checkNotNull(base, "base"));
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @param listener receives the events, not null
     * @return the exchange, which can be aborted
     */
    public TargetExchange send(TargetRequest request, ResponseListener listener) {
        TargetExchange exchange =
                new TargetExchange(
                        this, checkNotNull(request, "request"), checkNotNull(listener, "listener"));
        execute(() -> open(exchange));
        return exchange;
    }

    /**
     * Checks that the target accepts connections, by opening and closing one.
     *
     * @param result receives true if the connection was accepted; called on the event loop
     */
    public void probe(Consumer<Boolean> result) {
        execute(
                () ->
                        connect(
                                connection -> {
                                    connection.close();
                                    result.accept(true);
                                },
                                failure -> result.accept(false)));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    void execute(Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            // The client is closed; its exchanges get no further events.
        }
    }

    String host() {
        return base.getAuthority();
    }

    private void open(TargetExchange exchange) {
        if (exchange.isClosed()) {
            return;
        }
        connect(
                connection -> {
                    if (exchange.isClosed() || !connection.isIdle()) {
                        connection.close();
                        exchange.fail(new IOException("connection closed by the target"));
                    } else {
                        exchange.start(connection);
                    }
                },
                failure -> exchange.fail(new IOException("no connection to the target", failure)));
    }

    private void connect(
            Consumer<HttpConnection> openListener, Consumer<Throwable> failureListener) {
        HttpConnection.open(loop, address, CONNECT_TIMEOUT, openListener, failureListener);
    }
}
