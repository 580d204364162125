package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
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
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.RowKey;
import org.fuchsiaspindle.platform.store.RowPage;
import org.fuchsiaspindle.platform.store.RowTransaction;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews this process's row in the store and takes over the jobs of processes that no longer do.
 *
 * <p>A wrong judgement costs work that runs twice and nothing else: the owner of a job is the one
 * that its row names, and results are listed only under the condition that the row is unchanged.
 * Confined to the event loop of the request path.
 */
public final class JobOwnership {

    private static final Logger LOG = LoggerFactory.getLogger(JobOwnership.class);

    private static final String MEMBERS = "member";
    private static final Duration RENEWAL = Duration.ofMillis(1000);
    private static final Duration CHECK = Duration.ofMillis(400);

    /**
     * Time between two reads of the renewals while all owners answer their peers and reach the
     * store. A lost owner that fell silent without closing its connections is found later by up to
     * this time.
     */
    private static final Duration CALM_READ = Duration.ofMillis(1200);

    private final EventLoop loop;
    private final StoreClient rows;
    private final JobStore store;
    private final JobTable table;
    private final JobRunner runner;
    private final JobOwner self;
    private final Predicate<JobOwner> connected;
    private final OwnerLiveness liveness = new OwnerLiveness();
    private final Map<String, Long> orphanSince = new HashMap<>();
    private final Set<String> taking = new HashSet<>();
    private long lastReadNanos = System.nanoTime();
    private boolean reading;
    private boolean renewing;
    private boolean stopping;

    private JobOwnership(
            EventLoop loop,
            StoreClient rows,
            JobStore store,
            JobTable table,
            JobRunner runner,
            JobOwner self,
            Predicate<JobOwner> connected) {
        this.loop = loop;
        this.rows = rows;
        this.store = store;
        this.table = table;
        this.runner = runner;
        this.self = self;
        this.connected = connected;
    }

    /**
     * Starts to renew the own row and to look for jobs without a living owner.
     *
     * @param loop its event loop
     * @param rows the store
     * @param store the stored jobs
     * @param table the known jobs
     * @param runner runs the jobs that are taken over
     * @param self this process as an owner
     * @param connected whether an owner answers its peers and reaches the store; it saves reads and
     *     decides nothing else
     */
    public static JobOwnership start(
            EventLoop loop,
            StoreClient rows,
            JobStore store,
            JobTable table,
            JobRunner runner,
            JobOwner self,
            Predicate<JobOwner> connected) {
        JobOwnership ownership =
                new JobOwnership(
                        checkNotNull(loop, "loop"),
                        checkNotNull(rows, "rows"),
                        checkNotNull(store, "store"),
                        checkNotNull(table, "table"),
                        checkNotNull(runner, "runner"),
                        checkNotNull(self, "self"),
                        checkNotNull(connected, "connected"));
        table.addListener(ownership::jobChanged);
        loop.execute(ownership::renew);
        loop.scheduleAtFixedRate(
                ownership::renew, RENEWAL.toMillis(), RENEWAL.toMillis(), TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                ownership::check, CHECK.toMillis(), CHECK.toMillis(), TimeUnit.MILLISECONDS);
        return ownership;
    }

    /** Stops renewing and taking over, and removes the own row, so that others need not wait. */
    public void stop() {
        stopping = true;
        RowKey own = new RowKey(MEMBERS, "", self.ip());
        rows.commit(RowTransaction.inPartition("").remove(own).build())
                .thenAccept(result -> LOG.info("batch: own row removed result={}", result));
    }

    private void jobChanged(VersionedJob job) {
        if (job.job().isOpen() && job.job().owner().equals(JobOwner.NONE)) {
            check();
        }
    }

    private void renew() {
        if (renewing || stopping) {
            return;
        }
        renewing = true;
        RowTransaction renewal =
                RowTransaction.inPartition("")
                        .write(
                                new RowKey(MEMBERS, "", self.ip()),
                                self.incarnation().getBytes(StandardCharsets.UTF_8))
                        .build();
        rows.commit(renewal)
                .whenCompleteAsync(
                        (result, failure) -> {
                            renewing = false;
                            if (!(result instanceof CommitResult.Committed)) {
                                LOG.info("batch: renewal not stored result={}", result);
                            }
                        },
                        loop);
    }

    private void check() {
        if (reading || stopping || !isReadDue()) {
            return;
        }
        reading = true;
        lastReadNanos = System.nanoTime();
        rows.rows(MEMBERS, "", "", "")
                .whenCompleteAsync(
                        (page, failure) -> {
                            reading = false;
                            if (failure == null) {
                                judge(page);
                            }
                        },
                        loop);
    }

    private boolean isReadDue() {
        boolean calmReadDue = System.nanoTime() - lastReadNanos > CALM_READ.toNanos();
        return table.jobs().stream()
                .map(VersionedJob::job)
                .filter(job -> job.isOpen() && !runner.holds(job.id()))
                .anyMatch(job -> calmReadDue || !connected.test(job.owner()));
    }

    private void judge(RowPage page) {
        long now = System.nanoTime();
        Map<String, OwnerLiveness.Renewal> members = new HashMap<>();
        for (StoredRow row : page.rows()) {
            String incarnation = new String(row.value(), StandardCharsets.UTF_8);
            members.put(row.key().key(), new OwnerLiveness.Renewal(incarnation, row.version()));
        }
        liveness.update(members, now);
        for (VersionedJob job : List.copyOf(table.jobs())) {
            judge(job, now);
        }
    }

    private void judge(VersionedJob job, long now) {
        JobRecord record = job.job();
        if (!record.isOpen() || runner.holds(record.id())) {
            orphanSince.remove(record.id());
            return;
        }
        if (record.owner().equals(self)) {
            // The answer to an own takeover or acceptance was lost.
            runner.load(job);
        } else if (liveness.isLost(record.owner())) {
            long since = orphanSince.computeIfAbsent(record.id(), id -> now);
            Duration orphanFor = Duration.ofNanos(now - since);
            if (Takeover.isDue(record.id(), self.ip(), liveness.liveIps(), orphanFor)) {
                take(job);
            }
        } else {
            orphanSince.remove(record.id());
        }
    }

    private void take(VersionedJob job) {
        String id = job.job().id();
        if (!taking.add(id)) {
            return;
        }
        JobRecord taken = job.job().ownedBy(self);
        store.update(taken, job.version(), List.of())
                .whenCompleteAsync(
                        (result, failure) -> {
                            taking.remove(id);
                            taken(job, taken, result);
                        },
                        loop);
    }

    private void taken(VersionedJob before, JobRecord taken, CommitResult result) {
        switch (result) {
            case CommitResult.Committed done -> {
                LOG.info(
                        "batch: taken over job={} from={} epoch={}",
                        taken.id(),
                        before.job().owner().ip(),
                        taken.epoch());
                VersionedJob own = new VersionedJob(taken, done.version());
                table.offer(own);
                runner.load(own);
            }
            case CommitResult.Conflict conflict ->
                    conflict.rows().stream()
                            .findFirst()
                            .flatMap(JobStore::decode)
                            .ifPresent(table::offer);
            case CommitResult.NotDone notDone ->
                    LOG.info("batch: not taken over job={} reason={}", taken.id(), notDone);
            case CommitResult.Unknown unknown ->
                    LOG.info("batch: takeover open job={} reason={}", taken.id(), unknown);
            case null -> LOG.warn("batch: takeover failed job={}", taken.id());
        }
    }
}
