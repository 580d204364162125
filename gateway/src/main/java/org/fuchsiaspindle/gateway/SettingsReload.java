package org.fuchsiaspindle.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.platform.settings.ProcessSettings;
import org.fuchsiaspindle.platform.settings.SettingsFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over settings that change while the process runs, with or without a signal.
 *
 * <p>Only the addresses of other gateways can change at run time; everything else is in force from
 * the next start. A file that cannot be read is logged and ignored.
 */
final class SettingsReload {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsReload.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

    private final Path path;
    private final Gateway gateway;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> Thread.ofPlatform().daemon().name("settings").unstarted(task));
    private FileTime lastModified;

    private SettingsReload(Path path, Gateway gateway) {
        this.path = path;
        this.gateway = gateway;
        this.lastModified = modified();
    }

    /** Starts to look for changes of the file. */
    static SettingsReload start(Path path, Gateway gateway) {
        SettingsReload reload =
                new SettingsReload(checkNotNull(path, "path"), checkNotNull(gateway, "gateway"));
        reload.executor.scheduleWithFixedDelay(
                reload::check,
                CHECK_INTERVAL.toMillis(),
                CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        return reload;
    }

    /** Reads the file soon. */
    void request() {
        executor.execute(this::reload);
    }

    private void check() {
        FileTime now = modified();
        if (!now.equals(lastModified)) {
            lastModified = now;
            reload();
        }
    }

    private void reload() {
        try {
            ProcessSettings settings = SettingsFile.read(path);
            LOG.info("settings: read again peers={}", settings.peerIps());
            gateway.peersChanged(settings.peerIps());
        } catch (FuchsiaspindleException failure) {
            LOG.error("settings: change ignored reason={}", failure.getMessage());
        }
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(path);
        } catch (IOException failure) {
            LOG.warn("settings: file time not read reason={}", failure.getMessage());
            return FileTime.fromMillis(0);
        }
    }
}
