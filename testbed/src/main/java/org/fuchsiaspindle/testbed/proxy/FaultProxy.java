package org.fuchsiaspindle.testbed.proxy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy on a loopback address that injects faults. Faults can be set for all connections and
 * for individual connections; both are applied. Thread-safe.
 *
 * <p>The proxy accepts a connection before it connects to the target. If the target is unreachable,
 * the caller's connection is therefore accepted and then reset.
 */
public final class FaultProxy implements AutoCloseable {

    private static final int BACKLOG = 512;
    private static final int CONNECT_TIMEOUT_MILLIS = 5000;
    private static final InetAddress LOOPBACK = InetAddress.ofLiteral("127.0.0.1");

    private final ServerSocket listener;
    private final LinkFaults toTarget = new LinkFaults();
    private final LinkFaults toCaller = new LinkFaults();
    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong accepted = new AtomicLong();
    private volatile InetSocketAddress target;
    private volatile boolean refusing;
    private volatile boolean closed;

    private FaultProxy(ServerSocket listener, InetSocketAddress target) {
        this.listener = listener;
        this.target = target;
    }

    /**
     * Starts a proxy on a free port.
     *
     * @param target the address that it forwards connections to
     */
    public static FaultProxy start(InetSocketAddress target) {
        return start(0, target);
    }

    /**
     * Starts a proxy.
     *
     * @param port the port, 0 for a free port
     * @param target the address that it forwards connections to
     */
    public static FaultProxy start(int port, InetSocketAddress target) {
        return start(new InetSocketAddress(LOOPBACK, port), target);
    }

    /**
     * Starts a proxy.
     *
     * @param address the loopback address on which it accepts connections
     * @param target the address that it forwards connections to
     */
    public static FaultProxy start(InetSocketAddress address, InetSocketAddress target) {
        try {
            FaultProxy proxy =
                    new FaultProxy(
                            new ServerSocket(address.getPort(), BACKLOG, address.getAddress()),
                            checkNotNull(target, "target"));
            Thread.ofVirtual().name("proxy-accept").start(proxy::accept);
            return proxy;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts a proxy in front of an HTTP server. */
    public static FaultProxy start(URI target) {
        return start(
                new InetSocketAddress(InetAddress.ofLiteral(target.getHost()), target.getPort()));
    }

    /** Returns the address on which the proxy accepts connections. */
    public InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    /** Returns the address as an HTTP URL. */
    public URI url() {
        String host = listener.getInetAddress().getHostAddress();
        return URI.create("http://" + host + ":" + listener.getLocalPort());
    }

    /** Returns the faults that apply to all connections in the direction of the target. */
    public LinkFaults toTarget() {
        return toTarget;
    }

    /** Returns the faults that apply to all connections in the direction of the caller. */
    public LinkFaults toCaller() {
        return toCaller;
    }

    /** Returns the open connections. */
    public ImmutableList<ProxiedConnection> connections() {
        return ImmutableList.copyOf(connections);
    }

    /** Returns the number of connections that were accepted since the start. */
    public long accepted() {
        return accepted.get();
    }

    /** Sets the target of new connections. */
    public void setTarget(InetSocketAddress value) {
        target = checkNotNull(value, "target");
    }

    /** Sets whether new connections are reset immediately. */
    public void setRefusing(boolean value) {
        refusing = value;
    }

    /** Resets all open connections. */
    public void resetConnections() {
        connections().forEach(ProxiedConnection::reset);
    }

    /**
     * Clears all faults of all connections. A connection that has lost bytes still forwards nothing
     * in the affected direction.
     */
    public void clear() {
        refusing = false;
        toTarget.clear();
        toCaller.clear();
        for (ProxiedConnection connection : connections) {
            connection.toTarget().clear();
            connection.toCaller().clear();
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            connections().forEach(ProxiedConnection::close);
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket caller = listener.accept();
                accepted.incrementAndGet();
                Thread.ofVirtual().name("proxy-connect").start(() -> connect(caller));
            } catch (IOException e) {
                // Either the listener was closed or a caller aborted its connection; the loop
                // condition distinguishes the two.
                Thread.yield();
            }
        }
    }

    private void connect(Socket caller) {
        Socket targetSocket = new Socket();
        ProxiedConnection connection =
                new ProxiedConnection(caller, targetSocket, connections::remove);
        connections.add(connection);
        try {
            if (refusing || closed) {
                connection.reset();
                return;
            }
            caller.setTcpNoDelay(true);
            targetSocket.setTcpNoDelay(true);
            targetSocket.connect(target, CONNECT_TIMEOUT_MILLIS);
            connection.start(toTarget, toCaller);
        } catch (IOException e) {
            connection.reset();
        }
    }
}
