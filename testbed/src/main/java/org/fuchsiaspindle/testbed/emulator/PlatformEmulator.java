package org.fuchsiaspindle.testbed.emulator;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.fuchsiaspindle.gateway.Gateway;
import org.fuchsiaspindle.platform.settings.ProcessSettings;
import org.fuchsiaspindle.testbed.fleet.Ports;

/**
 * A complete deployment in one JVM: a store, engines and gateways on loopback addresses.
 *
 * <p>Not thread-safe.
 */
public final class PlatformEmulator implements AutoCloseable {

    /** The host name that all routes match. */
    public static final String HOST = "games.example";

    /** Service name of the model engines. */
    public static final String MODEL = "model";

    /** Service name of the plain targets. */
    public static final String PLAIN = "plain";

    private static final String STORE_IP = "127.0.1.1";
    private static final String ENGINE_IP = "127.0.2.1";
    private static final Duration STOP_GRACE = Duration.ofSeconds(8);

    private final StoreEmulator store = StoreEmulator.start(STORE_IP);
    private final Map<String, EngineEmulator> engines = new HashMap<>();
    private final Map<String, Gateway> gateways = new HashMap<>();
    private final int clientPort = Ports.allocate();
    private final int statusPort = Ports.allocate();
    private int peerPort = Ports.allocate();
    private double capacity = 1;
    private Duration resultRetention = Duration.ofSeconds(120);
    private long itemMemoryBytes = 64L << 20;
    private int incarnations;
    private int configVersion;
    private String workspaces = "";
    private String engineSettings = "{}";
    private Optional<HostAndPort> storeProxy = Optional.empty();

    private PlatformEmulator() {}

    /** Starts a deployment that consists of a store, without engines or gateways. */
    public static PlatformEmulator start() {
        return new PlatformEmulator();
    }

    /** Returns the store. */
    public StoreEmulator store() {
        return store;
    }

    /** Starts and registers an engine. */
    public EngineEmulator addEngine(String id, String service, int slots, Duration eventTime) {
        EngineEmulator engine =
                EngineEmulator.start(
                        new EngineEmulator.Spec(id, service, "zone-a", slots, eventTime),
                        ENGINE_IP);
        engines.put(id, engine);
        register(engine, false);
        return engine;
    }

    /** Writes the registration of an engine to the store. */
    public void register(EngineEmulator engine, boolean draining) {
        store.put("servers", engine.spec().id(), engine.registration(draining));
    }

    /** Removes the registration of an engine from the store. */
    public void unregister(EngineEmulator engine) {
        store.remove("servers", engine.spec().id());
    }

    /** Sets how long the gateways that start later must keep the results of jobs readable. */
    public void setResultRetention(Duration time) {
        resultRetention = time;
    }

    /** Sets how many bytes of batch items the gateways that start later may hold in memory. */
    public void setItemMemory(long bytes) {
        itemMemoryBytes = bytes;
    }

    /** Sets the address under which the gateways that start later reach the store. */
    public void setStoreProxy(HostAndPort address) {
        storeProxy = Optional.of(address);
    }

    /**
     * Sets the port on which the gateways that start later accept connections of their peers, and
     * at which they look for their peers.
     */
    public void setPeerPort(int port) {
        peerPort = port;
    }

    /**
     * Sets the processor capacity of the gateways that start later, in cores; much larger ones
     * coordinate the slots of targets.
     */
    public void setCapacity(double cores) {
        capacity = cores;
    }

    /** Sets the memory of model engines in the configurations that are stored later, in tokens. */
    public void setEngineMemory(int tokens) {
        engineSettings = "{\"kvCapacity\":" + tokens + "}";
    }

    /** Sets the workspaces of the configurations that are stored later, as JSON. */
    public void setWorkspaces(String... newWorkspaces) {
        workspaces = ",\"tenants\":[" + String.join(",", newWorkspaces) + "]";
    }

