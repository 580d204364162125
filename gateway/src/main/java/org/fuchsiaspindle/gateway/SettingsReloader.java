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
 * Reloads the settings file when it has changed or when the process is signalled.
 *
 * <p>Only the addresses of other gateways can change at run time; all other settings take effect at
 * the next start. A file that is invalid is logged and ignored.
 */
final class SettingsReloader {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsReloader.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

    private final Path path;
    private final Gateway gateway;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> Thread.ofPlatform().daemon().name("settings").unstarted(task));
    private FileTime lastModified;

    private SettingsReloader(Path path, Gateway gateway) {
        this.path = path;
        this.gateway = gateway;
        this.lastModified = modificationTime();
    }

    /** Starts to check the file for changes periodically. */
    static SettingsReloader start(Path path, Gateway gateway) {
        SettingsReloader reloader =
                new SettingsReloader(checkNotNull(path, "path"), checkNotNull(gateway, "gateway"));
        reloader.executor.scheduleWithFixedDelay(
                reloader::check,
                CHECK_INTERVAL.toMillis(),
                CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        return reloader;
    }

    /** Schedules a reload of the file and returns immediately. */
    void requestReload() {
        executor.execute(this::reload);
    }

    private void check() {
        FileTime modified = modificationTime();
        if (!modified.equals(lastModified)) {
            lastModified = modified;
            reload();
        }
    }

    private void reload() {
        try {
            ProcessSettings settings = SettingsFile.read(path);
            LOG.info("settings: reloaded peers={}", settings.peerIps());
            gateway.addPeers(settings.peerIps());
        } catch (FuchsiaspindleException failure) {
            LOG.error("settings: change ignored reason={}", failure.getMessage());
        }
    }

    private FileTime modificationTime() {
        try {
            return Files.getLastModifiedTime(path);
        } catch (IOException failure) {
            LOG.warn(
                    "settings: modification time of the file not available reason={}",
                    failure.getMessage());
            return FileTime.fromMillis(0);
        }
    }
}
