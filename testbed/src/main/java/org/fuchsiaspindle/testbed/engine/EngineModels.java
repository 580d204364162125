package org.fuchsiaspindle.testbed.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fuchsiaspindle.platform.http.HttpClient;
import org.fuchsiaspindle.platform.http.HttpRequest;
import org.fuchsiaspindle.platform.http.HttpResponseStream;
import org.fuchsiaspindle.testbed.ledger.EngineLedger;
import org.fuchsiaspindle.testbed.ledger.EngineLedger.OrderRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The models of an engine, which are loaded and unloaded by placement orders. Thread-safe. */
final class EngineModels {

    private static final Logger LOG = LoggerFactory.getLogger(EngineModels.class);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int OK = 200;

    private final EngineSettings settings;
    private final EngineLedger ledger;
    private final Map<String, String> ready = new LinkedHashMap<>();
    private final Map<String, String> loading = new LinkedHashMap<>();
    private long highestFence;
    private long generation;
    private String role = "";

    /** The outcome of an order. */
    enum Outcome {
        ACCEPTED,
        STALE_FENCE,
        NOT_EXECUTABLE
    }

    /** An immutable snapshot of the models; the maps are from model to version. */
    record Snapshot(
            ImmutableMap<String, String> ready,
            ImmutableMap<String, String> loading,
            String role,
            long highestFence) {}

    EngineModels(EngineSettings settings, EngineLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
        ready.putAll(settings.models());
    }

    synchronized Snapshot snapshot() {
        return new Snapshot(
                ImmutableMap.copyOf(ready), ImmutableMap.copyOf(loading), role, highestFence);
    }

    synchronized boolean isReady(String model) {
        return ready.containsKey(model);
    }

    /** Restores the initial models and cancels loads in progress, as a process restart does. */
    synchronized void restart() {
        generation++;
        loading.clear();
        ready.clear();
        ready.putAll(settings.models());
        role = "";
        highestFence = 0;
    }

    /** Executes an order; a load is started here and completes in the background. */
    synchronized Outcome order(JsonNode body) {
        long fence = body.path("fence").asLong();
        String order = body.path("order").asText();
        String model = body.path("model").asText();
        Outcome outcome;
        if (settings.checksFence() && fence < highestFence) {
            outcome = Outcome.STALE_FENCE;
        } else {
            highestFence = Math.max(highestFence, fence);
            outcome = execute(order, model, body) ? Outcome.ACCEPTED : Outcome.NOT_EXECUTABLE;
        }
        ledger.addOrder(
                new OrderRecord(
                        settings.name(),
                        fence,
                        order,
                        model,
                        outcome == Outcome.ACCEPTED,
                        System.nanoTime()));
        return outcome;
    }

    private boolean execute(String order, String model, JsonNode body) {
        switch (order) {
            case "load" -> {
                return load(model, body.path("version").asText());
            }
            case "unload" -> {
                ready.remove(model);
                loading.remove(model);
                return true;
            }
            case "role" -> {
                role = body.path("role").asText(model);
                return true;
            }
            default -> {
                return false;
            }
        }
    }

    private boolean load(String model, String version) {
        if (model.isEmpty()) {
            return false;
        }
        if (version.equals(ready.get(model)) || version.equals(loading.get(model))) {
            return true;
        }
        boolean known = ready.containsKey(model) || loading.containsKey(model);
        long count =
                ready.size() + loading.keySet().stream().filter(m -> !ready.containsKey(m)).count();
        if (!known && count >= settings.maxModels()) {
            return false;
        }
        loading.put(model, version);
        long startGeneration = generation;
        Thread.ofVirtual()
                .name("load-" + model)
                .start(() -> loadWeights(model, version, startGeneration));
        return true;
    }

    private void loadWeights(String model, String version, long startGeneration) {
        try {
            Thread.sleep(settings.loadTime());
            while (isLoadCurrent(model, version, startGeneration)
                    && !tryReadWeights(model, version)) {
                Thread.sleep(RETRY_INTERVAL);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        synchronized (this) {
            if (isLoadCurrent(model, version, startGeneration)) {
                loading.remove(model);
                ready.put(model, version);
            }
        }
    }

    private synchronized boolean isLoadCurrent(String model, String version, long startGeneration) {
        return generation == startGeneration && version.equals(loading.get(model));
    }

    private boolean tryReadWeights(String model, String version) {
        URI store = settings.weightStore().orElse(null);
        if (store == null) {
            return true;
        }
        HttpRequest request =
                HttpRequest.of(
                        "GET", "/weights/v1/" + HttpRequest.encodePath(model + "/" + version));
        try (HttpClient client = HttpClient.create(store);
                HttpResponseStream response =
                        client.open(request, RESPONSE_TIMEOUT, IDLE_TIMEOUT)) {
            InputStream body = response.body();
            byte[] buffer = new byte[BUFFER_BYTES];
            int count = body.read(buffer);
            while (count >= 0) {
                count = body.read(buffer);
            }
            return response.status() == OK;
        } catch (IOException e) {
            LOG.debug("engine: cannot read weights model={}", model, e);
            return false;
        }
    }
}
