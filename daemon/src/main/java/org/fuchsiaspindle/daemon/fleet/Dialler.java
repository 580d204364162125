package org.fuchsiaspindle.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.fuchsiaspindle.wire.transport.FleetListener;

/** Opens connections to other processes, in production through the fleet transport. Thread-safe. */
@FunctionalInterface
public interface Dialler {

    /**
     * Opens a connection without blocking.
     *
     * @param address the other process's address
     * @param listener receives the connection's events
     * @return a future that completes after the handshake, or exceptionally if the handshake fails
     */
    CompletableFuture<FleetConnection> connect(InetSocketAddress address, FleetListener listener);
}
