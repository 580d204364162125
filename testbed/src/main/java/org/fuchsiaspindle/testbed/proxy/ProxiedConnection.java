package org.fuchsiaspindle.testbed.proxy;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A connection through a {@link FaultProxy}. Thread-safe. */
public final class ProxiedConnection {

    private final Socket caller;
    private final Socket target;
    private final Consumer<ProxiedConnection> onClosed;
    private final AtomicInteger openDirections = new AtomicInteger(2);
    private final LinkFaults toTarget = new LinkFaults();
    private final LinkFaults toCaller = new LinkFaults();

    ProxiedConnection(Socket caller, Socket target, Consumer<ProxiedConnection> onClosed) {
        this.caller = caller;
        this.target = target;
        this.onClosed = onClosed;
    }

    /** Returns the faults of this connection in the direction of the target. */
    public LinkFaults toTarget() {
        return toTarget;
    }

    /** Returns the faults of this connection in the direction of the caller. */
    public LinkFaults toCaller() {
        return toCaller;
    }

    /** Closes both sockets. */
    public void close() {
        closeQuietly(caller);
        closeQuietly(target);
        onClosed.accept(this);
    }

    /** Resets both sockets. */
    public void reset() {
        for (Socket socket : new Socket[] {caller, target}) {
            try {
                // Closing with a linger time of zero sends a TCP reset.
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // The socket is already closed.
            }
        }
        close();
    }

    void start(LinkFaults allToTarget, LinkFaults allToCaller) {
        newForwarder(caller, target, ImmutableList.of(allToTarget, toTarget)).start();
        newForwarder(target, caller, ImmutableList.of(allToCaller, toCaller)).start();
    }

    private Forwarder newForwarder(Socket from, Socket to, ImmutableList<LinkFaults> faults) {
        return new Forwarder(from, to, faults, this::close, this::endDirection);
    }

    private void endDirection() {
        if (openDirections.decrementAndGet() == 0) {
            close();
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is unusable in either case.
        }
    }
}
