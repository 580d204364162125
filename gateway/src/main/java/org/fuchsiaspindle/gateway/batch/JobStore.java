package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.job.ListedItem;
import org.fuchsiaspindle.core.job.RecentJobs;
import org.fuchsiaspindle.platform.job.JobApiCodec;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.RowKey;
import org.fuchsiaspindle.platform.store.RowTransaction;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoreUnavailableException;
import org.fuchsiaspindle.platform.store.StoredRow;

/**
 * Reads and writes the rows of jobs in the store.
 *
 * <p>The row of a job and the rows of its submission, progress and result texts share a partition,
 * so that one conditional transaction creates a job, and one stores results with their texts.
 * Thread-safe; futures complete on the store's event loop.
 */
public final class JobStore {

    /** The table with one row for each job. */
    public static final String JOBS = "job";

    private static final String RESULTS = "result";
    private static final String PROGRESS = "progress";
    private static final String SUBMISSIONS = "submission";

    /** Partitions over which the jobs are spread; the store limits the write rate of each. */
    private static final int PARTITIONS = 16;

    /** Bytes of text in one row; the encoded row stays below the limit of the store. */
    private static final int CHUNK_BYTES = 45_000;

    /** Maximum text bytes of one transaction; the store's limit is 1 MB after encoding. */
    static final int MAX_COMMIT_BYTES = 600_000;

    /** Maximum rows that one transaction writes; the store's limit is 100. */
    static final int MAX_COMMIT_ROWS = 80;

    /** Maximum text bytes that one read of results returns. */
    private static final int MAX_READ_BYTES = 700_000;

    private final StoreClient store;

    private JobStore(StoreClient store) {
        this.store = store;
    }

    /** Creates a job store on top of the platform's store. */
    public static JobStore on(StoreClient store) {
        return new JobStore(checkNotNull(store, "store"));
    }

    /**
     * A job with the version of its row.
     *
     * @param job the job
     * @param version the version of its row
     */
    public record VersionedJob(JobRecord job, long version) {}

    /**
     * The text of a result, which is stored together with its entry in the job row.
     *
     * @param position the position of the result
     * @param text the text, not null
     */
    record ResultText(int position, byte[] text) {

        int chunks() {
            return (text.length + CHUNK_BYTES - 1) / CHUNK_BYTES;
        }
    }

    /** Returns the number of rows that a text occupies. */
    static int chunks(byte[] text) {
        return new ResultText(0, text).chunks();
    }

    /**
     * Returns whether a job may have an identifier. One with a slash could make its rows some of
     * another job, whose keys begin with the identifier of that job and a slash.
     */
    static boolean isValidId(String jobId) {
        return !jobId.isEmpty() && jobId.indexOf('/') < 0;
    }

    /** Returns the partition of a job. */
    static String partition(String jobId) {
        int hash = Hashing.murmur3_32_fixed().hashString(jobId, StandardCharsets.UTF_8).asInt();
        return String.format(Locale.ROOT, "b%02d", Math.floorMod(hash, PARTITIONS));
    }

    /** Decodes a row of the table of jobs; returns empty if that fails. */
    static Optional<VersionedJob> decode(StoredRow row) {
        return JobCodec.decode(row.key().key(), row.value())
                .map(job -> new VersionedJob(job, row.version()));
    }

    /**
     * Stores a new job with its submission unless a job with its identifier exists.
     *
     * <p>A submission that fits into the transaction is stored in rows; a larger one is stored as
     * an object before the transaction.
     */
    CompletableFuture<CommitResult> create(JobRecord job, byte[] submission) {
        if (submission.length <= MAX_COMMIT_BYTES) {
            return store.commit(
                    transaction(job, 0)
                            .writeAll(chunkRows(SUBMISSIONS, job.id(), job.id() + "/", submission))
                            .build());
        }
        return store.putObject(objectName(job.id()), submission)
                .handle((stored, failure) -> failure == null)
                .thenCompose(
                        stored ->
                                stored
                                        ? update(job, 0, List.of())
                                        : CompletableFuture.completedFuture(
                                                new CommitResult.NotDone("submission not stored")));
    }

