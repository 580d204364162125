package org.fuchsiaspindle.gateway.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Passes connections on to another port of the same address; open ones can be made silent, which
 * tells neither end. Thread-safe.
 */
final class SilentRelay implements AutoCloseable {

    private final ServerSocket server;
    private final String ip;
    private final int targetPort;
    private final AtomicBoolean nextSilent = new AtomicBoolean();
    private final ReentrantLock reading = new ReentrantLock();
    private final List<Connection> connections = new CopyOnWriteArrayList<>();

    private SilentRelay(ServerSocket server, String ip, int targetPort) {
        this.server = server;
        this.ip = ip;
        this.targetPort = targetPort;
    }

    static SilentRelay start(String ip, int port, int targetPort) throws IOException {
        SilentRelay relay =
                new SilentRelay(
                        new ServerSocket(port, 50, InetAddress.getByName(ip)), ip, targetPort);
        Thread.startVirtualThread(relay::accept);
        return relay;
    }

    /** Two sockets; nothing passes between silent ones, not even their end. */
    private record Connection(Socket near, Socket far, AtomicBoolean silent) {}

    /** Makes the open connections silent for good; new ones work. */
    void silenceOpenConnections() {
        connections.forEach(connection -> connection.silent().set(true));
    }

    /** Makes the next connection silent from its start. */
    void silenceNextConnection() {
        nextSilent.set(true);
    }

    /** Ends the open connections at the end that opened them; the other one is not told. */
    void closeNearEnds() {
        silenceOpenConnections();
        connections.forEach(connection -> shutDown(connection.near()));
    }

    /** Reads nothing while an action runs, so that senders can't write any more. */
    void withoutReading(Runnable action) {
        reading.lock();
        try {
            action.run();
        } finally {
            reading.unlock();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Connection connection : connections) {
            connection.near().close();
            connection.far().close();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                Socket far = new Socket(ip, targetPort);
                boolean silent = nextSilent.compareAndSet(true, false);
                Connection connection = new Connection(near, far, new AtomicBoolean(silent));
                connections.add(connection);
                Thread.startVirtualThread(() -> pass(connection, near, far));
                Thread.startVirtualThread(() -> pass(connection, far, near));
            } catch (IOException closed) {
                // The target refuses connections until it has started.
                continue;
            }
        }
    }

    private void pass(Connection connection, Socket from, Socket to) {
        try {
            transfer(connection, from.getInputStream(), to.getOutputStream());
            if (!connection.silent().get()) {
                to.close();
            }
        } catch (IOException closed) {
            if (!connection.silent().get()) {
                shutDown(to);
            }
        }
    }

    private void transfer(Connection connection, InputStream in, OutputStream out)
            throws IOException {
        byte[] buffer = new byte[8192];
        int length;
        while ((length = in.read(buffer)) >= 0) {
            // Waits while nothing is read.
            reading.lock();
            reading.unlock();
            if (!connection.silent().get()) {
                out.write(buffer, 0, length);
            }
        }
    }

    private static void shutDown(Socket socket) {
        try {
            socket.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
