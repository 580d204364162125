package standins;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A small deployment: the store, engines, and gateways as processes of the deploy file's command. */
public final class Fleet implements AutoCloseable {

    private static final int BROKEN = 10;
    public static final String HOST = "games.example";
    public static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    private static final String ENGINE_SETTINGS = "\"engine\":{\"slots\":8,\"kvCapacity\":101495}";

    public final Path root;
    public final Path work;
    public final Store store;
    public final int clientPort;
    public final int statusPort;
    public final int controlPort;
    public final int peerPort;
    public final int metricsPort;
    public final List<Engine> engines = new ArrayList<>();
    private final Map<Integer, Process> gateways = new LinkedHashMap<>();
    private final int gatewayCount;
    private final PrintWriter record;
    private final long start = System.nanoTime();
    private final Set<Integer> ports = new HashSet<>();

    public Fleet(int gatewayCount, Path recordFile) throws Exception {
        this.gatewayCount = gatewayCount;
        root = Path.of(System.getProperty("review.root")).toAbsolutePath();
        work = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        store = new Store("127.0.1.1");
        clientPort = freePort();
        statusPort = freePort();
        controlPort = freePort();
        peerPort = freePort();
        metricsPort = freePort();
    }

    /** What a case does; returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    @FunctionalInterface
    public interface Play {
        int play(Fleet fleet, boolean trouble) throws Exception;
    }

    /** Plays a case and ends the process with its result. */
    public static void run(int gatewayCount, String recordFile, Play play) {
        int exit = 2;
        try (Fleet fleet = new Fleet(gatewayCount, Path.of(recordFile))) {
            try {
                exit = play.play(fleet, !"0".equals(System.getenv("TROUBLE")));
            } catch (Exception failure) {
                fleet.log("the case couldn't run: %s", failure);
            }
        } catch (Exception failure) {
            System.err.println("at the end: " + failure);
        }
        // A JVM that fails by itself ends with 1, so a broken rule has a code of its own; run.sh makes 1 of it.
        System.exit(exit == 1 ? BROKEN : exit);
    }

