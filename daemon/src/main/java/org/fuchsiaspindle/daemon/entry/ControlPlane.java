package org.fuchsiaspindle.daemon.entry;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.admin.AdminApi;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.entry.batch.JobDirectory;
import org.fuchsiaspindle.daemon.entry.batch.PeerConfirmedJobDirectory;
import org.fuchsiaspindle.daemon.fleet.ConfigStore;
import org.fuchsiaspindle.daemon.fleet.FleetVersions;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.daemon.fleet.Membership;
import org.fuchsiaspindle.daemon.fleet.PeerStatuses;
import org.fuchsiaspindle.daemon.settings.ProcessSettings;
import org.fuchsiaspindle.wire.proto.PeerStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The components of an entry that track the configuration and the state of other processes. */
final class ControlPlane implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);

    /**
     * Peers' confirmations older than this are ignored; dispatch requires a job directory that is
     * at most 2.5 s old.
     */
    private static final long MAX_CONFIRMATION_AGE_MS = 10_000;

    private final Clock clock;
    private final Membership membership;
    private final PeerStatuses statuses;
    private final ConfigStore config;
    private final FleetVersions versions;
    private final ExecutorService worker =
            Executors.newSingleThreadExecutor(
                    Thread.ofPlatform().daemon().name("config-messages").factory());

    ControlPlane(
            ProcessSettings process,
            EntryPlatform platform,
            FrameDispatcher frames,
            Membership membership,
            LoadReports reports,
            RandomGenerator random) {
        this.clock = platform.clock();
        this.membership = membership;
        this.statuses = PeerStatuses.create(frames, membership, clock);
        this.config =
                ConfigStore.create(
                        process.instanceId(),
                        process.dataCentre(),
                        platform.table(),
                        frames,
                        membership,
                        statuses,
                        reports,
                        clock,
                        random,
                        worker);
        this.versions =
                FleetVersions.create(
                        process.instanceId(),
                        () -> config.current().version(),
                        membership,
                        reports,
                        statuses,
                        clock);
        membership.setDrainedPredicate(this::isDrained);
    }

    void start() {
        membership.start();
        statuses.start();
        config.start();
    }

    ConfigStore config() {
        return config;
    }

    PeerStatuses statuses() {
        return statuses;
    }

    AdminApi adminApi(
            CallerAuthentication authentication,
            LoadReports reports,
            Clock clock,
            RandomGenerator random) {
        return AdminApi.create(
                authentication, config, membership, versions, reports, clock, random);
    }

    /**
     * Wraps the directory of open jobs so that this entry shares its table reads with other
     * entries.
     */
    JobDirectory sharedDirectory(JobDirectory table) {
        PeerConfirmedJobDirectory directory =
                PeerConfirmedJobDirectory.create(
                        table, config::isReader, this::jobConfirmations, clock);
        statuses.addContributor(status -> putDirectoryVersion(directory.current(), status));
        statuses.onStatus(
                (connection, status) -> {
                    if (directory.isBehind()) {
                        Thread.ofVirtual().name("job-directory").start(() -> catchUp(directory));
                    }
                });
        return directory;
    }

    private static void catchUp(PeerConfirmedJobDirectory directory) {
        try {
            directory.catchUp();
        } catch (FuchsiaspindleException e) {
            LOG.debug("batch: cannot read the job directory reason=\"{}\"", e.getMessage());
        }
    }

    private void putDirectoryVersion(JobDirectory.Snapshot snapshot, PeerStatus.Builder status) {
        if (snapshot.confirmed()) {
            status.setJobDirectoryVersion(snapshot.version())
                    .setJobDirectoryAgeMs(snapshot.age(clock.nanoTime()).toMillis());
        } else {
            status.setJobDirectoryAgeMs(Long.MAX_VALUE);
        }
    }

    private List<PeerConfirmedJobDirectory.Confirmation> jobConfirmations() {
        return statuses.all().stream()
                .filter(peer -> peer.status().getJobDirectoryAgeMs() <= MAX_CONFIRMATION_AGE_MS)
                .map(ControlPlane::confirmation)
                .toList();
    }

    private static PeerConfirmedJobDirectory.Confirmation confirmation(PeerStatuses.Received peer) {
        long ageNanos = MILLISECONDS.toNanos(peer.status().getJobDirectoryAgeMs());
        return new PeerConfirmedJobDirectory.Confirmation(
                peer.status().getJobDirectoryVersion(), peer.sentNanos() - ageNanos);
    }

    @Override
    public void close() {
        config.close();
        statuses.close();
        worker.shutdownNow();
    }

    private boolean isDrained(String instanceId) {
        return config.current().drained().contains(instanceId);
    }
}
