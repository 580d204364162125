package fuchsiareview2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** What all scripts share: the folder of the case, the store, the configuration, the ends. */
final class Setup {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final String STORE_IP = "127.45.0.1";

    /** A script that takes longer than allowed has not run. */
    private static final int MAX_SECONDS = 115;

    /** One script: returns its exit code. */
    interface Script {
        int run(Path root, Path temporary, boolean trouble) throws Exception;
    }

    private Setup() {}

    /** Runs a script whose folder is the first argument, with the root as the second. */
    static void run(String[] arguments, Script script) {
        Path folder = Path.of(arguments[0]);
        Path root = Path.of(arguments[1]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Notes.open(folder.resolve("record.txt"));
        Notes.line("trouble %s", trouble ? "on" : "off");
        Thread.ofVirtual()
                .start(
                        () -> {
                            Platform.sleep(MAX_SECONDS * 1000L);
                            Notes.line("not done in %d s", MAX_SECONDS);
                            System.exit(NOT_RUN);
                        });
        int code = NOT_RUN;
        try {
            Path temporary = Files.createTempDirectory("fuchsiareview2");
            code = script.run(root, temporary, trouble);
            delete(temporary);
        } catch (Throwable failure) {
            Notes.line("the case could not run: %s", failure);
            failure.printStackTrace();
        }
        Notes.line("exit %d", code);
        System.exit(code);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    static Map<String, Object> batchRoute(String service, int attempts) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-batch");
        route.put("host", Lots.HOST);
        route.put("pathPrefix", "/batch/");
        route.put("kind", "batch");
        route.put("timeoutMs", 15000L);
        route.put("goalMs", 400L);
        route.put("priority", 2L);
        route.put("service", service);
        route.put("attempts", (long) attempts);
        route.put("sticky", true);
        route.put("resumable", true);
        route.put("gapTargetMs", 250L);
        route.put("deadlineMs", 18000L);
        route.put("retentionS", 60.0);
        route.put("maxQueued", 1400000L);
        return route;
    }

    static Map<String, Object> service(String name, int slots, long memoryTokens) {
        Map<String, Object> engine = new LinkedHashMap<>();
        engine.put("slots", (long) slots);
        engine.put("kvCapacity", memoryTokens);
        engine.put("stride", 13L);
        engine.put("maxQueued", 12L);
        engine.put("models", List.of(Map.of("name", "m")));
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", name);
        service.put("healthPath", "/healthz");
        service.put("maxConns", 150L);
        service.put("protocol", "h1");
        service.put("tls", false);
        service.put("engine", engine);
        return service;
    }

    static String config(long version, List<Object> routes, List<Object> services) {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("headerBytes", 16384L);
        limits.put("bodyBytes", 4194304L);
        limits.put("headerTimeoutMs", 3000L);
        limits.put("idleTimeoutMs", 15000L);
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put("routes", new ArrayList<>(routes));
        config.put("services", new ArrayList<>(services));
        config.put("limits", limits);
        return Js.write(config);
    }

    static int freePort(String ip) throws IOException {
        return Gateways.freePorts(List.of(ip));
    }
}