    /** Starts a gateway on its own loopback address and returns the address. */
    public String startGateway(int number) {
        return startGateway(number, List.copyOf(gateways.keySet()));
    }

    /** Starts a gateway with the given seeds, and returns its address. */
    public String startGateway(int number, List<String> seeds) {
        String ip = "127.0.0." + (10 + number);
        incarnations++;
        gateways.put(
                ip,
                Gateway.start(
                        settings(ip, seeds), OptionalInt.empty(), "incarnation-" + incarnations));
        return ip;
    }

    /** Closes a gateway without a graceful stop, as when its instance fails. */
    public void killGateway(String ip) {
        gateways.remove(ip).close();
    }

    /** Stops a gateway gracefully and waits until it has stopped. */
    public void stopGateway(String ip) {
        Gateway gateway = gateways.remove(ip);
        gateway.stop().join();
        gateway.close();
    }

    /** Returns the gateway at an address, or null if none runs there. */
    public Gateway gateway(String ip) {
        return gateways.get(ip);
    }

    /** Returns a client of the gateway at an address. */
    public EmulatorClient client(String ip) {
        return EmulatorClient.of(ip, clientPort, HOST);
    }

    /** Returns the sum of a metric over all gateways and label values. */
    public double metric(String name) throws IOException {
        double sum = 0;
        for (String ip : gateways.keySet()) {
            String text =
                    EmulatorClient.of(ip, statusPort, HOST)
                            .call("GET", "/metrics", Map.of(), "")
                            .body();
            sum +=
                    text.lines()
                            .filter(line -> line.startsWith(name))
                            .mapToDouble(
                                    line ->
                                            Double.parseDouble(
                                                    line.substring(line.lastIndexOf(' ') + 1)))
                            .sum();
        }
        return sum;
    }

    /** Stores a new configuration with the given routes, as JSON; returns its version. */
    public int configure(String... routes) {
        configVersion += 3;
        String document =
                "{\"version\":"
                        + configVersion
                        + ",\"routes\":["
                        + String.join(",", routes)
                        + "],\"services\":[{\"name\":\"model\",\"maxConns\":150,\"engine\":"
                        + engineSettings
                        + "},"
                        + "{\"name\":\"plain\",\"maxConns\":100}],\"limits\":{}"
                        + workspaces
                        + "}";
        store.put("op", "config", document.getBytes(StandardCharsets.UTF_8));
        return configVersion;
    }

    /** Returns a workspace as JSON. */
    public static String workspace(String name, String... keys) {
        return "{\"name\":\"%s\",\"apiKeys\":[\"%s\"]}".formatted(name, String.join("\",\"", keys));
    }

    /** Returns a route as JSON. */
    public static String route(
            String name,
            String prefix,
            String kind,
            String service,
            int attempts,
            String additionalFields) {
        return ("{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"%s\",\"kind\":\"%s\","
                        + "\"service\":\"%s\",\"attempts\":%d,\"timeoutMs\":5000,\"goalMs\":300%s}")
                .formatted(name, HOST, prefix, kind, service, attempts, additionalFields);
    }

    @Override
    public void close() {
        List.copyOf(gateways.values()).forEach(Gateway::close);
        engines.values().forEach(EngineEmulator::close);
        store.close();
        // The ports are not released, so that nothing late reaches a gateway of another test.
    }

    private ProcessSettings settings(String ip, List<String> seeds) {
        return new ProcessSettings(
                "node-" + ip,
                ip,
                "zone-a",
                Optional.of(HostAndPort.fromParts(ip, clientPort)),
                Optional.of(HostAndPort.fromParts(ip, statusPort)),
                peerPort,
                seeds,
                storeProxy.orElse(HostAndPort.fromParts(STORE_IP, store.port())),
                capacity,
                resultRetention,
                STOP_GRACE,
                itemMemoryBytes);
    }
}
