package fuchsiareview2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server and client on blocking sockets, enough for the stand-ins. */
final class Net {

    private Net() {}

    /** A request or the head of an answer; header names are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request; writes the whole answer to the stream. */
    interface Handler {
        /** Returns whether the channel stays open. */
        boolean handle(Message request, OutputStream out, Socket socket) throws IOException;
    }

    /** Serves requests until the server socket is closed. */
    static void serve(ServerSocket server, Handler handler) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (!server.isClosed()) {
                                try {
                                    Socket socket = server.accept();
                                    Thread.ofVirtual().start(() -> serve(socket, handler));
                                } catch (IOException failure) {
                                    return;
                                }
                            }
                        });
    }

    private static void serve(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            Message request = read(in);
            while (request != null) {
                if (!handler.handle(request, socket.getOutputStream(), socket)) {
                    return;
                }
                request = read(in);
            }
        } catch (IOException failure) {
            // The peer has closed or reset the channel.
        }
    }

    static ServerSocket listen(String ip, int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 4096);
        return server;
    }

    /** Reads a message with its body, null at the end of the channel. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = headers(in);
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            byte[] chunk = chunk(in);
            while (chunk.length > 0) {
                all.write(chunk);
                chunk = chunk(in);
            }
            body = all.toByteArray();
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0").strip());
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("the body broke off");
            }
        }
        return new Message(first, headers, body);
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    /** Reads one chunk, empty at the end of the body. */
    private static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new IOException("the body broke off");
        }
        byte[] data = in.readNBytes(Integer.parseInt(size.strip(), 16));
        line(in);
        return data;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            bytes.write(next);
            next = in.read();
        }
        if (next < 0 && bytes.size() == 0) {
            return null;
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Sends one request on a new channel and returns the whole answer. */
    static Message call(
            String ip, int port, String head, Map<String, String> headers, byte[] body, int millis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setSoTimeout(millis);
            OutputStream out = socket.getOutputStream();
            StringBuilder text = new StringBuilder(head).append(" HTTP/1.1\r\n");
            headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
            if (body.length > 0) {
                text.append("Content-Length: " + body.length + "\r\n");
            }
            out.write(text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream(), 1 << 16));
            if (answer == null) {
                throw new IOException("the channel was closed without an answer");
            }
            return answer;
        }
    }

    static void answer(OutputStream out, int status, String headers, byte[] body)
            throws IOException {
        String head =
                "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length;
        byte[] start = (head + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[start.length + body.length];
        System.arraycopy(start, 0, whole, 0, start.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        out.write(whole);
        out.flush();
    }
}
