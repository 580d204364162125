package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.job.RecentJobs;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.platform.store.RowKey;
import org.fuchsiaspindle.platform.store.StoredRow;

/**
 * Bounds the waiting tokens of each workspace on each route over all gateways.
 *
 * <p>A job on a limited route is stored together with a new version of the row of recent jobs, on
 * the condition that the row still is as it was when the tokens were summed. Another acceptance in
 * between fails the condition, and the sum is taken again. Confined to the event loop of the
 * request path.
 */
final class WaitingLimit {

    private final JobTable jobTable;
    private final Map<RowKey, RecentJobsRow> rows = new HashMap<>();

    WaitingLimit(JobTable jobTable) {
        this.jobTable = checkNotNull(jobTable, "jobTable");
    }

    /** Returns whether a new job exceeds the limit, as far as this gateway knows. */
    boolean isExceededBy(JobRecord job, Route route) {
        if (!isLimited(route)) {
            return false;
        }
        long recentTokens =
                row(job).jobs()
                        .unknownTokens(id -> jobTable.job(id).isPresent(), job.acceptedAtMillis());
        long total =
                jobTable.waitingTokens(job.route(), job.workspace())
                        + recentTokens
                        + job.waitingTokens();
        return total > route.batch().orElseThrow().maxWaitingTokens();
    }

    /**
     * Returns the row to store together with a new job, with the version that it must have until
     * then; empty if the route has no limit.
     */
    Optional<RecentJobsRow> rowWith(JobRecord job, Route route) {
        if (!isLimited(route)) {
            return Optional.empty();
        }
        RecentJobsRow row = row(job);
        RecentJobs.RecentJob added =
                new RecentJobs.RecentJob(job.id(), job.waitingTokens(), job.acceptedAtMillis());
        return Optional.of(new RecentJobsRow(row.key(), row.version(), row.jobs().with(added)));
    }

    /** Records that a row was stored with a job. */
    void committed(RecentJobsRow stored, long version) {
        rows.put(stored.key(), new RecentJobsRow(stored.key(), version, stored.jobs()));
    }

    /** Records the current rows that a conflict returned. */
    void conflicted(RecentJobsRow expected, List<StoredRow> currentRows) {
        rows.put(expected.key(), RecentJobsRow.of(expected.key(), currentRows));
    }

    private RecentJobsRow row(JobRecord job) {
        RowKey key = RecentJobsRow.key(job.workspace(), job.route());
        return rows.getOrDefault(key, RecentJobsRow.unknown(key));
    }

    private static boolean isLimited(Route route) {
        return route.batch().map(limits -> limits.maxWaitingTokens() > 0).orElse(false);
    }
}
