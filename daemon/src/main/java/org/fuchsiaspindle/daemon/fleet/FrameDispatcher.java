package org.fuchsiaspindle.daemon.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.fuchsiaspindle.wire.transport.FleetListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Dispatches the messages of all connections to the handlers registered for them.
 *
 * <p>Thread-safe. Handlers run on I/O threads and must not block. An exception thrown by a handler
 * is logged and does not affect other handlers.
 */
public final class FrameDispatcher implements FleetListener {

    private static final Logger LOG = LoggerFactory.getLogger(FrameDispatcher.class);

    private final Map<Frame.BodyCase, BiConsumer<FleetConnection, Frame>> handlers =
            new ConcurrentHashMap<>();
    private final List<Consumer<FleetConnection>> openListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<FleetConnection>> closeListeners = new CopyOnWriteArrayList<>();

    private FrameDispatcher() {}

    /** Creates a dispatcher without handlers. */
    public static FrameDispatcher create() {
        return new FrameDispatcher();
    }

    /**
     * Registers the handler for one kind of message.
     *
     * @param body the kind, for which no handler is registered yet
     * @param handler receives the messages, not null
     */
    public void register(Frame.BodyCase body, BiConsumer<FleetConnection, Frame> handler) {
        BiConsumer<FleetConnection, Frame> previous =
                handlers.putIfAbsent(body, checkNotNull(handler, "handler"));
        checkState(previous == null, "handler already registered for %s", body);
    }

    /** Registers a listener that is called for each opened connection. */
    public void onOpened(Consumer<FleetConnection> listener) {
        openListeners.add(checkNotNull(listener, "listener"));
    }

    /** Registers a listener that is called for each closed connection. */
    public void onClosed(Consumer<FleetConnection> listener) {
        closeListeners.add(checkNotNull(listener, "listener"));
    }

    @Override
    public void onOpen(FleetConnection connection) {
        openListeners.forEach(listener -> runLoggingErrors(() -> listener.accept(connection)));
    }

    @Override
    public void onFrame(FleetConnection connection, Frame frame) {
        BiConsumer<FleetConnection, Frame> handler = handlers.get(frame.getBodyCase());
        if (handler == null) {
            LOG.debug("fleet: message without handler ignored body={}", frame.getBodyCase());
            return;
        }
        runLoggingErrors(() -> handler.accept(connection, frame));
    }

    @Override
    public void onClose(FleetConnection connection) {
        closeListeners.forEach(listener -> runLoggingErrors(() -> listener.accept(connection)));
    }

    private static void runLoggingErrors(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("fleet: message handler failed", e);
        }
    }
}
