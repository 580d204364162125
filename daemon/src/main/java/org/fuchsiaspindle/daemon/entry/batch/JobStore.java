package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.batch.ActiveJob;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.FileRecord;
import org.fuchsiaspindle.core.batch.JobKey;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.JobRequest;
import org.fuchsiaspindle.core.batch.JobStatus;
import org.fuchsiaspindle.core.batch.LineError;
import org.fuchsiaspindle.core.batch.OpenJobs;
import org.fuchsiaspindle.core.batch.SegmentPlan;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.Operation.Delete;
import org.fuchsiaspindle.platform.table.Operation.Put;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.Transaction;

/**
 * Creates, reads and changes the rows of jobs; each change is one conditional transaction.
 * Thread-safe; calls block.
 */
final class JobStore {

    /** Number of attempts after which a call fails because of write conflicts. */
    private static final int MAX_CONFLICTS = 20;

    private final TableService table;
    private final RowWriter writer;
    private final FileStore files;
    private final Clock clock;
    private final RandomGenerator random;
    private final JobFeasibility feasibility;
    private final ToIntFunction<String> targetsOfModel;

    JobStore(
            TableService table,
            FileStore files,
            Clock clock,
            RandomGenerator random,
            JobFeasibility feasibility,
            ToIntFunction<String> targetsOfModel) {
        this.table = checkNotNull(table, "table");
        this.writer = new RowWriter(table);
        this.files = checkNotNull(files, "files");
        this.clock = checkNotNull(clock, "clock");
        this.random = checkNotNull(random, "random");
        this.feasibility = checkNotNull(feasibility, "feasibility");
        this.targetsOfModel = checkNotNull(targetsOfModel, "targetsOfModel");
    }

    /**
     * Accepts a job, or returns the job that an earlier submission with the same key created.
     *
     * @param key the idempotency key, empty if the caller sent none
     */
    JobRecord submit(Contract contract, JobRequest request, Optional<String> key) {
        Optional<String> keyDigest =
                key.map(k -> Hashing.sha256().hashString(k, StandardCharsets.UTF_8).toString());
        String id = BatchIds.create("batch_", clock, random);
        for (int attempt = 0; attempt < MAX_CONFLICTS; attempt++) {
            Optional<JobRecord> earlierSubmission =
                    keyDigest.flatMap(digest -> earlierSubmission(contract, request, digest));
            if (earlierSubmission.isPresent()) {
                return earlierSubmission.get();
            }
            Optional<JobRecord> job = trySubmit(contract, request, keyDigest.orElse(""), id);
            if (job.isPresent()) {
                return job.get();
            }
        }
        throw tooManyConflicts(id);
    }

    /** Returns a job of a customer, empty if it does not exist or belongs to another customer. */
    Optional<JobRecord> find(String customer, String id) {
        return read(id).filter(job -> job.customer().equals(customer));
    }

    Optional<JobRecord> read(String id) {
        return row(id).map(row -> BatchJson.read(row.value(), JobRecord.class));
    }

    List<JobRecord> list(String customer, String after, int limit) {
        String prefix = BatchKeys.customerJobs(customer);
        return table.readPrefix(prefix, after.isEmpty() ? "" : prefix + after, limit).stream()
                .flatMap(row -> read(row.key().substring(prefix.length())).stream())
                .toList();
    }

    /**
     * Cancels a job. Returns only after the job row has been written.
     *
     * @throws FuchsiaspindleException with {@code JOB_FINISHED} if the job is finalizing or has
     *     ended without a cancellation
     */
    JobRecord cancel(String customer, String id) {
        for (int attempt = 0; attempt < MAX_CONFLICTS; attempt++) {
            Row row = row(id).orElseThrow(() -> notFound(id));
            JobRecord job = BatchJson.read(row.value(), JobRecord.class);
            if (!job.customer().equals(customer)) {
                throw notFound(id);
            }
            if (job.status() == JobStatus.CANCELLING || job.status() == JobStatus.CANCELLED) {
                return job;
            }
            if (job.status().isFinal() || job.status() == JobStatus.FINALIZING) {
                throw new FuchsiaspindleException(
                        ResultCode.JOB_FINISHED, "job " + id + " is " + job.status().wireName());
            }
            JobRecord next = job.cancelling(nowMs(), BatchIds.nonce(random));
            if (commitChange(row, next, JobStore::isCancelled)) {
                return next;
            }
        }
        throw tooManyConflicts(id);
    }

