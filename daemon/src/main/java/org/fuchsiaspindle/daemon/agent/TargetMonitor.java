package org.fuchsiaspindle.daemon.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableSortedMap;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.fuchsiaspindle.daemon.agent.target.SmallResponse;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.agent.target.TargetExchange;
import org.fuchsiaspindle.daemon.agent.target.TargetRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors whether the target responds and which models it has loaded.
 *
 * <p>Of the engine's load report only the queue length is read, and only while work runs. The
 * report lags behind, and streams may be silent for reasons other than queueing, so the scheduler
 * uses the queue length together with the silence of streams.
 *
 * <p>All methods run on the agent's event loop.
 */
final class TargetMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(TargetMonitor.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final Duration LOAD_INTERVAL = Duration.ofMillis(250);

    private final TargetClient client;
    private final AgentLoop loop;
    private final AgentTiming timing;
    private final AdmissionController admission;
    private final boolean engine;
    private ImmutableSortedMap<String, String> models = ImmutableSortedMap.of();
    private Runnable modelsListener = () -> {};
    private boolean probing;
    private boolean readingLoad;

    TargetMonitor(
            TargetClient client,
            AgentLoop loop,
            AgentTiming timing,
            AdmissionController admission,
            boolean engine) {
        this.client = client;
        this.loop = loop;
        this.timing = timing;
        this.admission = admission;
        this.engine = engine;
    }

    /**
     * Returns the versions of the loaded models by name; empty while the engine does not respond.
     */
    ImmutableSortedMap<String, String> models() {
        return models;
    }

    /** Sets the listener that is called when the loaded models have changed. */
    void onModelsChanged(Runnable listener) {
        modelsListener = listener;
    }

    /** Starts the periodic probes. */
    void start() {
        admission.onLoss(this::probe);
        probe();
        loop.every(timing.probeInterval(), this::checkAndProbe);
        if (engine) {
            loop.every(LOAD_INTERVAL, this::readLoad);
        }
    }

    private void readLoad() {
        if (!admission.isTargetUp() || !admission.isBusy() || readingLoad) {
            return;
        }
        readingLoad = true;
        get(
                "/v1/load",
                (status, body) -> {
                    readingLoad = false;
                    if (status == OK) {
                        admission.reportTargetQueue(
                                Math.max(0, parse(body).path("waiting").asInt()));
                    }
                });
    }

    /** Probes the target now, for example after an order or a failed exchange. */
    void probe() {
        if (probing) {
            return;
        }
        probing = true;
        if (engine) {
            get("/v1/models", (status, body) -> onProbed(status == OK, body));
        } else {
            // A plain service may count its calls, so the probe only opens a connection.
            BiConsumer<Integer, ByteString> once =
                    once((status, body) -> onProbed(status == OK, body));
            client.probe(
                    reachable ->
                            loop.execute(() -> once.accept(reachable ? OK : 0, ByteString.EMPTY)));
            loop.after(
                    timing.probeTimeout().toNanos(),
                    () -> once.accept(SmallResponse.EXCHANGE_FAILED, ByteString.EMPTY));
        }
    }

    private void checkAndProbe() {
        if (admission.isTargetHung()) {
            admission.markTargetHung("no token within " + timing.hangTimeout().toMillis() + " ms");
            setModels(ImmutableSortedMap.of());
        }
        probe();
    }

    private void onProbed(boolean up, ByteString body) {
        probing = false;
        if (!up) {
            admission.markTargetDown("the target does not answer probes");
            setModels(ImmutableSortedMap.of());
            loop.after(timing.downProbeInterval().toNanos(), this::probeIfDown);
            return;
        }
        if (engine) {
            readModels(body);
        }
        admission.markTargetUp();
    }

    private void probeIfDown() {
        if (!admission.isTargetUp()) {
            probe();
        }
    }

    private void readModels(ByteString body) {
        Map<String, String> versions = new HashMap<>();
        JsonNode root = parse(body);
        JsonNode list = root.has("data") ? root.path("data") : root.path("models");
        for (JsonNode model : list) {
            String name = model.isTextual() ? model.asText() : model.path("id").asText();
            versions.put(name, model.path("version").asText());
        }
        setModels(ImmutableSortedMap.copyOf(versions));
    }

    private void setModels(ImmutableSortedMap<String, String> newModels) {
        if (!models.equals(newModels)) {
            LOG.info("admit: loaded models changed models={}", newModels);
            models = newModels;
            modelsListener.run();
        }
    }

    private static JsonNode parse(ByteString body) {
        try {
            return JSON.readTree(body.newInput());
        } catch (IOException e) {
            LOG.warn("admit: malformed response from the target bytes={}", body.size());
            return JSON.createObjectNode();
        }
    }

    /** Returns a handler that passes on only the first result. */
    private static BiConsumer<Integer, ByteString> once(BiConsumer<Integer, ByteString> handler) {
        AtomicBoolean called = new AtomicBoolean();
        return (status, body) -> {
            if (called.compareAndSet(false, true)) {
                handler.accept(status, body);
            }
        };
    }

    /** Gets a small document; the handler receives status 0 if the exchange fails or times out. */
    private void get(String path, BiConsumer<Integer, ByteString> handler) {
        BiConsumer<Integer, ByteString> once = once(handler);
        TargetExchange exchange =
                client.send(
                        TargetRequest.withoutBody("GET", path),
                        SmallResponse.of(
                                (status, body) -> loop.execute(() -> once.accept(status, body))));
        loop.after(
                timing.probeTimeout().toNanos(),
                () -> {
                    // Has no effect on an exchange that has ended.
                    exchange.abort();
                    once.accept(SmallResponse.EXCHANGE_FAILED, ByteString.EMPTY);
                });
    }
}
