package org.fuchsiaspindle.testbed.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import org.fuchsiaspindle.platform.http.HttpResponse;
import org.fuchsiaspindle.testbed.engine.EngineSettings;
import org.fuchsiaspindle.testbed.fleet.EmbeddedFleet;
import org.fuchsiaspindle.testbed.fleet.FleetAdmin;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import org.fuchsiaspindle.testbed.fleet.FleetLayout;

/** The fleet of the demo: two entries, four engines with two models, and one service. */
final class DemoFleet implements AutoCloseable {

    static final String SMALL = "small";
    static final String LARGE = "large";
    static final String SERVICE = "orders";
    static final String CUSTOMER_KEY = "key-of-the-demo-customer";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ImmutableList<String> MODELS = ImmutableList.of(SMALL, LARGE);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_POLLS = 200;
    private static final int ENTRIES = 2;
    private static final int ENGINES = 4;
    private static final int DATA_CENTRES = 3;
    private static final int COPIES = 2;
    private static final int OK = 200;

    private final EmbeddedFleet fleet;

    private DemoFleet(EmbeddedFleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Starts the fleet and loads its configuration.
     *
     * @param port HTTP port of the first entry, 0 for any free port
     * @throws IllegalStateException if the fleet does not serve requests in time
     */
    static DemoFleet start(int port) {
        EmbeddedFleet fleet = EmbeddedFleet.start(layout(port));
        try {
            fleet.awaitReady(READY_TIMEOUT);
            configure(fleet);
            for (URI entry : fleet.entryUrls()) {
                awaitServing(entry);
            }
            return new DemoFleet(fleet);
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    EmbeddedFleet fleet() {
        return fleet;
    }

    /**
     * Returns the URL of an entry, 0 for the first. The demo uses both entries, because results
     * must not depend on the entry that received a request.
     */
    URI url(int entry) {
        return fleet.entryUrls().get(entry);
    }

    @Override
    public void close() {
        fleet.close();
    }

    private static FleetLayout layout(int port) {
        ImmutableList.Builder<EngineSettings> engines = ImmutableList.builder();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(
                    EngineSettings.builder("engine-" + (i + 1))
                            .models(ImmutableMap.of(MODELS.get(i % MODELS.size()), "1"))
                            .build());
        }
        return new FleetLayout(
                ENTRIES, engines.build(), ImmutableList.of(SERVICE), DATA_CENTRES, port);
    }

    private static void configure(EmbeddedFleet fleet) {
        URI entry = fleet.entryUrls().getFirst();
        try (FleetAdmin admin = FleetAdmin.create(entry, EmbeddedFleet.OPERATOR_KEY)) {
            for (String model : MODELS) {
                admin.addModel(model, COPIES, ENGINES);
            }
            admin.addService(SERVICE);
            admin.addContract("demo", CUSTOMER_KEY, MODELS, ImmutableList.of(SERVICE));
        }
    }

    /** Waits until an entry serves requests for each model and the service. */
    private static void awaitServing(URI entry) {
        String failure = "";
        try (FleetCaller caller = FleetCaller.create(entry, CUSTOMER_KEY)) {
            for (int i = 0; i < MAX_POLLS; i++) {
                failure = describeFailure(caller);
                if (failure.isEmpty()) {
                    return;
                }
                Thread.sleep(POLL_INTERVAL);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new IllegalStateException("entry " + entry + " does not serve requests: " + failure);
    }

    /** Describes the first request that an entry does not serve yet, or empty if it serves all. */
    private static String describeFailure(FleetCaller caller) {
        try {
            HttpResponse modelsResponse = caller.get("/v1/models");
            JsonNode modelsBody = JSON.readTree(modelsResponse.body());
            ImmutableSet<String> models =
                    ImmutableSet.copyOf(modelsBody.path("data").findValuesAsText("id"));
            if (modelsResponse.status() != OK || !models.containsAll(MODELS)) {
                return "models " + modelsResponse.status() + " " + modelsBody;
            }
            for (String model : MODELS) {
                HttpResponse completionResponse =
                        caller.post("/v1/chat/completions", FleetCaller.chat(model, "probe", 1));
                if (completionResponse.status() != OK) {
                    return model
                            + " "
                            + completionResponse.status()
                            + " "
                            + JSON.readTree(completionResponse.body());
                }
            }
            HttpResponse statusResponse = caller.get("/services/" + SERVICE + "/status/probe");
            return statusResponse.status() == OK ? "" : SERVICE + " " + statusResponse.status();
        } catch (IOException e) {
            return String.valueOf(e.getMessage());
        }
    }
}