    /**
     * Marks a job in progress as finalizing because its deadline has passed.
     *
     * @return true if the job is now finalizing
     */
    boolean expire(String id) {
        for (int attempt = 0; attempt < MAX_CONFLICTS; attempt++) {
            Optional<Row> row = row(id);
            if (row.isEmpty()) {
                return false;
            }
            JobRecord job = BatchJson.read(row.get().value(), JobRecord.class);
            if (job.status() != JobStatus.IN_PROGRESS) {
                return job.status() == JobStatus.FINALIZING;
            }
            JobRecord next = job.finalizing(nowMs(), BatchIds.nonce(random));
            if (commitChange(row.get(), next, now -> now.nonce().equals(next.nonce()))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Moves a job whose segments are all done to its final state.
     *
     * @return the job in its final state, empty if it no longer exists
     */
    Optional<JobRecord> end(String id, JobRecord.Outcome outcome, Duration retention) {
        for (int attempt = 0; attempt < MAX_CONFLICTS; attempt++) {
            Optional<Row> row = row(id);
            if (row.isEmpty()) {
                return Optional.empty();
            }
            JobRecord job = BatchJson.read(row.get().value(), JobRecord.class);
            if (job.status().isFinal()) {
                return Optional.of(job);
            }
            JobRecord next =
                    job.ended(outcome, nowMs(), retention.toMillis(), BatchIds.nonce(random));
            Optional<Row> active = table.read(BatchKeys.active(id));
            if (active.isPresent() && commitEnd(row.get(), next, active.get())) {
                return Optional.of(next);
            }
        }
        throw tooManyConflicts(id);
    }

    private Optional<JobRecord> earlierSubmission(
            Contract contract, JobRequest request, String digest) {
        Optional<JobKey> existing =
                table.read(BatchKeys.jobKey(contract.customer(), digest))
                        .map(row -> BatchJson.read(row.value(), JobKey.class));
        if (existing.isEmpty()) {
            return Optional.empty();
        }
        if (!existing.get().request().equals(request.digest())) {
            throw new FuchsiaspindleException(
                    ResultCode.JOB_CONFLICT,
                    "the idempotency key was used with a different request for job "
                            + existing.get().job());
        }
        return read(existing.get().job());
    }

    private Optional<JobRecord> trySubmit(
            Contract contract, JobRequest request, String keyDigest, String id) {
        Row fileRow =
                files.row(contract.customer(), request.fileId())
                        .orElseThrow(
                                () ->
                                        new FuchsiaspindleException(
                                                ResultCode.NOT_FOUND,
                                                "no such file: " + request.fileId()));
        FileRecord file = BatchJson.read(fileRow.value(), FileRecord.class);
        JobRecord job = newRecord(contract, request, keyDigest, id, file);
        String customer = contract.customer();
        ImmutableList.Builder<Operation> operations = ImmutableList.builder();
        operations.add(new Put(BatchKeys.job(id), 0, BatchJson.write(job)));
        operations.add(new Put(BatchKeys.customerJob(customer, id), 0, nonceValue()));
        if (!keyDigest.isEmpty()) {
            operations.add(
                    new Put(
                            BatchKeys.jobKey(customer, keyDigest),
                            0,
                            BatchJson.write(new JobKey(id, request.digest()))));
        }
        if (job.status() == JobStatus.FAILED) {
            operations.add(putRetained(job));
        } else {
            checkAdmissible(contract, request, file);
            operations.add(putActiveHead());
            operations.add(new Put(BatchKeys.active(id), 0, BatchJson.write(ActiveJob.of(job))));
            operations.add(putOpenJob(contract, id));
            operations.add(
                    new Put(
                            fileRow.key(),
                            fileRow.version(),
                            BatchJson.write(file.withJob(id, BatchIds.nonce(random)))));
        }
        return writer.commit(new Transaction(operations.build()), BatchKeys.job(id), value -> true)
                        .isPresent()
                ? Optional.of(job)
                : Optional.empty();
    }

    private JobRecord newRecord(
            Contract contract, JobRequest request, String keyDigest, String id, FileRecord file) {
        long now = nowMs();
        Duration window = shorter(request.window(), contract.batch().completionWindow());
        boolean failed = file.errorCount() > 0 || file.parts().isEmpty();
        List<LineError> errors =
                file.parts().isEmpty() && file.errors().isEmpty()
                        ? List.of(new LineError(0, "empty_file", "the file has no lines", ""))
                        : file.errors();
        int segmentItems =
                SegmentPlan.segmentItems(file.lines(), targetsOfModel.applyAsInt(file.model()));
        String nonce = BatchIds.nonce(random);
        return new JobRecord(
                id,
                contract.customer(),
                failed ? JobStatus.FAILED : JobStatus.IN_PROGRESS,
                new JobRecord.Source(
                        file.id(),
                        request.endpoint(),
                        file.model(),
                        segmentItems,
                        failed ? List.of() : file.parts()),
                new JobRecord.Submission(request.completionWindow(), request.metadata(), keyDigest),
                new JobRecord.Times(
                        now,
                        now + window.toMillis(),
                        0,
                        0,
                        failed ? now : 0,
                        failed ? now + contract.batch().resultRetention().toMillis() : 0),
                JobRecord.Outcome.NONE,
                failed ? errors : List.of(),
                nonce,
                nonce);
    }

    private void checkAdmissible(Contract contract, JobRequest request, FileRecord file) {
        if (!file.url().equals(request.endpoint())) {
            throw new FuchsiaspindleException(
                    ResultCode.UNSUPPORTED_PARAMETER,
                    "endpoint is "
                            + request.endpoint()
                            + " but the lines have the url "
                            + file.url());
        }
        if (!contract.models().contains(file.model())) {
            throw new FuchsiaspindleException(
                    ResultCode.NOT_ALLOWED,
                    "the contract does not allow the model " + file.model());
        }
        if (file.lines() > contract.batch().maxItemsPerJob()) {
            throw new FuchsiaspindleException(
                    ResultCode.JOB_LIMITED,
                    "the file has "
                            + file.lines()
                            + " items, the contract allows "
                            + contract.batch().maxItemsPerJob());
        }
        Duration window = shorter(request.window(), contract.batch().completionWindow());
        Optional<String> infeasibilityReason =
                feasibility.infeasibilityReason(file.model(), file.lines(), window);
        if (infeasibilityReason.isPresent()) {
            throw new FuchsiaspindleException(
                    ResultCode.DEADLINE_NOT_FEASIBLE, infeasibilityReason.get());
        }
    }

    private Operation putOpenJob(Contract contract, String id) {
        String key = BatchKeys.customerOpen(contract.customer());
        Optional<Row> row = table.read(key);
        OpenJobs openJobs = openJobs(row);
        if (openJobs.jobs().size() >= contract.batch().maxOpenJobs()) {
            throw new FuchsiaspindleException(
                    ResultCode.JOB_LIMITED,
                    "the customer has " + openJobs.jobs().size() + " open jobs");
        }
        return new Put(
                key,
                row.map(Row::version).orElse(0L),
                BatchJson.write(openJobs.with(id, BatchIds.nonce(random))));
    }

    private static OpenJobs openJobs(Optional<Row> row) {
        return row.map(r -> BatchJson.read(r.value(), OpenJobs.class))
                .orElse(new OpenJobs(List.of(), ""));
    }

    private boolean commitChange(Row row, JobRecord next, Predicate<JobRecord> isOwnWrite) {
        Optional<Row> active = table.read(BatchKeys.active(next.id()));
        if (active.isEmpty()) {
            return false;
        }
        return writer.commit(
                        Transaction.of(
                                new Put(row.key(), row.version(), BatchJson.write(next)),
                                new Put(
                                        active.get().key(),
                                        active.get().version(),
                                        BatchJson.write(ActiveJob.of(next))),
                                putActiveHead()),
                        row.key(),
                        value -> isOwnWrite.test(BatchJson.read(value, JobRecord.class)))
                .isPresent();
    }

    private boolean commitEnd(Row row, JobRecord next, Row active) {
        String openKey = BatchKeys.customerOpen(next.customer());
        Optional<Row> openRow = table.read(openKey);
        return writer.commit(
                        Transaction.of(
                                new Put(row.key(), row.version(), BatchJson.write(next)),
                                new Delete(active.key(), active.version()),
                                putActiveHead(),
                                new Put(
                                        openKey,
                                        openRow.map(Row::version).orElse(0L),
                                        BatchJson.write(
                                                openJobs(openRow)
                                                        .without(
                                                                next.id(),
                                                                BatchIds.nonce(random)))),
                                putRetained(next)),
                        row.key(),
                        value ->
                                BatchJson.read(value, JobRecord.class).nonce().equals(next.nonce()))
                .isPresent();
    }

    private static boolean isCancelled(JobRecord job) {
        return job.status() == JobStatus.CANCELLING || job.status() == JobStatus.CANCELLED;
    }

    private Operation putActiveHead() {
        long version = table.read(BatchKeys.ACTIVE_HEAD).map(Row::version).orElse(0L);
        return new Put(BatchKeys.ACTIVE_HEAD, version, nonceValue());
    }

    private Operation putRetained(JobRecord job) {
        return new Put(BatchKeys.retained(job.times().retainedUntil(), job.id()), 0, nonceValue());
    }

    private byte[] nonceValue() {
        return BatchIds.nonce(random).getBytes(StandardCharsets.US_ASCII);
    }

    private Optional<Row> row(String id) {
        return table.read(BatchKeys.job(id));
    }

    private long nowMs() {
        return clock.wallTime().toEpochMilli();
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    private static FuchsiaspindleException notFound(String id) {
        return new FuchsiaspindleException(ResultCode.NOT_FOUND, "no such job: " + id);
    }

    private static FuchsiaspindleException tooManyConflicts(String id) {
        return new FuchsiaspindleException(
                ResultCode.CONDITION_FAILED,
                "rows of job " + id + " are being changed concurrently");
    }
}
