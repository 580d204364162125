package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.job.ListedItem;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the results of jobs, with at most one transaction in progress per job.
 *
 * <p>If the outcome of a transaction is unknown, the row of the job is read before the next one. No
 * transaction is based on an older version of the row, so each position receives exactly one
 * result. Confined to the event loop of the request path.
 */
final class JobCommitter {

    private static final Logger LOG = LoggerFactory.getLogger(JobCommitter.class);
    private static final Duration RELEASE_RETRY_DELAY = Duration.ofMillis(10);
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final EventLoop loop;
    private final JobStore jobStore;
    private final JobTable jobTable;
    private final JobOwner self;
    private final Consumer<OwnedJob> ownershipLostListener;

    JobCommitter(
            EventLoop loop,
            JobStore jobStore,
            JobTable jobTable,
            JobOwner self,
            Consumer<OwnedJob> ownershipLostListener) {
        this.loop = checkNotNull(loop, "loop");
        this.jobStore = checkNotNull(jobStore, "jobStore");
        this.jobTable = checkNotNull(jobTable, "jobTable");
        this.self = checkNotNull(self, "self");
        this.ownershipLostListener = checkNotNull(ownershipLostListener, "ownershipLostListener");
    }

    /** Stores the finished items of a job, unless a transaction of the job is in progress. */
    void commit(OwnedJob owned) {
        List<ItemRun> finishedRuns = owned.finishedRuns();
        boolean nothingToStore = finishedRuns.isEmpty() && !owned.hasFailuresToStore();
        if (owned.isCommitting()
                || nothingToStore
                || System.nanoTime() - owned.retryAtNanos() < 0) {
            return;
        }
        JobRecord job = owned.job();
        List<ListedItem> results = new ArrayList<>();
        List<JobStore.ResultText> resultTexts = new ArrayList<>();
        int bytes = 0;
        int rows = 0;
        for (ItemRun run : finishedRuns) {
            byte[] text = run.result();
            int chunks = JobStore.chunks(text);
            boolean transactionFull =
                    bytes + text.length > JobStore.MAX_COMMIT_BYTES
                            || rows + chunks > JobStore.MAX_COMMIT_ROWS;
            if (!results.isEmpty() && transactionFull) {
                break;
            }
            bytes += text.length;
            rows += chunks;
            int position = job.listed().size() + results.size();
            resultTexts.add(new JobStore.ResultText(position, text));
            results.add(new ListedItem(run.index(), run.item().id(), run.isCompleted(), chunks));
        }
        Set<Integer> listed = new HashSet<>(job.listedItems());
        results.forEach(result -> listed.add(result.item()));
        JobRecord updated =
                job.withResults(results, job.ended() ? 0 : owned.tokensOfUnlistedItems(listed))
                        .withFailures(owned.failures());
        long failureChanges = owned.failureChanges();
        owned.setCommitting(true);
        jobStore.update(updated, owned.stored().version(), resultTexts)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (result instanceof CommitResult.Committed) {
                                owned.failuresStored(failureChanges);
                            }
                            handleResult(owned, updated, result, failure);
                        },
                        loop);
    }

    /** Stores the progress of unfinished items, which bounds the work lost if a gateway fails. */
    void checkpoint(OwnedJob owned) {
        if (owned.isCommitting()) {
            return;
        }
        Map<Integer, ItemProgress> progress = owned.pollProgress();
        if (progress.isEmpty()) {
            return;
        }
        owned.setCommitting(true);
        jobStore.checkpoint(owned.job(), owned.stored().version(), false, progress)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (result instanceof CommitResult.Conflict conflict) {
                                reconcile(owned, currentJob(conflict.rows()));
                            } else {
                                owned.setCommitting(false);
                                commit(owned);
                            }
                        },
                        loop);
    }

    /** Stores a job without an owner and with its progress, so that another gateway resumes it. */
    void release(OwnedJob owned) {
        if (owned.isCommitting()) {
            loop.schedule(
                    () -> release(owned), RELEASE_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        JobRecord released = owned.job().ownedBy(JobOwner.NONE);
        owned.setCommitting(true);
        jobStore.checkpoint(released, owned.stored().version(), true, owned.pollProgress())
                .whenCompleteAsync(
                        (result, failure) -> handleResult(owned, released, result, failure), loop);
    }

    private void handleResult(
            OwnedJob owned, JobRecord updated, CommitResult result, Throwable failure) {
        if (failure != null) {
            LOG.error("batch: commit failed job={}", owned.id(), failure);
            resolveOutcome(owned);
            return;
        }
        switch (result) {
            case CommitResult.Committed committed -> {
                VersionedJob newJob = new VersionedJob(updated, committed.version());
                reconcile(owned, Optional.of(newJob));
            }
            case CommitResult.Conflict conflict -> reconcile(owned, currentJob(conflict.rows()));
            case CommitResult.NotDone notDone -> {
                LOG.info("batch: not stored job={} reason={}", owned.id(), notDone.reason());
                owned.setCommitting(false);
                scheduleRetry(owned);
            }
            case CommitResult.Unknown unknown -> {
                LOG.info(
                        "batch: commit outcome unknown job={} reason={}",
                        owned.id(),
                        unknown.reason());
                resolveOutcome(owned);
            }
        }
    }

    private static Optional<VersionedJob> currentJob(List<StoredRow> rows) {
        return rows.stream().findFirst().flatMap(JobStore::decode);
    }

    /** Reads the row of a job to find out whether a transaction was applied. */
    private void resolveOutcome(OwnedJob owned) {
        jobStore.read(owned.id())
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null) {
                                loop.schedule(
                                        () -> resolveOutcome(owned),
                                        RETRY_DELAY.toMillis(),
                                        TimeUnit.MILLISECONDS);
                            } else {
                                reconcile(owned, found);
                            }
                        },
                        loop);
    }

    /** Continues from the current row of the job, or drops the job if it has another owner. */
    private void reconcile(OwnedJob owned, Optional<VersionedJob> current) {
        owned.setCommitting(false);
        if (current.isEmpty()) {
            LOG.error("batch: job row missing job={}", owned.id());
            ownershipLostListener.accept(owned);
            return;
        }
        jobTable.offer(current.get());
        if (!current.get().job().owner().equals(self)) {
            ownershipLostListener.accept(owned);
            return;
        }
        owned.rebase(current.get());
        commit(owned);
    }

    private void scheduleRetry(OwnedJob owned) {
        owned.setRetryAtNanos(System.nanoTime() + RETRY_DELAY.toNanos());
        loop.schedule(() -> commit(owned), RETRY_DELAY.toMillis() + 1, TimeUnit.MILLISECONDS);
    }
}
