package org.fuchsiaspindle.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP server that records the requests of the client and returns predefined responses. */
final class StubEntry implements AutoCloseable {

    private final HttpServer server;
    private final Map<String, Response> responses = new ConcurrentHashMap<>();
    private final List<String> requests = new ArrayList<>();
    private int connectionsToDrop;

    private record Response(int status, String body) {}

    StubEntry() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String url() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    void setResponse(String methodAndPath, int status, String body) {
        responses.put(methodAndPath, new Response(status, body));
    }

    /** Closes the connections of the next {@code requestsToDrop} requests without a response. */
    synchronized void dropNext(int requestsToDrop) {
        connectionsToDrop = requestsToDrop;
    }

    synchronized List<String> requests() {
        return List.copyOf(requests);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String key = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        if (record(key + (body.isEmpty() ? "" : " " + body))) {
            exchange.close();
            return;
        }
        Response response =
                responses.getOrDefault(
                        key,
                        new Response(
                                404,
                                "{\"error\":{\"message\":\"no such path\",\"code\":\"not_found\","
                                        + "\"number\":1004}}"));
        byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized boolean record(String request) {
        requests.add(request);
        return connectionsToDrop-- > 0;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
