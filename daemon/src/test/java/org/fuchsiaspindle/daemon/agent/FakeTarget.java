package org.fuchsiaspindle.daemon.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.daemon.http.ApiServer;

/**
 * A target whose streams emit a token only when the test permits it.
 *
 * <p>The prompt selects the behaviour: {@code auto} needs no permits, {@code crash} closes the
 * connection after the permitted tokens, {@code reject} is answered with status 400 and {@code
 * missing} with 404.
 */
final class FakeTarget implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY = 1024 * 1024;

    private final Map<String, Semaphore> permits = new ConcurrentHashMap<>();
    private final List<JsonNode> requests = new CopyOnWriteArrayList<>();
    private final List<JsonNode> orders = new CopyOnWriteArrayList<>();
    private final List<String> calls = new CopyOnWriteArrayList<>();
    private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
    private final ApiServer server;
    private final URI url;
    private volatile boolean failingProbes;

    FakeTarget(int port) {
        server =
                ApiServer.start(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        MAX_BODY,
                        1,
                        ImmutableMap.of(
                                "/v1/completions", this::complete,
                                "/v1/requests", this::cancel,
                                "/v1/orders", this::order,
                                "/v1/models", this::models,
                                "/v1/load", exchange -> send(exchange, "{\"waiting\":0}"),
                                "/echo", this::echo,
                                "/break", this::closeConnection));
        url = URI.create("http://127.0.0.1:" + server.address().getPort());
    }

    private static final String MODELS = "{\"data\":[{\"id\":\"m1\"}]}";

    URI url() {
        return url;
    }

    /** Requests for streams, in the order of their arrival. */
    List<JsonNode> requests() {
        return requests;
    }

    List<JsonNode> orders() {
        return orders;
    }

    List<String> calls() {
        return calls;
    }

    Set<String> cancelled() {
        return cancelled;
    }

    /** Permits a stream to emit more tokens. */
    void permit(String requestId, int tokens) {
        permitsOf(requestId).release(tokens);
    }

    /** Makes all further probes fail. */
    void failProbes() {
        failingProbes = true;
    }

    @Override
    public void close() {
        server.close();
    }

    private Semaphore permitsOf(String requestId) {
        return permits.computeIfAbsent(requestId, id -> new Semaphore(0));
    }

    private void complete(HttpServerExchange exchange) throws IOException {
        JsonNode body = JSON.readTree(exchange.getInputStream());
        requests.add(body);
        String prompt = body.path("prompt").asText();
        if (prompt.equals("reject")) {
            exchange.setStatusCode(400);
            send(exchange, "{\"error\":\"bad prompt\"}");
            return;
        }
        if (prompt.equals("missing")) {
            exchange.setStatusCode(404);
            send(exchange, "{\"error\":\"model is not loaded\"}");
            return;
        }
        String id = body.path("request_id").asText();
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream out = exchange.getOutputStream();
        int first = body.path("continue_tokens").asInt();
        int last = body.path("max_tokens").asInt();
        for (int i = first; i < last; i++) {
            if (!prompt.equals("auto") && !awaitPermit(id)) {
                return;
            }
            if (prompt.equals("crash") && i == last - 1) {
                exchange.getConnection().close();
                return;
            }
            event(out, "{\"choices\":[{\"text\":\"t" + i + " \"}],\"token_count\":1}");
        }
        event(
                out,
                "{\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}],\"token_count\":0,"
                        + "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":"
                        + last
                        + ",\"cached_tokens\":1}}");
        event(out, "[DONE]");
        out.close();
    }

    private boolean awaitPermit(String id) {
        try {
            // The timeout only ends streams that a test did not finish.
            return permitsOf(id).tryAcquire(60, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void models(HttpServerExchange exchange) {
        if (failingProbes) {
            exchange.setStatusCode(500);
        }
        send(exchange, MODELS);
    }

    private void cancel(HttpServerExchange exchange) {
        cancelled.add(exchange.getRelativePath().substring(1));
        send(exchange, "{}");
    }

    private void order(HttpServerExchange exchange) throws IOException {
        orders.add(JSON.readTree(exchange.getInputStream()));
        send(exchange, "{}");
    }

    private void echo(HttpServerExchange exchange) throws IOException {
        calls.add(exchange.getRequestURI());
        byte[] body = exchange.getInputStream().readAllBytes();
        exchange.setStatusCode(202);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getOutputStream().write(body);
    }

    private void closeConnection(HttpServerExchange exchange) throws IOException {
        calls.add(exchange.getRequestURI());
        exchange.getConnection().close();
    }

    private static void event(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void send(HttpServerExchange exchange, String text) {
        exchange.getResponseSender().send(text);
    }
}
