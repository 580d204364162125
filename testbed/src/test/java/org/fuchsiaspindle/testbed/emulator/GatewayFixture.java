package org.fuchsiaspindle.testbed.emulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

/** Routes, request headers and polling methods shared by the gateway tests. */
final class GatewayFixture {

    static final String SAFE = "/check/";
    static final String UNSAFE = "/order/";
    static final String STREAM = "/hint/";
    static final String RESUMABLE = "/resume/";
    static final String BATCH = "/batch/";

    /** Below {@link #BATCH}; its jobs are stored with a single write, as they need no room. */
    static final String UNLIMITED = "unlimited/";

    private GatewayFixture() {}

    static void configureAll(PlatformEmulator platform) {
        platform.configure(allRoutes());
    }

    static String[] allRoutes() {
        return new String[] {
            PlatformEmulator.route("safe", SAFE, "safe", "plain", 3, ""),
            PlatformEmulator.route("unsafe", UNSAFE, "unsafe", "plain", 1, ""),
            PlatformEmulator.route("stream", STREAM, "streaming", "model", 1, ""),
            PlatformEmulator.route(
                    "resumable", RESUMABLE, "streaming", "model", 3, ",\"resumable\":true"),
            PlatformEmulator.route(
                    "batch",
                    BATCH,
                    "batch",
                    "model",
                    3,
                    ",\"deadlineMs\":18000,\"retentionS\":60,\"maxQueued\":100000"),
            PlatformEmulator.route(
                    "unlimited",
                    BATCH + UNLIMITED,
                    "batch",
                    "model",
                    3,
                    ",\"deadlineMs\":18000,\"retentionS\":60")
        };
    }

    static Map<String, String> headers(String id) {
        return Map.of("Attempt-Id", id, "Deadline-Ms", "4000");
    }

    static Map<String, String> streamHeaders(String id, int events) {
        return Map.of("Attempt-Id", id, "Deadline-Ms", "4000", "X-Events", String.valueOf(events));
    }

    /** Starts gateways, and returns their addresses when all of them serve requests. */
    static List<String> startGateways(PlatformEmulator platform, int count) throws Exception {
        List<String> ips = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            ips.add(platform.startGateway(number));
        }
        awaitReady(platform, ips.toArray(String[]::new));
        return ips;
    }

    /** Waits until the gateways together know a number of targets that accept requests. */
    static void awaitTargets(PlatformEmulator platform, int targets) throws Exception {
        await(
                targets + " targets known",
                () -> platform.metric("fuchsiaspindle_targets") == targets);
    }

    /** Waits until a condition is met; the failure message contains the description. */
    static void await(String description, Callable<Boolean> condition) throws Exception {
        await(description, Duration.ofSeconds(15), condition);
    }

    static void await(String description, Duration limit, Callable<Boolean> condition)
            throws Exception {
        long deadline = System.nanoTime() + limit.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("condition not met within " + limit + ": " + description);
            }
            Thread.sleep(10);
        }
    }

    static void awaitReady(PlatformEmulator platform, String... ips) throws Exception {
        for (String ip : ips) {
            await(ip + " ready", () -> platform.gateway(ip).isReady());
            await(
                    ip + " serves",
                    () ->
                            platform.client(ip)
                                            .call("GET", SAFE + "ready", headers("probe"), "")
                                            .status()
                                    == 200);
        }
    }
}
