package org.fuchsiaspindle.daemon.entry.batch;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.FileRecord;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.SegmentRecord;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.Operation.Delete;
import org.fuchsiaspindle.platform.table.Operation.Put;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.Transaction;

/** Deletes the rows and objects of an ended job. Thread-safe; calls block. */
final class JobDeletion {

    private static final int PAGE_SIZE = 100;

    private final TableService table;
    private final ObjectStore objects;
    private final FileStore files;
    private final JobStore jobs;
    private final RandomGenerator random;

    JobDeletion(
            TableService table,
            ObjectStore objects,
            FileStore files,
            JobStore jobs,
            RandomGenerator random) {
        this.table = table;
        this.objects = objects;
        this.files = files;
        this.jobs = jobs;
        this.random = random;
    }

    /** Returns the retention rows of at most {@code limit} jobs whose retention has ended. */
    List<Row> due(long nowMs, int limit) {
        String end = BatchKeys.retained(nowMs, "");
        return table.readPrefix(BatchKeys.RETAINED, "", limit).stream()
                .filter(row -> row.key().compareTo(end) < 0)
                .toList();
    }

    /**
     * Deletes a job. The job row and the retention row are deleted last, so that an interrupted
     * deletion is resumed.
     *
     * @return the job's identifier, empty if the job row was already deleted
     */
    Optional<String> delete(Row retained) {
        String id = retained.key().substring(retained.key().lastIndexOf('/') + 1);
        Optional<Row> row = table.read(BatchKeys.job(id));
        if (row.isEmpty()) {
            table.commit(Transaction.of(new Delete(retained.key(), retained.version())));
            return Optional.empty();
        }
        JobRecord job = BatchJson.read(row.get().value(), JobRecord.class);
        deleteSegments(id);
        ImmutableList.Builder<Operation> operations = ImmutableList.builder();
        operations.add(new Delete(row.get().key(), row.get().version()));
        operations.add(new Delete(retained.key(), retained.version()));
        addDelete(operations, BatchKeys.customerJob(job.customer(), id));
        if (!job.submission().keyDigest().isEmpty()) {
            addDelete(operations, BatchKeys.jobKey(job.customer(), job.submission().keyDigest()));
        }
        releaseFile(job);
        table.commit(new Transaction(operations.build()));
        return Optional.of(id);
    }

    private void deleteSegments(String job) {
        while (true) {
            List<Row> page = table.readPrefix(BatchKeys.segments(job), "", PAGE_SIZE);
            for (Row row : page) {
                BatchJson.read(row.value(), SegmentRecord.class).result().forEach(objects::delete);
                table.commit(Transaction.of(new Delete(row.key(), row.version())));
            }
            if (page.size() < PAGE_SIZE) {
                return;
            }
        }
    }

    /**
     * Removes the job from the record of its input file. If the file was deleted before, deletes
     * its parts unless another job reads them.
     */
    private void releaseFile(JobRecord job) {
        String fileId = job.source().fileId();
        Optional<Row> row = files.row(job.customer(), fileId);
        if (row.isPresent()) {
            FileRecord file = BatchJson.read(row.get().value(), FileRecord.class);
            if (file.jobs().contains(job.id())) {
                table.commit(
                        Transaction.of(
                                new Put(
                                        row.get().key(),
                                        row.get().version(),
                                        BatchJson.write(
                                                file.withoutJob(
                                                        job.id(), BatchIds.nonce(random))))));
            }
        } else if (!isReadByAnotherJob(job)) {
            files.deleteParts(fileId, job.source().parts().size());
        }
    }

    private boolean isReadByAnotherJob(JobRecord job) {
        String prefix = BatchKeys.customerJobs(job.customer());
        String after = "";
        while (true) {
            List<Row> page = table.readPrefix(prefix, after, PAGE_SIZE);
            for (Row row : page) {
                after = row.key();
                String other = after.substring(prefix.length());
                if (!other.equals(job.id())
                        && jobs.read(other)
                                .filter(
                                        record ->
                                                record.source()
                                                        .fileId()
                                                        .equals(job.source().fileId()))
                                .isPresent()) {
                    return true;
                }
            }
            if (page.size() < PAGE_SIZE) {
                return false;
            }
        }
    }

    private void addDelete(ImmutableList.Builder<Operation> operations, String key) {
        table.read(key).ifPresent(row -> operations.add(new Delete(key, row.version())));
    }
}
