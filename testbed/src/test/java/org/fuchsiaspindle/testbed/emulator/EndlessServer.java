package org.fuchsiaspindle.testbed.emulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server that answers each request with a start and then a filler without end, until the caller
 * closes the connection. Thread-safe.
 */
final class EndlessServer implements AutoCloseable {

    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    private final ServerSocket socket;
    private final String start;
    private final byte[] filler;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();

    private EndlessServer(ServerSocket socket, String start, byte[] filler) {
        this.socket = socket;
        this.start = start;
        this.filler = filler;
    }

    /**
     * Starts a server on a free port.
     *
     * @param ip the loopback address
     * @param start the start of each answer; {@code ID} stands for the identifier of the request
     * @param filler repeated after the start until the connection is closed
     */
    static EndlessServer start(String ip, String start, String filler) {
        try {
            ServerSocket socket = new ServerSocket(0, 50, InetAddress.getByName(ip));
            byte[] block =
                    filler.repeat(Math.max(1, 4096 / filler.length()))
                            .getBytes(StandardCharsets.UTF_8);
            EndlessServer server = new EndlessServer(socket, start, block);
            Thread.startVirtualThread(server::accept);
            return server;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Returns how many requests arrived. */
    int requests() {
        return requests.get();
    }

    /** Returns how many bytes were sent on all connections. */
    long sentBytes() {
        return sentBytes.get();
    }

    /** Returns how many answers have not been cut off. */
    int openAnswers() {
        return open.get();
    }

    /** Returns the registration of the server as a target, as JSON. */
    byte[] registration(String service, String ip) {
        return ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\",\"slots\":4,"
                        + "\"state\":\"ready\",\"born\":1}")
                .formatted(service, ip, port())
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                connection.setSendBufferSize(SEND_BUFFER_BYTES);
                Thread.startVirtualThread(() -> answer(connection));
            }
        } catch (IOException closed) {
            // The test has ended.
            return;
        }
    }

    private void answer(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.US_ASCII));
            String id = "";
            String line;
            while ((line = reader.readLine()) != null && !line.isEmpty()) {
                id = line.startsWith("Attempt-Id: ") ? line.substring(12) : id;
            }
            if (line == null) {
                return;
            }
            requests.incrementAndGet();
            open.incrementAndGet();
            sendWithoutEnd(connection.getOutputStream(), id);
        } catch (IOException cutOff) {
            open.decrementAndGet();
        }
    }

    private void sendWithoutEnd(OutputStream out, String id) throws IOException {
        out.write(start.replace("ID", id).getBytes(StandardCharsets.UTF_8));
        while (true) {
            out.write(filler);
            sentBytes.addAndGet(filler.length);
        }
    }
}
