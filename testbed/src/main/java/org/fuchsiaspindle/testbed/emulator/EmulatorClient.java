package org.fuchsiaspindle.testbed.emulator;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 client of a gateway that opens a connection per request. Thread-safe. */
public final class EmulatorClient {

    private static final int TIMEOUT_MILLIS = 15_000;

    private final String ip;
    private final int port;
    private final String host;

    private EmulatorClient(String ip, int port, String host) {
        this.ip = ip;
        this.port = port;
        this.host = host;
    }

    /** Returns a client of the gateway at an address; {@code host} is sent in the Host header. */
    public static EmulatorClient of(String ip, int port, String host) {
        return new EmulatorClient(ip, port, host);
    }

    /**
     * A response as received by the client.
     *
     * @param status the HTTP status, or 0 if the connection was closed before a response
     * @param headers the headers, with case-insensitive names
     * @param body the body, with chunked encoding removed
     * @param complete whether the body was received completely, as determined by its length or its
     *     last chunk
     */
    public record Response(
            int status, Map<String, String> headers, String body, boolean complete) {}

    /** Sends a request and reads the response. */
    public Response call(String method, String path, Map<String, String> headers, String body)
            throws IOException {
        try (Socket socket = open(method, path, headers, body)) {
            return read(new BufferedInputStream(socket.getInputStream()), !method.equals("HEAD"));
        }
    }

    /** Sends a request and returns the connection without reading the response. */
    public Socket open(String method, String path, Map<String, String> headers, String body)
            throws IOException {
        Socket socket = new Socket(ip, port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        StringBuilder head =
                new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        head.append("Content-Length: " + bytes.length + "\r\n\r\n");
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
        request.writeBytes(bytes);
        socket.getOutputStream().write(request.toByteArray());
        socket.getOutputStream().flush();
        return socket;
    }

    /** Reads one response from a connection; it is not the response to HEAD. */
    public static Response read(InputStream in) throws IOException {
        return read(in, true);
    }

    private static Response read(InputStream in, boolean hasBody) throws IOException {
        String statusLine = readLine(in);
        if (statusLine.isEmpty()) {
            return new Response(0, Map.of(), "", false);
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line;
        while (!(line = readLine(in)).isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = !hasBody || readBody(in, headers, body);
        return new Response(status, headers, body.toString(StandardCharsets.UTF_8), complete);
    }

    private static boolean readBody(
            InputStream in, Map<String, String> headers, ByteArrayOutputStream body)
            throws IOException {
        if (headers.containsKey("Content-Length")) {
            int length = Integer.parseInt(headers.get("Content-Length"));
            body.writeBytes(in.readNBytes(length));
            return body.size() == length;
        }
        while (true) {
            String chunkSize = readLine(in);
            if (chunkSize.isEmpty()) {
                return false;
            }
            int length = Integer.parseInt(chunkSize, 16);
            byte[] chunk = in.readNBytes(length);
            body.writeBytes(chunk);
            readLine(in);
            if (length == 0) {
                return true;
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        try {
            int next;
            while ((next = in.read()) >= 0 && next != '\n') {
                line.write(next);
            }
        } catch (java.net.SocketException reset) {
            return "";
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }
}
