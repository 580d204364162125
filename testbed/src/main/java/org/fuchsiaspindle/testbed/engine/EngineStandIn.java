package org.fuchsiaspindle.testbed.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.testbed.engine.EngineModels.Outcome;
import org.fuchsiaspindle.testbed.http.Response;
import org.fuchsiaspindle.testbed.http.StandInServer;
import org.fuchsiaspindle.testbed.ledger.EngineLedger;
import org.fuchsiaspindle.testbed.ledger.EngineRun;
import org.xnio.IoUtils;

/** A simulated model engine that serves the engine protocol over HTTP. Thread-safe. */
public final class EngineStandIn implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String COMPLETIONS = "/v1/completions";
    private static final String CHAT = "/v1/chat/completions";
    private static final String REQUESTS = "/v1/requests/";
    private static final String KV = "/v1/kv/";
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int MALFORMED = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;

    private final EngineSettings settings;
    private final EngineLedger ledger;
    private final PrefixCache cache;
    private final EngineModels models;
    private final EngineLoop loop;
    private final StandInServer server;
    private final ScheduledExecutorService timer =
            new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().factory());
    private volatile EngineLoop.Load sampledLoad = new EngineLoop.Load(0, 0, 0);
    private volatile EngineLoop.Load publishedLoad = sampledLoad;
    private volatile boolean down;

    private EngineStandIn(EngineSettings settings, EngineLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
        cache =
                new PrefixCache(
                        settings.cacheBlocks(),
                        settings.cacheEventDelay(),
                        settings.cacheEventLoss(),
                        new Random(settings.name().hashCode()));
        models = new EngineModels(settings, ledger);
        loop = new EngineLoop(settings, cache, () -> crash(settings.crashDowntime()));
        server = StandInServer.start(settings.port(), this::handle);
    }

    /**
     * Starts an engine.
     *
     * @param settings the settings
     * @param ledger records all runs and orders
     */
    public static EngineStandIn start(EngineSettings settings, EngineLedger ledger) {
        EngineStandIn engine = new EngineStandIn(settings, ledger);
        engine.loop.start();
        long lag = Math.max(1, settings.loadReportLag().toNanos());
        engine.timer.scheduleWithFixedDelay(engine::sampleLoad, lag, lag, TimeUnit.NANOSECONDS);
        return engine;
    }

    /** Returns the base URL. */
    public URI url() {
        return server.url();
    }

    /** Returns the engine's name. */
    public String name() {
        return settings.name();
    }

    /** Returns the models that are ready to serve requests. */
    public ImmutableSet<String> readyModels() {
        return models.snapshot().ready().keySet();
    }

    /** Returns the current number of running streams, which load reports state with a delay. */
    public int runningStreams() {
        return loop.load().running();
    }

    /** Returns the current number of waiting requests, which load reports state with a delay. */
    public int waitingRequests() {
        return loop.load().waiting();
    }

    /**
     * Simulates a crash of the engine's process: all streams are lost and all connections are
     * closed. During the downtime, the connection of each request is closed; afterwards the engine
     * is in its initial state.
     */
    public void crash(Duration downtime) {
        down = true;
        loop.dropAll();
        cache.clear();
        models.restart();
        server.closeConnections();
        timer.schedule(() -> down = false, downtime.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        loop.close();
        server.close();
    }

    private void sampleLoad() {
        publishedLoad = sampledLoad;
        sampledLoad = loop.load();
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        try {
            if (method.equals("POST") && (path.equals(COMPLETIONS) || path.equals(CHAT))) {
                complete(exchange, path.equals(CHAT));
            } else {
                handleControl(exchange, method, path).send(exchange);
            }
        } catch (JsonProcessingException e) {
            error(MALFORMED, "the body is not JSON").send(exchange);
        }
    }

    private Response handleControl(HttpServerExchange exchange, String method, String path)
            throws IOException {
        if (method.equals("DELETE") && path.startsWith(REQUESTS)) {
            boolean found = loop.cancel(path.substring(REQUESTS.length()));
            return found
                    ? Response.text(NO_CONTENT, "")
                    : error(NOT_FOUND, "the engine has no such request");
        }
        if (path.startsWith(KV)) {
            String requestId = path.substring(KV.length());
            return method.equals("POST")
                    ? importCache(requestId, JSON.readTree(exchange.getInputStream()))
                    : exportCache(requestId);
        }
        return switch (method + " " + path) {
            case "GET /v1/load" -> load();
            case "GET /v1/models" -> models();
            case "GET /v1/cache/events" -> cacheEvents(after(exchange));
            case "POST /v1/orders" -> order(JSON.readTree(exchange.getInputStream()));
            default -> error(NOT_FOUND, "no such path");
        };
    }

    private void complete(HttpServerExchange exchange, boolean chat) throws IOException {
        EngineRequest request = EngineRequest.of(JSON.readTree(exchange.getInputStream()), chat);
        EngineRun run =
                ledger.open(
                        settings.name(),
                        request.requestId(),
                        request.model(),
                        request.prompt(),
                        request.continueTokens());
        Response rejection = rejectionFor(request);
        EngineStream stream = new EngineStream(request, run);
        if (rejection == null && !loop.submit(stream)) {
            rejection = error(CONFLICT, "the request is already in the engine");
        }
        if (rejection != null) {
            run.end(EngineRun.State.REJECTED);
            rejection.send(exchange);
            return;
        }
        try {
            EventWriter.write(exchange, stream);
        } catch (IOException e) {
            // The caller has closed the connection; real engines also cancel the stream.
            stream.cancel();
            throw e;
        }
    }

    /** Returns an error response if the engine rejects a request, or null if it accepts it. */
    private Response rejectionFor(EngineRequest request) {
        if (!request.validationError().isEmpty()) {
            return error(MALFORMED, request.validationError());
        }
        if (!models.isReady(request.model())) {
            return error(NOT_FOUND, "model is not loaded: " + request.model());
        }
        if (request.promptTokens() + request.output().length() > settings.kvTokens()) {
            return error(MALFORMED, "the request exceeds the key-value cache of the engine");
        }
        return null;
    }

    private Response load() {
        EngineLoop.Load load = publishedLoad;
        return Response.json(
                OK,
                JSON.createObjectNode()
                        .put("running", load.running())
                        .put("waiting", load.waiting())
                        .put("kv_used", load.kvUsed())
                        .put("kv_total", settings.kvTokens()));
    }

    private Response models() {
        EngineModels.Snapshot snapshot = models.snapshot();
        ObjectNode root = JSON.createObjectNode().put("object", "list");
        addModels(root.putArray("data"), snapshot.ready());
        addModels(root.putArray("loading"), snapshot.loading());
        return Response.json(OK, root.put("role", snapshot.role()));
    }

    private static void addModels(ArrayNode list, ImmutableMap<String, String> versions) {
        versions.forEach((id, version) -> list.addObject().put("id", id).put("version", version));
    }

    private Response cacheEvents(long after) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode events = root.putArray("events");
        long next = after;
        for (PrefixCache.Event event : cache.eventsAfter(after)) {
            ObjectNode node = events.addObject();
            node.put("seq", event.sequence()).put("model", event.model());
            event.added().forEach(node.putArray("added")::add);
            event.removed().forEach(node.putArray("removed")::add);
            next = event.sequence();
        }
        return Response.json(OK, root.put("next", next));
    }

    private Response order(JsonNode body) {
        Outcome outcome = models.order(body);
        return switch (outcome) {
            case ACCEPTED -> Response.json(OK, JSON.createObjectNode().put("accepted", true));
            case STALE_FENCE ->
                    error(
                            CONFLICT,
                            "the fencing number is below " + models.snapshot().highestFence());
            case NOT_EXECUTABLE -> error(UNPROCESSABLE, "the order cannot be executed");
        };
    }

    private Response exportCache(String requestId) {
        EngineStream stream = loop.stream(requestId);
        if (stream == null) {
            return error(NOT_FOUND, "the engine has no such request");
        }
        ObjectNode root =
                JSON.createObjectNode()
                        .put("request_id", requestId)
                        .put("model", stream.request().model())
                        .put("tokens", stream.heldTokens());
        stream.blocks().forEach(root.putArray("blocks")::add);
        return Response.json(OK, root);
    }

    private Response importCache(String requestId, JsonNode body) {
        ImmutableSet.Builder<String> blocks = ImmutableSet.builder();
        body.path("blocks").forEach(block -> blocks.add(block.asText()));
        cache.add(body.path("model").asText(), blocks.build().asList());
        loop.addImport(requestId, body.path("tokens").asInt());
        return Response.json(OK, JSON.createObjectNode());
    }

    private static long after(HttpServerExchange exchange) {
        Deque<String> values = exchange.getQueryParameters().get("after");
        return values == null || values.isEmpty() ? 0 : Long.parseLong(values.getFirst());
    }

    private static Response error(int status, String message) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error").put("message", message);
        return Response.json(status, root);
    }
}
