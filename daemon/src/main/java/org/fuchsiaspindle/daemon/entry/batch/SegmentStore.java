package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.InputItem;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.SegmentPlan;
import org.fuchsiaspindle.core.batch.SegmentRecord;
import org.fuchsiaspindle.core.batch.SegmentWork;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.Operation.Delete;
import org.fuchsiaspindle.platform.table.Operation.Put;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.Transaction;

/** Stores segment rows and result objects and reads input lines. Thread-safe; calls block. */
final class SegmentStore {

    private final TableService table;
    private final ObjectStore objects;
    private final RowWriter writer;
    private final RandomGenerator random;

    SegmentStore(TableService table, ObjectStore objects, RandomGenerator random) {
        this.table = checkNotNull(table, "table");
        this.objects = checkNotNull(objects, "objects");
        this.writer = new RowWriter(table);
        this.random = checkNotNull(random, "random");
    }

    /**
     * A conditional write of a segment row; retried unchanged until its outcome is known.
     *
     * @param key the segment
     * @param expectedVersion version that the row must have for the write to take effect, 0 if it
     *     must not exist
     * @param record the new content
     */
    record Write(SegmentKey key, long expectedVersion, SegmentRecord record) {}

    /** Returns the write that claims a segment without a row. */
    Write claim(SegmentKey key, String holder) {
        return new Write(key, 0, SegmentRecord.claimed(holder, BatchIds.nonce(random)));
    }

    /** Returns the write that takes over a segment whose holder's session has ended. */
    Write takeOver(SegmentKey key, Row row, String holder) {
        SegmentRecord record = BatchJson.read(row.value(), SegmentRecord.class);
        return new Write(key, row.version(), record.takenOver(holder, BatchIds.nonce(random)));
    }

    /** Returns the write that saves the loss counts of suspect items. */
    Write suspects(SegmentKey key, long version, SegmentRecord row, SegmentWork work) {
        return new Write(key, version, work.withSuspects(row, BatchIds.nonce(random)));
    }

    /** Returns the write that commits a complete segment. */
    Write done(SegmentKey key, long version, SegmentRecord row, SegmentWork work) {
        String nonce = BatchIds.nonce(random);
        List<byte[]> chunks = chunks(work.records());
        String base = BatchKeys.result(key.job(), key.number(), row.epoch(), nonce);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < chunks.size(); i++) {
            names.add(i == 0 ? base : base + "." + i);
        }
        return new Write(key, version, row.done(names, work.outcome(), nonce));
    }

    /**
     * Sends a write.
     *
     * @return the version of the row if the write took effect, empty if the row was changed by
     *     another entry
     */
    OptionalLong send(Write write) {
        return writer.commit(
                Transaction.of(
                        new Put(
                                write.key().row(),
                                write.expectedVersion(),
                                BatchJson.write(write.record()))),
                write.key().row(),
                value ->
                        BatchJson.read(value, SegmentRecord.class)
                                .nonce()
                                .equals(write.record().nonce()));
    }

    /** Stores the result objects that a commit names. */
    void putResults(Write commit, SegmentWork work) {
        List<byte[]> chunks = chunks(work.records());
        for (int i = 0; i < chunks.size(); i++) {
            objects.put(commit.record().result().get(i), chunks.get(i));
        }
    }

    /** Deletes the result objects of a commit that is known to have failed. */
    void deleteResults(Write commit) {
        commit.record().result().forEach(objects::delete);
    }

    /** Reads and parses the input lines of a segment. */
    List<InputItem> items(JobRecord job, SegmentPlan.Segment segment) {
        String name = BatchKeys.part(job.source().fileId(), segment.part());
        byte[] part =
                objects.read(name)
                        .orElseThrow(
                                () ->
                                        new FuchsiaspindleException(
                                                ResultCode.NOT_FOUND,
                                                "input part is missing: " + name));
        List<InputItem> items = new ArrayList<>(segment.items());
        int line = 0;
        int start = 0;
        for (int end = 0; end < part.length; end++) {
            if (part[end] != '\n') {
                continue;
            }
            if (line >= segment.firstLine() && line < segment.firstLine() + segment.items()) {
                items.add(item(Arrays.copyOfRange(part, start, end)));
            }
            line++;
            start = end + 1;
        }
        return items;
    }

    /** Reads a page of a job's segment rows. */
    List<Row> page(String job, String after, int limit) {
        return table.readPrefix(BatchKeys.segments(job), after, limit);
    }

    /** Reads the row of a holder session. */
    Optional<Row> holder(String key) {
        return table.read(key);
    }

    /**
     * Ends another holder's session.
     *
     * @return true if the session is known to have ended
     */
    boolean endSession(Row session) {
        try {
            table.commit(Transaction.of(new Delete(session.key(), session.version())));
            return true;
        } catch (ConditionFailedException | OutcomeUnknownException e) {
            return table.read(session.key()).isEmpty();
        }
    }

    private static InputItem item(byte[] line) {
        try {
            return InputItem.parse(line);
        } catch (InputItem.InvalidLineException e) {
            throw new FuchsiaspindleException(
                    ResultCode.INVALID_ITEM,
                    "an input line that was valid at upload is invalid: " + e.getMessage(),
                    e);
        }
    }

    private static List<byte[]> chunks(List<byte[]> records) {
        List<byte[]> chunks = new ArrayList<>();
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        for (byte[] record : records) {
            if (chunk.size() > 0 && chunk.size() + record.length > ObjectStore.MAX_OBJECT_BYTES) {
                chunks.add(chunk.toByteArray());
                chunk.reset();
            }
            chunk.writeBytes(record);
        }
        chunks.add(chunk.toByteArray());
        return chunks;
    }
}
