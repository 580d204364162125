package org.fuchsiaspindle.testbed.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient;
import org.fuchsiaspindle.testbed.emulator.PlatformEmulator;
import org.fuchsiaspindle.testbed.fleet.DaemonProcess;
import org.fuchsiaspindle.testbed.fleet.Ports;

/** A gateway that runs in a separate JVM on its own loopback address. Thread-safe. */
final class GatewayProcess implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FIRST_ADDRESS = 40;

    private final Path settings;
    private final int clientPort;
    private final int statusPort;
    private final int peerPort;
    private final String ip;
    private final DaemonProcess process;

    /** Starts the process of a gateway with a settings file. */
    @FunctionalInterface
    private interface Launcher {
        DaemonProcess launch(String name, Path settings);
    }

    private GatewayProcess(PlatformEmulator platform, int number, int peerPort, Launcher launcher)
            throws IOException {
        this.clientPort = Ports.allocate();
        this.statusPort = Ports.allocate();
        this.peerPort = peerPort;
        this.ip = ip(number);
        this.settings = Files.createTempFile("gateway-", ".json");
        JSON.writeValue(settings.toFile(), settings(platform, number));
        this.process = launcher.launch("gateway-" + number, settings);
    }

    /**
     * Starts a gateway and does not wait until it is ready.
     *
     * @param platform the deployment with the store
     * @param number its number, from 1; a gateway knows those with a lower number
     * @param peerPort the port on which all gateways accept connections of each other
     */
    static GatewayProcess start(PlatformEmulator platform, int number, int peerPort)
            throws IOException {
        return new GatewayProcess(platform, number, peerPort, DaemonProcess::startGateway);
    }

    /**
     * Starts a gateway with a command, otherwise like {@link #start}.
     *
     * @param directory where the command runs
     * @param command the program and its arguments
     */
    static GatewayProcess start(
            PlatformEmulator platform,
            int number,
            int peerPort,
            Path directory,
            List<String> command)
            throws IOException {
        return new GatewayProcess(
                platform,
                number,
                peerPort,
                (name, settings) -> DaemonProcess.startGateway(name, directory, command, settings));
    }

    /** Waits for a log line that contains a match of a regular expression. */
    void awaitLog(String regex, Duration timeout) {
        process.awaitLog(regex, timeout);
    }

    /** Returns the processor time that the process has used. */
    Duration processorTime() throws IOException {
        return Duration.ofNanos(ProcessStats.cpuNanos(process.pid()));
    }

    /** Stops the gateway gracefully; returns whether it ended within the timeout. */
    boolean stop(Duration timeout) {
        process.terminate();
        return process.awaitExit(timeout);
    }

    /** Returns the text of the metrics. */
    String metrics() throws IOException {
        return EmulatorClient.of(ip, statusPort, PlatformEmulator.HOST)
                .call("GET", "/metrics", Map.of(), "")
                .body();
    }

    /** Returns a client of the gateway. */
    EmulatorClient client() {
        return EmulatorClient.of(ip, clientPort, PlatformEmulator.HOST);
    }

    /** Returns whether the gateway is ready and knows a number of targets. */
    boolean isReady(int targets) {
        try {
            EmulatorClient status = EmulatorClient.of(ip, statusPort, PlatformEmulator.HOST);
            return status.call("GET", "/readyz", Map.of(), "").status() == 200
                    && status.call("GET", "/metrics", Map.of(), "")
                                    .body()
                                    .lines()
                                    .filter(line -> line.startsWith("fuchsiaspindle_targets"))
                                    .mapToDouble(GatewayProcess::value)
                                    .sum()
                            == targets;
        } catch (IOException notListening) {
            return false;
        }
    }

    /** Returns the log lines so far. */
    List<String> log() {
        return process.log();
    }

    @Override
    public void close() throws IOException {
        process.close();
        Files.deleteIfExists(settings);
        Ports.release(clientPort);
        Ports.release(statusPort);
    }

    private ObjectNode settings(PlatformEmulator platform, int number) {
        ObjectNode root = JSON.createObjectNode();
        root.put("node", "gateway-" + number).put("ip", ip).put("zone", "zone-a");
        root.putObject("listen")
                .put("front", ip + ":" + clientPort)
                .put("readiness", ip + ":" + statusPort);
        root.putArray("portRange").add(peerPort).add(peerPort);
        for (int peer = 1; peer < number; peer++) {
            root.withArray("seeds").add(ip(peer) + ":" + peerPort);
        }
        root.putObject("platform").put("address", platform.store().address().toString());
        return root;
    }

    private static String ip(int number) {
        return "127.0.0." + (FIRST_ADDRESS + number);
    }

    private static double value(String metricLine) {
        return Double.parseDouble(metricLine.substring(metricLine.lastIndexOf(' ') + 1));
    }
}
