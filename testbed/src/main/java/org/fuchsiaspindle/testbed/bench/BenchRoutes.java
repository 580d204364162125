package org.fuchsiaspindle.testbed.bench;

import org.fuchsiaspindle.testbed.emulator.PlatformEmulator;

/** The routes of the benches that run gateways on the emulated platform. */
final class BenchRoutes {

    private BenchRoutes() {}

    /** Configures a streaming route at {@code /hint/} and a batch route at {@code /batch/}. */
    static void configure(PlatformEmulator platform) {
        platform.configure(
                PlatformEmulator.route(
                        "hint", "/hint/", "streaming", PlatformEmulator.MODEL, 1, ""),
                PlatformEmulator.route(
                        "batch",
                        "/batch/",
                        "batch",
                        PlatformEmulator.MODEL,
                        3,
                        ",\"priority\":2,\"deadlineMs\":18000,\"retentionS\":60"));
    }
}