    /** Returns a port that no process listens on, outside the range from which the system takes ports by itself. */
    private int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 31_000);
            try (ServerSocket socket = new ServerSocket(port)) {
                if (ports.add(port)) {
                    return port;
                }
            } catch (IOException taken) {
                // The next one.
            }
        }
    }

    public double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    public synchronized void log(String format, Object... values) {
        record.printf("%8.3f ", seconds());
        record.printf(format, values);
        record.println();
        record.flush();
    }

    public static String ip(int gateway) {
        return "127.0.0." + (10 + gateway);
    }

    public void addEngine(String service, int slots, int eventMs) throws Exception {
        int number = engines.size() + 1;
        engines.add(new Engine(store, "127.0.2." + number, "i-engine" + number, service, ZONES[(number - 1) % 3], slots, eventMs));
    }

    /** Writes the operator's configuration. */
    public void configure(long version, String... routes) {
        store.put("op", "config", "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConns\":150,\"protocol\":\"h1\",\"tls\":false,"
                + ENGINE_SETTINGS + "}],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    }

    private String settings(int gateway) {
        String ip = ip(gateway);
        List<String> seeds = new ArrayList<>();
        for (int number = 1; number <= Math.min(3, gatewayCount); number++) {
            seeds.add("\"" + ip(number) + ":" + controlPort + "\"");
        }
        return "{\"node\":\"front-" + gateway + "\",\"role\":\"gateway\",\"class\":\"front\",\"serves\":[\"front\",\"control\"],"
                + "\"ip\":\"" + ip + "\",\"zone\":\"" + ZONES[(gateway - 1) % 3] + "\",\"region\":\"r\","
                + "\"zones\":{\"zone-a\":\"r\",\"zone-b\":\"r\",\"zone-c\":\"r\"},"
                + "\"listen\":{\"front\":\"" + ip + ":" + clientPort + "\",\"readiness\":\"" + ip + ":" + statusPort
                + "\",\"control\":\"" + ip + ":" + controlPort + "\"},\"portRange\":[" + peerPort + "," + (peerPort + 15) + "],"
                + "\"seeds\":[" + String.join(",", seeds) + "],\"bootstrap\":true,\"countsAsLoss\":false,"
                + "\"limits\":{\"cpuShare\":0.75,\"cores\":2,\"memoryMb\":460,\"maxFds\":8200,\"linkMbps\":1000.0,\"diskMb\":0},"
                + "\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,"
                + "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"stableMs\":3000,\"ackMs\":4000,\"catchupS\":4.6,\"drainMs\":2000,"
                + "\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,\"revertMs\":250,\"skewMs\":5000,\"recoveryS\":12,\"passMs\":120,"
                + "\"retryAfterS\":0,\"finishS\":18,\"statusS\":120,\"cancelMs\":3000,\"settleMs\":1000,\"quotaExcess\":0.1},"
                + "\"platform\":{\"address\":\"127.0.1.1:" + store.port() + "\",\"form\":\"table\",\"writesPerS\":800,\"readsPerS\":2000,"
                + "\"txMs\":6.0,\"partWritesS\":200,\"rowBytes\":65536,\"across\":false,\"historyS\":20,\"blobBytes\":8388608,"
                + "\"blobMs\":25.0,\"blobMbS\":80.0}}";
    }

    /** Starts a gateway with the command of deploy/system.toml. */
    public void startGateway(int gateway) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        Path settings = work.resolve("gateway-" + gateway + ".json");
        Files.writeString(settings, settings(gateway));
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
        builder.directory(root.toFile());
        builder.environment().put("FUCHSIASPINDLE_SETTINGS", settings.toString());
        builder.environment().put("FUCHSIASPINDLE_METRICS_PORT", String.valueOf(metricsPort));
        File log = work.resolve("gateway-" + gateway + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        gateways.put(gateway, process);
        log("gateway %d started pid=%d", gateway, process.pid());
    }

    public Process gateway(int gateway) {
        return gateways.get(gateway);
    }

    /** Makes all engines slower or faster, as the load that others put on them changes. */
    public void setEventMs(int millis) {
        engines.forEach(engine -> engine.eventMs = millis);
        log("engines make an event in %d ms now", millis);
    }

    public int active() {
        return engines.stream().mapToInt(Engine::active).sum();
    }

    public long completedRuns() {
        return engines.stream().mapToLong(engine -> engine.runs.stream().filter(run -> run.complete).count()).sum();
    }

    /** Returns for how long no engine had anything to do, in seconds. */
    public double quietS() {
        if (active() > 0) {
            return 0;
        }
        long last = engines.stream().flatMap(engine -> engine.runs.stream()).mapToLong(run -> run.endNanos).max().orElse(start);
        return (System.nanoTime() - last) / 1e9;
    }

    public boolean isRunning(int gateway) {
        Process process = gateways.get(gateway);
        return process != null && process.isAlive();
    }

    public void kill(int gateway) {
        Process process = gateways.get(gateway);
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        log("gateway %d killed", gateway);
    }

    public void signal(int gateway, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(gateways.get(gateway).pid())).start().waitFor();
        log("gateway %d signal %s", gateway, name);
    }

    public boolean isReady(int gateway) {
        try {
            return Http.call(ip(gateway), statusPort, "GET", "/readyz", Map.of("Host", "x"), new byte[0], 1000).status == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    /** Waits until all gateways are ready; false if they aren't in time. */
    public boolean awaitReady(int millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() - until < 0) {
            boolean all = true;
            for (int gateway : gateways.keySet()) {
                all &= isReady(gateway);
            }
            if (all) {
                log("all gateways are ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    public Http.Response call(int gateway, String method, String uri, Map<String, String> headers, byte[] body, int timeoutMs)
            throws IOException {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("Host", HOST);
        all.putAll(headers);
        return Http.call(ip(gateway), clientPort, method, uri, all, body, timeoutMs);
    }

    /** Copies the gateways' lines that match into the record. */
    public void recordLog(String pattern, int most) throws IOException {
        for (int gateway : gateways.keySet()) {
            int count = 0;
            for (String line : Files.readAllLines(work.resolve("gateway-" + gateway + ".log"), StandardCharsets.ISO_8859_1)) {
                if (line.matches(pattern) && count++ < most) {
                    log("log of gateway %d: %s", gateway, line);
                }
            }
            if (count > most) {
                log("log of gateway %d: %d more such lines", gateway, count - most);
            }
        }
    }

    private void killAll() {
        gateways.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Process process : gateways.values()) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
        for (Engine engine : engines) {
            engine.close();
        }
        store.close();
        record.flush();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(work)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.err.println("kept " + work);
        }
    }
}
