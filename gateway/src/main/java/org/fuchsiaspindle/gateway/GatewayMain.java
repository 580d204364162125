package org.fuchsiaspindle.gateway;

import com.google.common.primitives.Ints;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.settings.ProcessSettings;
import org.fuchsiaspindle.platform.settings.SettingsFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Entry point of the gateway daemon, which reads the platform's settings file. */
public final class GatewayMain {

    private static final Logger LOG = LoggerFactory.getLogger(GatewayMain.class);

    /** Exit code for an invalid setting. */
    static final int EXIT_INVALID_SETTING = 2;

    /** Exit code for a start that failed for any other reason. */
    static final int EXIT_START_FAILED = 3;

    /** Environment variable with the port that serves metrics; unset or empty for none. */
    static final String METRICS_PORT = "FUCHSIASPINDLE_METRICS_PORT";

    private static final int MAX_PORT = 65_535;

    private GatewayMain() {}

    /** Runs the gateway until the process receives {@code SIGTERM}. */
    public static void main(String[] args) {
        // Libraries look for optional configuration files with this class loader; a search of the
        // class path would open every jar, although all classes come from the cache.
        Thread.currentThread().setContextClassLoader(ClassLoader.getPlatformClassLoader());
        // The platform sends SIGHUP when the settings change; without a handler it would end the
        // JVM.
        ProcessSignals.handle(
                "HUP",
                () -> LOG.info("settings: reload signal ignored, the gateway has not started yet"));
        Optional<Path> settingsPath =
                Optional.ofNullable(System.getenv(SettingsFile.ENVIRONMENT_VARIABLE)).map(Path::of);
        try {
            run(settingsPath.orElseThrow(() -> missing(SettingsFile.ENVIRONMENT_VARIABLE)));
        } catch (FuchsiaspindleException failure) {
            LOG.error(
                    "error {} {}: {}",
                    failure.code().number(),
                    failure.code(),
                    failure.getMessage());
            System.exit(
                    failure.code() == ResultCode.INVALID_SETTING
                            ? EXIT_INVALID_SETTING
                            : EXIT_START_FAILED);
        }
    }

    private static void run(Path settingsPath) {
        ProcessSettings settings = SettingsFile.read(settingsPath);
        Gateway gateway =
                Gateway.start(settings, metricsPort(), incarnation(settings.ip(), Clock.system()));
        SettingsReloader reloader = SettingsReloader.start(settingsPath, gateway);
        ProcessSignals.handle("HUP", reloader::requestReload);
        AtomicBoolean stopRequested = new AtomicBoolean();
        ProcessSignals.handle(
                "TERM",
                () -> {
                    if (stopRequested.compareAndSet(false, true)) {
                        gateway.stop().thenRun(() -> System.exit(0));
                    }
                });
    }

    /**
     * Returns an identifier of this start, which no other start at the same address has. It is not
     * secret, so no security provider is loaded for it.
     */
    private static String incarnation(String ip, Clock clock) {
        Instant now = clock.wallTime();
        int seed = Objects.hash(ip, now, clock.nanoTime());
        long time = now.toEpochMilli() << Integer.SIZE;
        return Ids.create("", new SplittableRandom(time + seed));
    }

    private static OptionalInt metricsPort() {
        String value = System.getenv(METRICS_PORT);
        if (value == null || value.isEmpty()) {
            return OptionalInt.empty();
        }
        Integer port = Ints.tryParse(value);
        if (port == null || port < 1 || port > MAX_PORT) {
            throw new FuchsiaspindleException(
                    ResultCode.INVALID_SETTING, METRICS_PORT + " is not a port: " + value);
        }
        return OptionalInt.of(port);
    }

    private static FuchsiaspindleException missing(String variable) {
        return new FuchsiaspindleException(
                ResultCode.INVALID_SETTING, "environment variable " + variable + " is not set");
    }
}
