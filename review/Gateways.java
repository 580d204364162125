package fuchsiareview2;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Gateways as separate processes, started with the command of the deploy file, one loopback
 * address each. A process that ends by itself is started again after a short delay, as the
 * platform does.
 */
final class Gateways implements AutoCloseable {

    static final int FRONT = 0;
    static final int READINESS = 1;
    static final int CONTROL = 2;
    static final int RANGE = 3;

    private final Path root;
    private final Path folder;
    private final List<String> ips = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<Integer> ends = new ArrayList<>();
    private final Map<String, Object> platform = new LinkedHashMap<>();
    private final Relay[][] relays;
    private final AtomicBoolean closing = new AtomicBoolean();
    private final Map<Integer, List<String>> seedsByIndex = new HashMap<>();
    private boolean relayed;
    final int base;

    Gateways(Path root, Path folder, int count, String storeAddress, Platform store)
            throws IOException {
        this.root = root;
        this.folder = folder;
        for (int i = 0; i < count; i++) {
            ips.add("127.45.1." + (i + 1));
            processes.add(null);
            ends.add(0);
        }
        base = freePorts(ips);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        relays = new Relay[count][count];
        platform.put("address", storeAddress);
        platform.put("form", "table");
        platform.put("writesPerS", 800L);
        platform.put("readsPerS", 2000L);
        platform.put("txMs", (double) store.txMs);
        platform.put("partWritesS", 200L);
        platform.put("rowBytes", 65536L);
        platform.put("across", false);
        platform.put("historyS", 20L);
        platform.put("blobBytes", 8388608L);
        platform.put("blobMs", (double) store.blobMs);
        platform.put("blobMbS", store.blobMbS);
    }

    /**
     * Puts a relay on each way between two gateways; called before the first start. A gateway
     * connects to its peers at its own first port, so each gets another one: what it finds there at
     * the address of a peer is a relay to the port of that peer.
     */
    void relayPeers() throws IOException {
        relayed = true;
        for (int from = 0; from < ips.size(); from++) {
            for (int to = 0; to < ips.size(); to++) {
                if (from != to) {
                    relays[from][to] =
                            new Relay(ips.get(to), peerPort(from), ips.get(to), peerPort(to));
                }
            }
        }
    }

    /** Gives a gateway other seeds, such as stale ones. */
    void setSeeds(int index, List<String> addresses) {
        seedsByIndex.put(index, addresses);
    }

    /** Returns the relay of the channels that one gateway opens to another. */
    Relay relay(int from, int to) {
        return relays[from][to];
    }

    private int peerPort(int index) {
        return base + RANGE + (relayed ? index : 0);
    }

    String ip(int index) {
        return ips.get(index);
    }

    int count() {
        return ips.size();
    }

    /** Returns how often the process of a gateway has ended by itself. */
    synchronized int ends(int index) {
        return ends.get(index);
    }

    Process process(int index) {
        return processes.get(index);
    }

    /** Returns a port that is free at all addresses, with some free ones after it. */
    static int freePorts(List<String> addresses) throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            boolean free = true;
            for (String ip : addresses) {
                for (int next = port; next < port + 20 && free; next++) {
                    try (ServerSocket probe = Net.listen(ip, next)) {
                        free = probe.isBound();
                    } catch (IOException taken) {
                        free = false;
                    }
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IOException("no free ports");
    }

    /** Starts a gateway. */
    void start(int index) throws IOException {
        Path settings = folder.resolve("settings-" + index + ".json");
        Files.writeString(settings, Js.write(settings(index)));
        List<String> command = command();
        command.set(0, root.resolve(command.get(0)).toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().clear();
        builder.environment().put("PATH", System.getenv("PATH"));
        builder.environment().put("FUCHSIASPINDLE_SETTINGS", settings.toString());
        Path log = folder.resolve("gateway-" + index + ".log");
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        processes.set(index, process);
        process.onExit().thenAccept(ended -> ended(index, ended));
    }

    private void ended(int index, Process ended) {
        if (closing.get() || processes.get(index) != ended) {
            return;
        }
        synchronized (this) {
            ends.set(index, ends.get(index) + 1);
        }
        Notes.line("gateway %d ended by itself with code %d", index, ended.exitValue());
        Platform.sleep(500);
        try {
            if (!closing.get()) {
                start(index);
            }
        } catch (IOException failure) {
            Notes.line("gateway %d cannot be started again: %s", index, failure);
        }
    }

    /** Returns the command of the deploy file, split at spaces, its first word in the root. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(text.split(" ")));
            }
        }
        throw new IOException("no command in deploy/system.toml");
    }

    private Map<String, Object> settings(int index) {
        String ip = ips.get(index);
        Map<String, Object> listen = new LinkedHashMap<>();
        listen.put("front", ip + ":" + (base + FRONT));
        listen.put("readiness", ip + ":" + (base + READINESS));
        listen.put("control", ip + ":" + (base + CONTROL));
        List<Object> seeds = new ArrayList<>();
        List<String> addresses = ips.subList(0, Math.min(3, ips.size()));
        for (String seed : seedsByIndex.getOrDefault(index, addresses)) {
            seeds.add(seed + ":" + (base + CONTROL));
        }
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("cpuShare", 0.75);
        limits.put("cores", 2L);
        limits.put("memoryMb", 460L);
        limits.put("maxFds", 8200L);
        limits.put("linkMbps", 1000.0);
        limits.put("diskMb", 0L);
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("drainMs", 2000L);
        bounds.put("graceS", 8L);
        bounds.put("configMs", 2000L);
        bounds.put("statusS", 120L);
        bounds.put("settleMs", 1000L);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("node", "front-zone-a-" + (index + 1));
        settings.put("role", "gateway");
        settings.put("class", "front");
        settings.put("serves", List.of("front", "control"));
        settings.put("ip", ip);
        settings.put("zone", "zone-a");
        settings.put("region", "zone");
        settings.put("zones", Map.of("zone-a", "zone"));
        settings.put("listen", listen);
        settings.put("portRange", List.of((long) peerPort(index), (long) peerPort(index) + 15));
        settings.put("seeds", seeds);
        settings.put("bootstrap", true);
        settings.put("countsAsLoss", false);
        settings.put("limits", limits);
        settings.put("heartbeatMs", 1200L);
        settings.put("bounds", bounds);
        settings.put("platform", platform);
        return settings;
    }

    /** Waits until all gateways are ready. */
    boolean awaitReady(int seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int index = 0; index < ips.size(); index++) {
            while (!isReady(index)) {
                if (System.nanoTime() > end) {
                    return false;
                }
                Platform.sleep(100);
            }
        }
        return true;
    }

    boolean isReady(int index) {
        try {
            return Net.call(
                                    ip(index),
                                    base + READINESS,
                                    "GET /readyz",
                                    Map.of("Host", "x"),
                                    new byte[0],
                                    1000)
                            .status()
                    == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    @Override
    public void close() {
        closing.set(true);
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }
}
