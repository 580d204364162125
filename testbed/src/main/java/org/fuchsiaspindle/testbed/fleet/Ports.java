package org.fuchsiaspindle.testbed.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Allocates loopback ports for processes that are given their ports at start-up.
 *
 * <p>Ports are allocated in blocks below the operating system's ephemeral port range. A block
 * belongs to the JVM that listens on its first port, so concurrent JVMs that use this class never
 * allocate the same port. Thread-safe.
 */
public final class Ports {

    private static final InetAddress LOOPBACK = InetAddress.ofLiteral("127.0.0.1");
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 31_999;
    private static final int BLOCK_SIZE = 200;

    private static final Deque<Integer> FREE_PORTS = new ArrayDeque<>();

    // Never closed: the blocks are released when the JVM exits.
    private static final List<ServerSocket> BLOCK_LOCKS = new ArrayList<>();

    private Ports() {}

    /** Returns a free port and reserves it until it is released. */
    public static synchronized int allocate() {
        while (true) {
            if (FREE_PORTS.isEmpty()) {
                claimBlock();
            }
            int port = FREE_PORTS.remove();
            if (isFree(port)) {
                return port;
            }
        }
    }

    /** Releases a port whose listener is closed; it is reused as late as possible. */
    public static synchronized void release(int port) {
        if (port >= FIRST_PORT && port <= LAST_PORT) {
            FREE_PORTS.add(port);
        }
    }

    /** Returns the loopback socket address of a port. */
    public static InetSocketAddress address(int port) {
        return new InetSocketAddress(LOOPBACK, port);
    }

    private static void claimBlock() {
        for (int first = FIRST_PORT; first + BLOCK_SIZE - 1 <= LAST_PORT; first += BLOCK_SIZE) {
            try {
                BLOCK_LOCKS.add(new ServerSocket(first, 1, LOOPBACK));
            } catch (IOException e) {
                // This JVM or another one owns the block.
                continue;
            }
            for (int port = first + 1; port < first + BLOCK_SIZE; port++) {
                FREE_PORTS.add(port);
            }
            return;
        }
        throw new IllegalStateException(
                "no free block of ports between " + FIRST_PORT + " and " + LAST_PORT);
    }

    /**
     * Returns whether no process listens on a port. Processes that do not use this class may listen
     * on any port.
     */
    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, LOOPBACK)) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
