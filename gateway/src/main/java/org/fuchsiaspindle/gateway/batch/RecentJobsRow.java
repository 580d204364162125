package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.fuchsiaspindle.core.job.RecentJobs;
import org.fuchsiaspindle.platform.store.RowKey;
import org.fuchsiaspindle.platform.store.StoredRow;
import org.fuchsiaspindle.wire.peer.StoredRecentJob;
import org.fuchsiaspindle.wire.peer.StoredRecentJobs;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A version of the row with the recent jobs of one workspace on one route.
 *
 * @param key the key of the row, not null
 * @param version the version, 0 if the row does not exist
 * @param jobs the jobs in it, not null
 */
record RecentJobsRow(RowKey key, long version, RecentJobs jobs) {

    private static final Logger LOG = LoggerFactory.getLogger(RecentJobsRow.class);

    private static final String TABLE = "recent";

    /** Partitions over which the rows are spread; the store limits the write rate of each. */
    private static final int PARTITIONS = 16;

    /** Validates the components. */
    RecentJobsRow {
        checkNotNull(key, "key");
        checkNotNull(jobs, "jobs");
    }

    /** Returns the key of the row of a workspace, empty for none, on a route. */
    static RowKey key(String workspace, String route) {
        // Names may be longer than the key of a row.
        HashCode hash =
                Hashing.sha256().hashString(workspace + '\0' + route, StandardCharsets.UTF_8);
        String partition =
                String.format(Locale.ROOT, "r%02d", Math.floorMod(hash.asInt(), PARTITIONS));
        return new RowKey(TABLE, partition, hash.toString());
    }

    /** Returns the row as it is before it is known, which a conflict then replaces. */
    static RecentJobsRow unknown(RowKey key) {
        return new RecentJobsRow(key, 0, RecentJobs.NONE);
    }

    /** Returns the row among the current rows of a conflict. */
    static RecentJobsRow of(RowKey key, List<StoredRow> rows) {
        return rows.stream()
                .filter(row -> row.key().equals(key))
                .findFirst()
                .map(row -> new RecentJobsRow(key, row.version(), decode(row)))
                .orElse(unknown(key));
    }

    static byte[] encode(RecentJobs jobs) {
        StoredRecentJobs.Builder stored = StoredRecentJobs.newBuilder();
        for (RecentJobs.RecentJob job : jobs.jobs()) {
            stored.addJobs(
                    StoredRecentJob.newBuilder()
                            .setId(job.id())
                            .setTokens(job.tokens())
                            .setReservedAtMillis(job.reservedAtMillis()));
        }
        return stored.build().toByteArray();
    }

    private static RecentJobs decode(StoredRow row) {
        try {
            ImmutableList.Builder<RecentJobs.RecentJob> jobs = ImmutableList.builder();
            for (StoredRecentJob job : StoredRecentJobs.parseFrom(row.value()).getJobsList()) {
                jobs.add(
                        new RecentJobs.RecentJob(
                                job.getId(), job.getTokens(), job.getReservedAtMillis()));
            }
            return new RecentJobs(jobs.build());
        } catch (InvalidProtocolBufferException | IllegalArgumentException failure) {
            LOG.error("batch: recent jobs cannot be decoded row={}", row.key());
            return RecentJobs.NONE;
        }
    }
}