    /**
     * Returns the submission of a job, empty if there is none.
     *
     * @param jobId the job
     * @param silenceLimit for how long the store may send nothing of a submission that is an object
     */
    CompletableFuture<Optional<byte[]>> submission(String jobId, Duration silenceLimit) {
        return store.allRows(SUBMISSIONS, partition(jobId), jobId + "/", jobId + "0")
                .thenCompose(
                        page ->
                                page.rows().isEmpty()
                                        ? store.object(objectName(jobId), silenceLimit)
                                        : CompletableFuture.completedFuture(
                                                Optional.of(joinChunks(page.rows()))));
    }

    /** Replaces a row of recent jobs by one with other jobs if it still has its version. */
    CompletableFuture<CommitResult> update(RecentJobsRow row, RecentJobs jobs) {
        return store.commit(
                RowTransaction.inPartition(row.key().partition())
                        .expect(row.key(), row.version())
                        .write(row.key(), RecentJobsRow.encode(jobs))
                        .build());
    }

    private static byte[] joinChunks(List<StoredRow> rows) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        rows.forEach(row -> bytes.writeBytes(row.value()));
        return bytes.toByteArray();
    }

    private static RowTransaction.Builder transaction(JobRecord job, long version) {
        String partition = partition(job.id());
        RowKey key = new RowKey(JOBS, partition, job.id());
        return RowTransaction.inPartition(partition)
                .expect(key, version)
                .write(key, JobCodec.encode(job));
    }

    /**
     * Stores the progress of the unfinished items of a job if its row still has the given version.
     *
     * @param job the job
     * @param version the version that the row must have
     * @param writeJob whether the row of the job is written too
     * @param progress the progress by item
     */
    CompletableFuture<CommitResult> checkpoint(
            JobRecord job, long version, boolean writeJob, Map<Integer, ItemProgress> progress) {
        String partition = partition(job.id());
        RowKey key = new RowKey(JOBS, partition, job.id());
        RowTransaction.Builder transaction =
                RowTransaction.inPartition(partition).expect(key, version);
        if (writeJob) {
            transaction.write(key, JobCodec.encode(job));
        }
        int bytes = 0;
        int rows = 0;
        for (Map.Entry<Integer, ItemProgress> entry : progress.entrySet()) {
            byte[] value = entry.getValue().encode();
            List<RowTransaction.Write> writes =
                    chunkRows(PROGRESS, job.id(), textPrefix(job.id(), entry.getKey()), value);
            bytes += value.length;
            rows += writes.size();
            // Progress that does not fit is left out; it only saves work after a takeover.
            if (bytes <= MAX_COMMIT_BYTES && rows <= MAX_COMMIT_ROWS) {
                transaction.writeAll(writes);
            }
        }
        return store.commit(transaction.build());
    }

    /** Returns the stored progress of a job by item. */
    CompletableFuture<Map<Integer, ItemProgress>> progress(String jobId) {
        return store.allRows(PROGRESS, partition(jobId), jobId + "/", jobId + "0")
                .thenApply(page -> ItemProgress.decode(jobId, page.rows()));
    }

    private static List<RowTransaction.Write> chunkRows(
            String table, String jobId, String prefix, byte[] bytes) {
        List<RowTransaction.Write> rows = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += CHUNK_BYTES) {
            int to = Math.min(bytes.length, from + CHUNK_BYTES);
            String key = prefix + String.format(Locale.ROOT, "%03d", rows.size());
            rows.add(
                    new RowTransaction.Write(
                            new RowKey(table, partition(jobId), key),
                            Arrays.copyOfRange(bytes, from, to)));
        }
        return rows;
    }

    /**
     * Replaces the row of a job if it still has the given version, and writes result texts with it.
     *
     * @param job the new content
     * @param version the version that the row must have, 0 if it must not exist
     * @param resultTexts the texts of newly listed results
     */
    CompletableFuture<CommitResult> update(
            JobRecord job, long version, List<ResultText> resultTexts) {
        RowTransaction.Builder transaction = transaction(job, version);
        for (ResultText text : resultTexts) {
            transaction.writeAll(
                    chunkRows(
                            RESULTS, job.id(), textPrefix(job.id(), text.position()), text.text()));
        }
        return store.commit(transaction.build());
    }

    /** Reads the current version of a job, empty if it does not exist. */
    CompletableFuture<Optional<VersionedJob>> read(String jobId) {
        return store.rows(JOBS, partition(jobId), jobId, jobId + '\0')
                .thenApply(page -> page.rows().stream().findFirst().map(JobStore::decodeOrThrow));
    }

    private static VersionedJob decodeOrThrow(StoredRow row) {
        return decode(row)
                .orElseThrow(
                        () ->
                                new StoreUnavailableException(
                                        "row cannot be decoded, job " + row.key().key()));
    }

    /** Returns the results from a position, at least one if there are any. */
    CompletableFuture<List<JobApiCodec.Result>> results(JobRecord job, int after) {
        int to = endPosition(job, after);
        if (after >= to) {
            return CompletableFuture.completedFuture(List.of());
        }
        String from = textPrefix(job.id(), after);
        return store.rows(RESULTS, partition(job.id()), from, textPrefix(job.id(), to))
                .thenApply(page -> joinResults(job, after, to, page.rows()));
    }

    /** Returns the end, exclusive, of the range of positions whose texts fit into one response. */
    private static int endPosition(JobRecord job, int after) {
        int bytes = 0;
        int position = after;
        while (position < job.listed().size()) {
            bytes += job.listed().get(position).chunks() * CHUNK_BYTES;
            if (position > after && bytes > MAX_READ_BYTES) {
                break;
            }
            position++;
        }
        return position;
    }

    private static List<JobApiCodec.Result> joinResults(
            JobRecord job, int after, int to, List<StoredRow> rows) {
        List<JobApiCodec.Result> results = new ArrayList<>();
        int next = 0;
        for (int position = after; position < to; position++) {
            ListedItem entry = job.listed().get(position);
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            for (int chunk = 0; chunk < entry.chunks(); chunk++) {
                boolean present =
                        next < rows.size()
                                && rows.get(next).key().equals(textKey(job.id(), position, chunk));
                if (!present) {
                    // The page of the store ends here; the next read continues.
                    if (results.isEmpty()) {
                        throw new StoreUnavailableException("result text missing, job " + job.id());
                    }
                    return results;
                }
                text.writeBytes(rows.get(next++).value());
            }
            results.add(
                    new JobApiCodec.Result(
                            entry.itemId(),
                            entry.completed(),
                            text.toString(StandardCharsets.UTF_8)));
        }
        return results;
    }

    /**
     * Deletes everything that is stored of a job, its row last, so that a deletion that fails is
     * noticed and repeated.
     */
    CompletableFuture<Void> delete(JobRecord job) {
        String partition = partition(job.id());
        String from = job.id() + "/";
        String to = job.id() + "0";
        List<RowKey> keys = new ArrayList<>();
        for (int position = 0; position < job.listed().size(); position++) {
            for (int chunk = 0; chunk < job.listed().get(position).chunks(); chunk++) {
                keys.add(textKey(job.id(), position, chunk));
            }
        }
        return store.allRows(PROGRESS, partition, from, to)
                .thenCombine(
                        store.allRows(SUBMISSIONS, partition, from, to),
                        (progress, submission) -> {
                            progress.rows().forEach(row -> keys.add(row.key()));
                            submission.rows().forEach(row -> keys.add(row.key()));
                            return submission.rows().isEmpty();
                        })
                .thenCompose(
                        isObject ->
                                isObject
                                        ? store.deleteObject(objectName(job.id()))
                                        : CompletableFuture.completedFuture(false))
                .thenCompose(deleted -> remove(partition, keys))
                .thenCompose(
                        done -> remove(partition, List.of(new RowKey(JOBS, partition, job.id()))));
    }

    private CompletableFuture<Void> remove(String partition, List<RowKey> keys) {
        if (keys.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        List<RowKey> first = keys.subList(0, Math.min(keys.size(), MAX_COMMIT_ROWS));
        RowTransaction.Builder transaction = RowTransaction.inPartition(partition);
        first.forEach(transaction::remove);
        return store.commit(transaction.build())
                .thenCompose(
                        result -> {
                            if (!(result instanceof CommitResult.Committed)) {
                                throw new StoreUnavailableException("rows not removed: " + result);
                            }
                            return remove(partition, keys.subList(first.size(), keys.size()));
                        });
    }

    private static RowKey textKey(String jobId, int position, int chunk) {
        String key = textPrefix(jobId, position) + String.format(Locale.ROOT, "%03d", chunk);
        return new RowKey(RESULTS, partition(jobId), key);
    }

    private static String textPrefix(String jobId, int position) {
        return jobId + String.format(Locale.ROOT, "/%04d/", position);
    }

    private static String objectName(String jobId) {
        return "job-" + jobId;
    }
}
