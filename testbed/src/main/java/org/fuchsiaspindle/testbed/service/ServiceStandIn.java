package org.fuchsiaspindle.testbed.service;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaspindle.testbed.http.Response;
import org.fuchsiaspindle.testbed.http.StandInServer;
import org.fuchsiaspindle.testbed.ledger.ServiceLedger;
import org.fuchsiaspindle.testbed.ledger.ServiceLedger.ServiceCall;
import org.xnio.IoUtils;

/**
 * A simulated plain service with a repeatable call, {@code GET /status/{id}}, and a non-repeatable
 * one, {@code POST /orders}, of which each execution creates another order. Thread-safe.
 */
public final class ServiceStandIn implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String STATUS = "/status/";
    private static final String ORDERS = "/orders";
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;

    private final String name;
    private final ServiceLedger ledger;
    private final AtomicLong callNumbers = new AtomicLong();
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private final StandInServer server;
    private volatile Duration delay = Duration.ZERO;

    private ServiceStandIn(int port, String name, ServiceLedger ledger) {
        this.name = name;
        this.ledger = ledger;
        server = StandInServer.start(port, this::handle);
    }

    /**
     * Starts the service.
     *
     * @param port the port, 0 for a free port
     * @param name the service's name
     * @param ledger records all executed calls
     */
    public static ServiceStandIn start(int port, String name, ServiceLedger ledger) {
        return new ServiceStandIn(port, name, ledger);
    }

    /** Sets the delay of all responses; calls are executed before the delay. */
    public void setDelay(Duration value) {
        checkArgument(!value.isNegative(), "negative delay: %s", value);
        delay = value;
    }

    /** Executes the next {@code count} calls but closes their connections without a response. */
    public void dropNextResponses(int count) {
        responsesToDrop.set(count);
    }

    /** Closes all connections, as a process crash does. */
    public void closeConnections() {
        server.closeConnections();
    }

    /** Returns the base URL. */
    public URI url() {
        return server.url();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        String method = exchange.getRequestMethod().toString();
        String path = exchange.getRequestPath();
        String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        boolean status = method.equals("GET") && path.startsWith(STATUS);
        boolean order = method.equals("POST") && path.equals(ORDERS);
        if (!status && !order) {
            Response.text(NOT_FOUND, "no such path\n").send(exchange);
            return;
        }
        long number = callNumbers.incrementAndGet();
        ledger.add(new ServiceCall(name, method, path, body, number, System.nanoTime()));
        pause();
        if (responsesToDrop.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        Response response =
                status
                        ? Response.json(
                                OK,
                                JSON.createObjectNode()
                                        .put("id", path.substring(STATUS.length()))
                                        .put("status", "open"))
                        : Response.json(
                                CREATED,
                                JSON.createObjectNode().put("order", number).put("request", body));
        response.send(exchange);
    }

    private void pause() throws IOException {
        try {
            Thread.sleep(delay);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while the service was closing", e);
        }
    }
}
