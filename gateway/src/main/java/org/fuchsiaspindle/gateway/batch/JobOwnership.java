package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.job.OwnerLiveness;
import org.fuchsiaspindle.core.job.Takeover;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.gateway.watch.MemberTable;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews the membership row of this process and takes over jobs whose owner has stopped renewing.
 *
 * <p>If a live owner is considered lost, some items run twice, but no result is lost or stored
 * twice: the row of a job names its owner, and results are stored only if the row is unchanged.
 * Confined to the event loop of the request path.
 */
public final class JobOwnership {

    private static final Logger LOG = LoggerFactory.getLogger(JobOwnership.class);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1000);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(400);

    /**
     * Time between two reads of the membership rows while all owners send heartbeats and reach the
     * store. It delays the detection of an owner that is lost without closing its connections by up
     * to this time.
     */
    private static final Duration HEALTHY_READ_INTERVAL = Duration.ofMillis(1200);

    private final EventLoop loop;
    private final MemberTable members;
    private final JobStore jobStore;
    private final JobTable jobTable;
    private final JobRunner runner;
    private final JobOwner self;
    private final Predicate<JobOwner> isConnected;
    private final OwnerLiveness liveness = new OwnerLiveness();
    private final Map<String, Long> orphanedSinceNanos = new HashMap<>();
    private final Set<String> takeoversInProgress = new HashSet<>();
    private boolean renewing;
    private boolean stopping;

    private JobOwnership(
            EventLoop loop,
            MemberTable members,
            JobStore jobStore,
            JobTable jobTable,
            JobRunner runner,
            JobOwner self,
            Predicate<JobOwner> isConnected) {
        this.loop = loop;
        this.members = members;
        this.jobStore = jobStore;
        this.jobTable = jobTable;
        this.runner = runner;
        this.self = self;
        this.isConnected = isConnected;
    }

    /**
     * Starts to renew the membership row and to look for jobs without a live owner.
     *
     * @param loop its event loop
     * @param members the rows that the gateways renew
     * @param jobStore the stored jobs
     * @param jobTable the known jobs
     * @param runner runs the jobs that are taken over
     * @param self this process as an owner
     * @param isConnected whether an owner sends heartbeats and reaches the store; it is used only
     *     to save reads, not to decide whether an owner is lost
     */
    public static JobOwnership start(
            EventLoop loop,
            MemberTable members,
            JobStore jobStore,
            JobTable jobTable,
            JobRunner runner,
            JobOwner self,
            Predicate<JobOwner> isConnected) {
        JobOwnership ownership =
                new JobOwnership(
                        checkNotNull(loop, "loop"),
                        checkNotNull(members, "members"),
                        checkNotNull(jobStore, "jobStore"),
                        checkNotNull(jobTable, "jobTable"),
                        checkNotNull(runner, "runner"),
                        checkNotNull(self, "self"),
                        checkNotNull(isConnected, "isConnected"));
        jobTable.addListener(ownership::jobChanged);
        members.addListener(ownership::takeOverIfDue);
        loop.execute(ownership::renew);
        loop.scheduleAtFixedRate(
                ownership::renew,
                RENEWAL_INTERVAL.toMillis(),
                RENEWAL_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                ownership::checkOwners,
                CHECK_INTERVAL.toMillis(),
                CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        return ownership;
    }

    /**
     * Stops renewals and takeovers and deletes the membership row, so that other gateways take over
     * without waiting for it to expire.
     */
    public void stop() {
        stopping = true;
        members.remove()
                .thenAccept(result -> LOG.info("batch: membership row deleted result={}", result));
    }

    private void jobChanged(VersionedJob job) {
        if (job.job().isOpen() && job.job().owner().equals(JobOwner.NONE)) {
            checkOwners();
        }
    }

    private void renew() {
        if (renewing || stopping) {
            return;
        }
        renewing = true;
        members.renew()
                .whenCompleteAsync(
                        (result, failure) -> {
                            renewing = false;
                            if (!(result instanceof CommitResult.Committed)) {
                                LOG.info("batch: membership renewal not stored result={}", result);
                            }
                        },
                        loop);
    }

    private void checkOwners() {
        if (!stopping && isReadDue()) {
            members.read();
        }
    }

    private boolean isReadDue() {
        boolean healthyReadDue =
                System.nanoTime() - members.lastReadNanos() > HEALTHY_READ_INTERVAL.toNanos();
        return jobTable.jobs().stream()
                .map(VersionedJob::job)
                .filter(job -> job.isOpen() && !runner.hasJob(job.id()))
                .anyMatch(job -> healthyReadDue || !isConnected.test(job.owner()));
    }

    private void takeOverIfDue(Map<String, OwnerLiveness.Renewal> rows) {
        long now = System.nanoTime();
        liveness.update(rows, now);
        if (stopping) {
            return;
        }
        for (VersionedJob job : List.copyOf(jobTable.jobs())) {
            takeOverIfDue(job, now);
        }
    }

    private void takeOverIfDue(VersionedJob job, long now) {
        JobRecord record = job.job();
        if (!record.isOpen() || runner.hasJob(record.id())) {
            orphanedSinceNanos.remove(record.id());
            return;
        }
        if (record.owner().equals(self)) {
            // This process created the job or took it over, but did not receive the store's
            // response.
            runner.load(job);
        } else if (liveness.isLost(record.owner())) {
            long sinceNanos = orphanedSinceNanos.computeIfAbsent(record.id(), id -> now);
            Duration orphanedFor = Duration.ofNanos(now - sinceNanos);
            if (Takeover.isDue(record.id(), self.ip(), liveness.liveIps(), orphanedFor)) {
                takeOver(job);
            }
        } else {
            orphanedSinceNanos.remove(record.id());
        }
    }

    private void takeOver(VersionedJob job) {
        String id = job.job().id();
        if (!takeoversInProgress.add(id)) {
            return;
        }
        JobRecord takenOver = job.job().ownedBy(self);
        jobStore.update(takenOver, job.version(), List.of())
                .whenCompleteAsync(
                        (result, failure) -> {
                            takeoversInProgress.remove(id);
                            handleTakeover(job, takenOver, result);
                        },
                        loop);
    }

    private void handleTakeover(VersionedJob previous, JobRecord takenOver, CommitResult result) {
        switch (result) {
            case CommitResult.Committed committed -> {
                LOG.info(
                        "batch: taken over job={} from={} epoch={}",
                        takenOver.id(),
                        previous.job().owner().ip(),
                        takenOver.epoch());
                VersionedJob ownJob = new VersionedJob(takenOver, committed.version());
                jobTable.offer(ownJob);
                runner.load(ownJob);
            }
            case CommitResult.Conflict conflict ->
                    conflict.rows().stream()
                            .findFirst()
                            .flatMap(JobStore::decode)
                            .ifPresent(jobTable::offer);
            case CommitResult.NotDone notDone ->
                    LOG.info("batch: not taken over job={} reason={}", takenOver.id(), notDone);
            case CommitResult.Unknown unknown ->
                    LOG.info(
                            "batch: takeover outcome unknown job={} reason={}",
                            takenOver.id(),
                            unknown);
            case null -> LOG.warn("batch: takeover failed job={}", takenOver.id());
        }
    }
}
