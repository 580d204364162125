package org.fuchsiaspindle.daemon;

import java.time.Duration;
import java.util.concurrent.Callable;
import org.fuchsiaspindle.daemon.entry.EntryDaemon;
import org.fuchsiaspindle.daemon.settings.Addresses;
import org.fuchsiaspindle.daemon.settings.EntrySettings;
import org.fuchsiaspindle.daemon.settings.ProcessOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs an entry until the process receives a termination signal. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description = "Runs an entry, which accepts callers' requests and routes them to targets.")
final class EntryCommand implements Callable<Integer> {

    @Mixin private ProcessOptions process = new ProcessOptions();

    @Option(
            names = "--http-listen",
            defaultValue = "127.0.0.1:7480",
            description =
                    "Listen address IP:port for callers and operators (default: ${DEFAULT-VALUE}).")
    private String httpListen;

    @Option(
            names = "--bootstrap-operator-key-sha256",
            defaultValue = "",
            description =
                    "SHA-256 digest of an operator key that is valid while the configuration holds"
                            + " no operator keys.")
    private String bootstrapOperatorKeySha256;

    @Option(
            names = "--max-body-bytes",
            defaultValue = "4194304",
            description =
                    "Maximum size in bytes of a request body other than a file upload (default:"
                            + " ${DEFAULT-VALUE}).")
    private long maxBodyBytes;

    @Option(
            names = "--balancer-delay-ms",
            defaultValue = "2000",
            description =
                    "Milliseconds between reporting not ready and refusing new requests during a"
                            + " planned stop (default: ${DEFAULT-VALUE}).")
    private long balancerDelayMs;

    @Override
    public Integer call() {
        EntrySettings settings =
                new EntrySettings(
                        process.settings(),
                        Addresses.parse("--http-listen", httpListen),
                        bootstrapOperatorKeySha256,
                        maxBodyBytes,
                        Duration.ofMillis(balancerDelayMs));
        EntryDaemon daemon = EntryDaemon.start(settings);
        Shutdown.awaitAndRun(daemon::stop);
        return 0;
    }
}
