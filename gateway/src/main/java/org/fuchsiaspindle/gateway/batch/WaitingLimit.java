package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.job.RecentJobs;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.RowKey;

/**
 * Bounds the waiting tokens of each workspace on each route over all gateways.
 *
 * <p>Before a job on a limited route is stored, it is added to the stored list of recent jobs, on
 * the condition that the list still is as it was when the tokens were summed. If another gateway
 * has added a job in between, the sum is taken again. Confined to the event loop of the request
 * path.
 */
final class WaitingLimit {

    /** How often other gateways may come first before a reservation is given up. */
    private static final int MAX_CONFLICTS = 16;

    /** About the time of one conditional write; grows with each conflict of a reservation. */
    private static final Duration BACKOFF = Duration.ofMillis(10);

    private static final Duration MAX_BACKOFF = Duration.ofMillis(60);

    private final EventLoop loop;
    private final JobStore jobStore;
    private final JobTable jobTable;
    private final Map<RowKey, RecentJobsRow> rows = new HashMap<>();

    WaitingLimit(EventLoop loop, JobStore jobStore, JobTable jobTable) {
        this.loop = checkNotNull(loop, "loop");
        this.jobStore = checkNotNull(jobStore, "jobStore");
        this.jobTable = checkNotNull(jobTable, "jobTable");
    }

    /** Whether a job may be stored. */
    enum Outcome {
        /** There is room for the job, which now counts at all gateways. */
        RESERVED,
        /** The job exceeds the limit. */
        EXCEEDED,
        /** The waiting jobs are not known, or the store failed; a later attempt may succeed. */
        UNAVAILABLE
    }

    /**
     * Reserves room for the tokens of a new job.
     *
     * @param job the job as it would be stored, not null
     * @param route its route, which has batch limits
     * @param listener receives the outcome on the event loop, now or later
     */
    void reserve(JobRecord job, Route route, Consumer<Outcome> listener) {
        long limit = route.batch().orElseThrow().maxWaitingTokens();
        if (limit == 0) {
            listener.accept(Outcome.RESERVED);
        } else if (!jobTable.isLoaded()) {
            // Only the jobs of the last seconds are in the stored list.
            listener.accept(Outcome.UNAVAILABLE);
        } else {
            reserve(job, limit, 0, listener);
        }
    }

    private void reserve(JobRecord job, long limit, int conflicts, Consumer<Outcome> listener) {
        RowKey key = RecentJobsRow.key(job.workspace(), job.route());
        RecentJobsRow row = rows.getOrDefault(key, RecentJobsRow.unknown(key));
        if (tokensWith(job, row.jobs()) > limit) {
            listener.accept(Outcome.EXCEEDED);
        } else if (row.jobs().contains(job.id(), job.acceptedAtMillis())) {
            listener.accept(Outcome.RESERVED);
        } else if (conflicts > MAX_CONFLICTS) {
            listener.accept(Outcome.UNAVAILABLE);
        } else {
            add(job, row, limit, conflicts, listener);
        }
    }

    /** Returns the waiting tokens of the job's workspace on its route, including the job. */
    private long tokensWith(JobRecord job, RecentJobs recentJobs) {
        long recentTokens =
                recentJobs.unknownTokens(
                        id -> id.equals(job.id()) || jobTable.job(id).isPresent(),
                        job.acceptedAtMillis());
        return jobTable.waitingTokens(job.route(), job.workspace())
                + recentTokens
                + job.waitingTokens();
    }

    private void add(
            JobRecord job,
            RecentJobsRow row,
            long limit,
            int conflicts,
            Consumer<Outcome> listener) {
        RecentJobs jobs =
                row.jobs()
                        .with(
                                new RecentJobs.RecentJob(
                                        job.id(), job.waitingTokens(), job.acceptedAtMillis()));
        jobStore.update(row, jobs)
                .whenCompleteAsync(
                        (result, failure) -> {
                            switch (result) {
                                case CommitResult.Committed committed -> {
                                    learn(new RecentJobsRow(row.key(), committed.version(), jobs));
                                    listener.accept(Outcome.RESERVED);
                                }
                                case CommitResult.Conflict conflict -> {
                                    learn(RecentJobsRow.of(row.key(), conflict.rows()));
                                    retry(job, limit, conflicts + 1, listener);
                                }
                                case CommitResult.NotDone notDone ->
                                        listener.accept(Outcome.UNAVAILABLE);
                                case CommitResult.Unknown unknown ->
                                        listener.accept(Outcome.UNAVAILABLE);
                                case null -> listener.accept(Outcome.UNAVAILABLE);
                            }
                        },
                        loop);
    }

    /**
     * Reserves with the row that a conflict returned. The first conflict says that the known row
     * was old; further ones say that others reserve at the same time, so attempts are spread.
     */
    private void retry(JobRecord job, long limit, int conflicts, Consumer<Outcome> listener) {
        if (conflicts == 1) {
            reserve(job, limit, conflicts, listener);
            return;
        }
        long maxDelay = Math.min(MAX_BACKOFF.toNanos(), conflicts * BACKOFF.toNanos());
        loop.schedule(
                () -> reserve(job, limit, conflicts, listener),
                ThreadLocalRandom.current().nextLong(maxDelay),
                TimeUnit.NANOSECONDS);
    }

    /**
     * Replaces what is known of a row, also by an older version, which a conflict then corrects.
     */
    private void learn(RecentJobsRow row) {
        rows.put(row.key(), row);
    }
}
