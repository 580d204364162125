package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient;
import org.fuchsiaspindle.testbed.emulator.EmulatorJobs;
import org.fuchsiaspindle.testbed.emulator.EmulatorLoad;
import org.fuchsiaspindle.testbed.emulator.PlatformEmulator;
import org.fuchsiaspindle.testbed.fleet.Ports;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs a gateway that records the ahead-of-time cache of the deployment.
 *
 * <p>The gateway and a peer serve online requests and a batch job of an emulated platform, so that
 * the cache holds the classes that a gateway needs until it serves, not only until it listens.
 */
@Command(
        name = "train-startup",
        mixinStandardHelpOptions = true,
        description = "Records the ahead-of-time cache of the built gateway.")
final class StartupTraining implements Callable<Integer> {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(2);
    private static final Duration LOAD_DURATION = Duration.ofSeconds(2);
    private static final double REQUESTS_PER_SECOND = 30;
    private static final int EVENTS = 5;
    private static final int ENGINES = 2;
    private static final int SLOTS = 4;
    private static final String JOB = "training";

    @Parameters(index = "0", description = "File to write the cache to.")
    private Path cache;

    @Option(names = "--root", defaultValue = ".", description = "Root of the built repository.")
    private Path root;

    @Override
    public Integer call() throws IOException, InterruptedException {
        int peerPort = Ports.allocate();
        List<String> command = DeployFile.gatewayCommand(root);
        try (PlatformEmulator platform = startPlatform();
                GatewayProcess peer = GatewayProcess.start(platform, 1, peerPort, root, command);
                GatewayProcess trained =
                        GatewayProcess.start(platform, 2, peerPort, root, recording(command))) {
            Waiting.until("the peer", TIMEOUT, () -> peer.isReady(ENGINES));
            Waiting.until("the trained gateway", TIMEOUT, () -> trained.isReady(ENGINES));
            exercise(trained, List.of(trained.client(), peer.client()));
            boolean ended = trained.stop(TIMEOUT);
            trained.log().stream()
                    .filter(line -> line.contains("AOT"))
                    .forEach(System.out::println);
            return ended ? 0 : 1;
        } finally {
            Ports.release(peerPort);
        }
    }

    /** Replaces the use of a cache by its recording. */
    private List<String> recording(List<String> command) {
        List<String> recording = new ArrayList<>();
        recording.add(command.getFirst());
        recording.add("-XX:AOTCacheOutput=" + cache);
        command.stream()
                .skip(1)
                .filter(word -> !word.startsWith("-XX:SharedArchiveFile"))
                .filter(word -> !word.startsWith("-Xlog"))
                .forEach(recording::add);
        return recording;
    }

    private static PlatformEmulator startPlatform() {
        PlatformEmulator platform = PlatformEmulator.start();
        BenchRoutes.configure(platform);
        for (int i = 0; i < ENGINES; i++) {
            platform.addEngine("engine-" + i, PlatformEmulator.MODEL, SLOTS, EVENT_INTERVAL);
        }
        return platform;
    }

    private static void exercise(GatewayProcess gateway, List<EmulatorClient> clients)
            throws IOException, InterruptedException {
        EmulatorClient client = clients.getFirst();
        call(client, "POST", "/batch/x", EmulatorJobs.submission(JOB, 2, EVENTS));
        EmulatorLoad.of(clients, "/hint/x", EVENTS, 1).run(REQUESTS_PER_SECOND, LOAD_DURATION);
        call(client, "GET", "/lots/" + JOB, "");
        call(client, "GET", "/unknown", "");
        gateway.metrics();
    }

    private static void call(EmulatorClient client, String method, String path, String body)
            throws IOException {
        Map<String, String> headers =
                Map.of("Attempt-Id", JOB, "Deadline-Ms", "4000", "X-Events", "1");
        client.call(method, path, headers, body);
    }
}
