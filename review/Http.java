package standins;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 for the stand-ins: a server with one thread a connection, and a client. */
public final class Http {

    private Http() {}

    public static final class Request {
        public String method;
        public String uri;
        public final Map<String, String> headers = new HashMap<>();
        public byte[] body = new byte[0];

        public String path() {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        public String parameter(String name) {
            int query = uri.indexOf('?');
            if (query >= 0) {
                for (String pair : uri.substring(query + 1).split("&")) {
                    int equals = pair.indexOf('=');
                    if (equals > 0 && pair.substring(0, equals).equals(name)) {
                        return URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }
    }

    public static final class Response {
        public int status;
        public final Map<String, String> headers = new LinkedHashMap<>();
        public byte[] body = new byte[0];

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One accepted connection. */
    public static final class Connection {
        public final Socket socket;
        final BufferedInputStream in;
        public final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 65536);
            this.out = socket.getOutputStream();
        }

        public void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        public void respond(int status, String headers, byte[] body) throws IOException {
            byte[] head = ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8);
            byte[] all = new byte[head.length + body.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            out.write(all);
            out.flush();
        }

        /** Whether the peer has closed; reads nothing of a next request. */
        public boolean isClosedByPeer() {
            try {
                if (in.available() > 0) {
                    return false;
                }
                socket.setSoTimeout(1);
                in.mark(1);
                int next = in.read();
                if (next >= 0) {
                    in.reset();
                }
                return next < 0;
            } catch (java.net.SocketTimeoutException quiet) {
                return false;
            } catch (IOException reset) {
                return true;
            } finally {
                try {
                    socket.setSoTimeout(0);
                } catch (IOException ignored) {
                    // Closed.
                }
            }
        }
    }

    @FunctionalInterface
    public interface Handler {
        /** Answers a request; returns whether the connection stays open. */
        boolean handle(Request request, Connection connection) throws Exception;
    }

    public static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        public Server(String ip, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(ip, port), 512);
            Thread.ofVirtual().start(() -> {
                while (!listener.isClosed()) {
                    try {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        sockets.add(socket);
                        Thread.ofVirtual().start(() -> serve(socket, handler));
                    } catch (IOException closed) {
                        // Checked by the loop.
                    }
                }
            });
        }

        public int port() {
            return listener.getLocalPort();
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                Connection connection = new Connection(socket);
                Request request;
                while ((request = readRequest(connection.in)) != null) {
                    if (!handler.handle(request, connection)) {
                        break;
                    }
                }
            } catch (Exception closed) {
                // The peer has gone.
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException closed) {
                    // It was closed meanwhile.
                }
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) >= 0 && c != '\n') {
            if (c != '\r') {
                out.write(c);
            }
        }
        return c < 0 && out.size() == 0 ? null : out.toString(StandardCharsets.UTF_8);
    }

    private static Request readRequest(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        Request request = new Request();
        String[] words = first.split(" ");
        request.method = words[0];
        request.uri = words[1];
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers, false);
        return request;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        String line;
        while ((line = line(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean toEnd) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("broken off");
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length) {
                    throw new IOException("broken off");
                }
                out.write(chunk);
                line(in);
                if (length == 0) {
                    return out.toByteArray();
                }
            }
        }
        String length = headers.get("content-length");
        if (length != null) {
            int bytes = Integer.parseInt(length);
            byte[] body = in.readNBytes(bytes);
            if (body.length < bytes) {
                throw new IOException("broken off");
            }
            return body;
        }
        return toEnd ? in.readAllBytes() : new byte[0];
    }

    /** Sends one request on a new channel; throws if there is no complete answer. */
    public static Response call(String ip, int port, String method, String uri, Map<String, String> headers, byte[] body,
            int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), Math.min(1000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.UTF_8));
            out.write(body);
            out.flush();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            String first = line(in);
            if (first == null) {
                throw new IOException("closed without an answer");
            }
            Response response = new Response();
            response.status = Integer.parseInt(first.split(" ")[1]);
            readHeaders(in, response.headers);
            response.body = readBody(in, response.headers, true);
            return response;
        }
    }
}
