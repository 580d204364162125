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
import org.fuchsiaspindle.testbed.http.Answer;
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
        server = StandInServer.start(settings.port(), this::answer);
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

    /** Returns the current number of running streams, without the lag of load reports. */
    public int runningStreams() {
        return loop.load().running();
    }

    /** Returns the current number of queued requests, without the lag of load reports. */
    public int waitingRequests() {
        return loop.load().waiting();
    }

    /**
     * Simulates a crash of the engine's process: all streams are lost and all connections are
     * closed. During the downtime each request ends with a closed connection; afterwards the engine
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

    private void answer(HttpServerExchange exchange) throws IOException {
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
                answerControl(exchange, method, path).send(exchange);
            }
        } catch (JsonProcessingException e) {
            error(MALFORMED, "the body is not JSON").send(exchange);
        }
    }

    private Answer answerControl(HttpServerExchange exchange, String method, String path)
            throws IOException {
        if (method.equals("DELETE") && path.startsWith(REQUESTS)) {
            boolean found = loop.cancel(path.substring(REQUESTS.length()));
            return found
                    ? Answer.text(NO_CONTENT, "")
                    : error(NOT_FOUND, "no such request in the engine");
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
        Answer refusal = errorFor(request);
        EngineStream stream = new EngineStream(request, run);
        if (refusal == null && !loop.submit(stream)) {
            refusal = error(CONFLICT, "the request is already in the engine");
        }
        if (refusal != null) {
            run.end(EngineRun.State.REJECTED);
            refusal.send(exchange);
            return;
        }
        try {
            EventWriter.write(exchange, stream);
        } catch (IOException e) {
            // The caller has closed the connection; real engines cancel the stream, too.
            stream.cancel();
            throw e;
        }
    }

    /** Returns the error response to a request, or null if the engine accepts it. */
    private Answer errorFor(EngineRequest request) {
        if (!request.problem().isEmpty()) {
            return error(MALFORMED, request.problem());
        }
        if (!models.isReady(request.model())) {
            return error(NOT_FOUND, "model is not loaded: " + request.model());
        }
        if (request.promptTokens() + request.output().length() > settings.kvTokens()) {
            return error(MALFORMED, "the request is too long for this engine");
        }
        return null;
    }

    private Answer load() {
        EngineLoop.Load load = publishedLoad;
        return Answer.json(
                OK,
                JSON.createObjectNode()
                        .put("running", load.running())
                        .put("waiting", load.waiting())
                        .put("kv_used", load.kvUsed())
                        .put("kv_total", settings.kvTokens()));
    }

    private Answer models() {
        EngineModels.Snapshot snapshot = models.snapshot();
        ObjectNode root = JSON.createObjectNode().put("object", "list");
        addModels(root.putArray("data"), snapshot.ready());
        addModels(root.putArray("loading"), snapshot.loading());
        return Answer.json(OK, root.put("role", snapshot.role()));
    }

    private static void addModels(ArrayNode list, ImmutableMap<String, String> versions) {
        versions.forEach((id, version) -> list.addObject().put("id", id).put("version", version));
    }

    private Answer cacheEvents(long after) {
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
        return Answer.json(OK, root.put("next", next));
    }

    private Answer order(JsonNode body) {
        Outcome outcome = models.order(body);
        return switch (outcome) {
            case ACCEPTED -> Answer.json(OK, JSON.createObjectNode().put("accepted", true));
            case STALE_FENCE ->
                    error(
                            CONFLICT,
                            "the fencing number is below " + models.snapshot().highestFence());
            case NOT_EXECUTABLE -> error(UNPROCESSABLE, "the order cannot be carried out");
        };
    }

    private Answer exportCache(String requestId) {
        EngineStream stream = loop.stream(requestId);
        if (stream == null) {
            return error(NOT_FOUND, "no such request in the engine");
        }
        ObjectNode root =
                JSON.createObjectNode()
                        .put("request_id", requestId)
                        .put("model", stream.request().model())
                        .put("tokens", stream.heldTokens());
        stream.blocks().forEach(root.putArray("blocks")::add);
        return Answer.json(OK, root);
    }

    private Answer importCache(String requestId, JsonNode body) {
        ImmutableSet.Builder<String> blocks = ImmutableSet.builder();
        body.path("blocks").forEach(block -> blocks.add(block.asText()));
        cache.add(body.path("model").asText(), blocks.build().asList());
        loop.addImport(requestId, body.path("tokens").asInt());
        return Answer.json(OK, JSON.createObjectNode());
    }

    private static long after(HttpServerExchange exchange) {
        Deque<String> values = exchange.getQueryParameters().get("after");
        return values == null || values.isEmpty() ? 0 : Long.parseLong(values.getFirst());
    }

    private static Answer error(int status, String message) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error").put("message", message);
        return Answer.json(status, root);
    }
}
