package org.fuchsiaspindle.testbed.port;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Hands out loopback ports for processes that are told their ports in advance.
 *
 * <p>Ports come in blocks below the range from which the system takes ports for outgoing
 * connections. A block belongs to this JVM as long as it listens on the block's first port, so
 * several JVMs that use this class never choose the same port. Thread-safe.
 */
public final class Ports {

    private static final InetAddress LOOPBACK = InetAddress.ofLiteral("127.0.0.1");
    private static final int FIRST = 12_000;
    private static final int LAST = 31_999;
    private static final int BLOCK = 200;

    private static final Deque<Integer> FREE = new ArrayDeque<>();

    // Closed only by the end of the JVM, which releases the blocks.
    private static final List<ServerSocket> GUARDS = new ArrayList<>();

    private Ports() {}

    /** Returns a port that nobody else gets until it is given back. */
    public static synchronized int take() {
        while (true) {
            if (FREE.isEmpty()) {
                claimBlock();
            }
            int port = FREE.remove();
            if (isFree(port)) {
                return port;
            }
        }
    }

    /** Gives back a port whose listener was closed; it is handed out again as late as possible. */
    public static synchronized void giveBack(int port) {
        if (port >= FIRST && port <= LAST) {
            FREE.add(port);
        }
    }

    /** Returns the loopback address with a port. */
    public static InetSocketAddress address(int port) {
        return new InetSocketAddress(LOOPBACK, port);
    }

    private static void claimBlock() {
        for (int first = FIRST; first + BLOCK - 1 <= LAST; first += BLOCK) {
            try {
                GUARDS.add(new ServerSocket(first, 1, LOOPBACK));
            } catch (IOException e) {
                // Another JVM, or this one, holds the block.
                continue;
            }
            for (int port = first + 1; port < first + BLOCK; port++) {
                FREE.add(port);
            }
            return;
        }
        throw new IllegalStateException("no free block of ports from " + FIRST + " to " + LAST);
    }

    /** Skips ports that a program without this convention listens on. */
    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, LOOPBACK)) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
