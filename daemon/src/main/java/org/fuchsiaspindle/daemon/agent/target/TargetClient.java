package org.fuchsiaspindle.daemon.agent.target;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.time.Clock;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Sends requests to one target over HTTP with a single I/O thread.
 *
 * <p>Thread-safe and non-blocking. A connection is reused only after a complete exchange and within
 * a short idle time: if a target closed an idle connection while a request was being sent on it,
 * the outcome of that request would be unknown.
 */
public final class TargetClient implements AutoCloseable {

    private static final Duration MAX_IDLE = Duration.ofSeconds(2);
    private static final int MAX_IDLE_CONNECTIONS = 64;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final URI base;
    private final Clock clock;
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final ByteBuffer readBuffer = ByteBuffer.allocate(BUFFER_BYTES);
    private final Deque<IdleConnection> idle = new ArrayDeque<>();

    private record IdleConnection(ClientConnection connection, long sinceNanos) {}

    private TargetClient(URI base, Clock clock, XnioWorker worker) {
        this.base = base;
        this.clock = clock;
        this.worker = worker;
        this.ioThread = worker.getIoThread();
    }

    /**
     * Creates a client with its I/O thread.
     *
     * @param base base URL of the target, not null
     * @param clock measures the idle time of connections, not null
     */
    public static TargetClient create(URI base, Clock clock) {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, "target-client")
                        .getMap();
        try {
            return new TargetClient(
                    checkNotNull(base, "base"),
                    checkNotNull(clock, "clock"),
                    Xnio.getInstance().createWorker(options));
        } catch (IOException e) {
            throw new IllegalStateException("cannot create an I/O thread", e);
        }
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
     * @param result receives true if the connection was accepted; called on the I/O thread
     */
    public void probe(Consumer<Boolean> result) {
        execute(
                () ->
                        connect(
                                new ClientCallback<>() {
                                    @Override
                                    public void completed(ClientConnection connection) {
                                        IoUtils.safeClose(connection);
                                        result.accept(true);
                                    }

                                    @Override
                                    public void failed(IOException e) {
                                        result.accept(false);
                                    }
                                }));
    }

    /** Closes the idle connections, for example after the target was lost. */
    public void closeIdle() {
        execute(
                () -> {
                    idle.forEach(idleConnection -> IoUtils.safeClose(idleConnection.connection()));
                    idle.clear();
                });
    }

    @Override
    public void close() {
        closeIdle();
        worker.shutdown();
    }

    void execute(Runnable task) {
        try {
            ioThread.execute(task);
        } catch (RejectedExecutionException e) {
            // The client is closed; its exchanges get no further events.
        }
    }

    String host() {
        return base.getAuthority();
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    void release(ClientConnection connection) {
        if (!connection.isOpen() || idle.size() >= MAX_IDLE_CONNECTIONS) {
            IoUtils.safeClose(connection);
            return;
        }
        idle.push(new IdleConnection(connection, clock.nanoTime()));
    }

    private void open(TargetExchange exchange) {
        if (exchange.isClosed()) {
            return;
        }
        ClientConnection reusable = takeIdle();
        if (reusable != null) {
            exchange.start(reusable);
            return;
        }
        connect(
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection connection) {
                        if (exchange.isClosed()) {
                            IoUtils.safeClose(connection);
                        } else {
                            exchange.start(connection);
                        }
                    }

                    @Override
                    public void failed(IOException e) {
                        exchange.fail(e);
                    }
                });
    }

    private void connect(ClientCallback<ClientConnection> callback) {
        UndertowClient.getInstance()
                .connect(
                        callback,
                        base,
                        ioThread,
                        buffers,
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    private ClientConnection takeIdle() {
        long now = clock.nanoTime();
        IdleConnection idleConnection = idle.poll();
        while (idleConnection != null) {
            if (idleConnection.connection().isOpen()
                    && now - idleConnection.sinceNanos() < MAX_IDLE.toNanos()) {
                return idleConnection.connection();
            }
            IoUtils.safeClose(idleConnection.connection());
            idleConnection = idle.poll();
        }
        return null;
    }
}
