package org.fuchsiaspindle.testbed.emulator;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An HTTP/1.1 server with one thread per connection, whose handlers write raw bytes.
 *
 * <p>Handlers control every byte of a response, so they can reproduce the protocol violations of
 * faulty targets and stores. Thread-safe.
 */
final class BlockingHttpServer implements AutoCloseable {

    private static final int MAX_LINE_BYTES = 64 * 1024;

    private volatile ServerSocket listener;
    private final Handler handler;
    private final Map<Socket, Connection> connections = new ConcurrentHashMap<>();
    private volatile boolean paused;

    /** Handles the requests of a connection in sequence. */
    @FunctionalInterface
    interface Handler {

        /**
         * Receives a request whose body has not been read, and may respond to it.
         *
         * @return whether the request is answered; its body is then read and ignored
         */
        default boolean handleHead(Request head, Connection connection) throws IOException {
            return false;
        }

        /** Responds to a request; returns whether the connection stays open. */
        boolean handle(Request request, Connection connection) throws IOException;
    }

    /** A request with its complete body. */
    record Request(String method, String uri, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String path() {
            int queryStart = uri.indexOf('?');
            return queryStart < 0 ? uri : uri.substring(0, queryStart);
        }

        /** Returns a query parameter, or an empty string if it is missing. */
        String parameter(String name) {
            int queryStart = uri.indexOf('?');
            if (queryStart < 0) {
                return "";
            }
            for (String pair : uri.substring(queryStart + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(
                            pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }
    }

    /** The response side of a connection. */
    static final class Connection {

        private final Socket socket;
        private final OutputStream out;
        private volatile boolean silent;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        private void write(byte[] bytes) throws IOException {
            if (!silent) {
                out.write(bytes);
                out.flush();
            }
        }

        void respond(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            String head =
                    "HTTP/1.1 "
                            + status
                            + " X\r\n"
                            + headers
                            + "Content-Length: "
                            + body.length
                            + "\r\n\r\n";
            bytes.writeBytes(head.getBytes(StandardCharsets.UTF_8));
            bytes.writeBytes(body);
            write(bytes.toByteArray());
        }

        /** Writes one chunk of a chunked body. */
        void chunk(String text) throws IOException {
            int length = text.getBytes(StandardCharsets.UTF_8).length;
            write(Integer.toHexString(length) + "\r\n" + text + "\r\n");
        }

        /** Makes closing the connection send a TCP reset. */
        void resetOnClose() throws IOException {
            socket.setSoLinger(true, 0);
        }

        /** Returns whether the client has closed the connection; blocks for at most 1 ms. */
        boolean isClosedByPeer() {
            if (silent) {
                return socket.isClosed();
            }
            try {
                socket.setSoTimeout(1);
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException stillOpen) {
                return false;
            } catch (IOException closed) {
                return true;
            } finally {
                try {
                    socket.setSoTimeout(0);
                } catch (IOException closed) {
                    connectionEnded();
                }
            }
        }

        private void connectionEnded() {
            // The next read or write reports the end of the connection.
        }
    }

    private BlockingHttpServer(ServerSocket listener, Handler handler) {
        this.listener = listener;
        this.handler = handler;
    }

    /** Starts a server on an address; port 0 selects a free port. */
    static BlockingHttpServer start(String ip, int port, Handler handler) {
        try {
            BlockingHttpServer server = new BlockingHttpServer(listen(ip, port), handler);
            Thread.startVirtualThread(server::accept);
            return server;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static ServerSocket listen(String ip, int port) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
        return listener;
    }

    /** Listens again at the same address after {@link #close}. */
    void reopen() {
        try {
            listener = listen(listener.getInetAddress().getHostAddress(), listener.getLocalPort());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /**
     * Sets whether the server is paused. A paused server accepts connections but does not respond
     * to requests.
     */
    void setPaused(boolean newPaused) {
        paused = newPaused;
    }

    boolean isPaused() {
        return paused;
    }

    /**
     * Makes open connections silent for good: nothing passes on them any more in either direction,
     * and nobody is told. New connections work.
     *
     * @param share the share of the open connections, from 0 to 1
     * @return how many connections are silent now that were not before
     */
    int silenceConnections(double share) {
        List<Connection> open =
                connections.values().stream().filter(connection -> !connection.silent).toList();
        int count = (int) Math.ceil(open.size() * share);
        open.subList(0, count).forEach(connection -> connection.silent = true);
        return count;
    }

    /** Resets all open connections. */
    void resetConnections() {
        for (Socket socket : connections.keySet()) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException alreadyClosed) {
                // The thread that serves the connection has closed the socket.
                continue;
            }
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        resetConnections();
    }

    private void accept() {
        ServerSocket openListener = listener;
        while (!openListener.isClosed()) {
            try {
                Socket socket = openListener.accept();
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(socket);
                connections.put(socket, connection);
                Thread.startVirtualThread(() -> serve(socket, connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, Connection connection) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Request request;
            while ((request = readHead(in)) != null) {
                if (connection.silent) {
                    continue;
                }
                boolean answered = handler.handleHead(request, connection);
                request = readBody(request, in);
                waitWhilePaused(socket);
                if (!answered && !handler.handle(request, connection)) {
                    return;
                }
            }
        } catch (IOException closedByPeer) {
            // Clients may close their connections at any time.
            return;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(socket);
        }
    }

    private void waitWhilePaused(Socket socket) throws InterruptedException {
        while (paused && !socket.isClosed()) {
            Thread.sleep(5);
        }
    }

    /** Returns the next request without its body, or null at the end of the connection. */
    private static Request readHead(InputStream in) throws IOException {
        String requestLine = readLine(in);
        if (requestLine == null) {
            return null;
        }
        String[] parts = requestLine.split(" ");
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        return new Request(parts[0], parts[1], headers, new byte[0]);
    }

    private static Request readBody(Request head, InputStream in) throws IOException {
        int length = Integer.parseInt(head.headers().getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        return new Request(head.method(), head.uri(), head.headers(), body);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                return line.toString(StandardCharsets.UTF_8).stripTrailing();
            }
            line.write(next);
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("line exceeds " + MAX_LINE_BYTES + " bytes");
            }
        }
        return null;
    }
}
