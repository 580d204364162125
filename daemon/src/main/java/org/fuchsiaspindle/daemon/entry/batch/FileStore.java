package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.FileRecord;
import org.fuchsiaspindle.core.batch.InputFileValidator;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.table.Operation.Delete;
import org.fuchsiaspindle.platform.table.Operation.Put;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.Transaction;

/** Stores the uploaded files of all customers. Thread-safe; calls block. */
final class FileStore {

    private static final int MAX_CONFLICTS = 10;

    private final TableService table;
    private final ObjectStore objects;
    private final RowWriter writer;
    private final Clock clock;
    private final RandomGenerator random;

    FileStore(TableService table, ObjectStore objects, Clock clock, RandomGenerator random) {
        this.table = checkNotNull(table, "table");
        this.objects = checkNotNull(objects, "objects");
        this.writer = new RowWriter(table);
        this.clock = checkNotNull(clock, "clock");
        this.random = checkNotNull(random, "random");
    }

    /** An upload in progress. */
    record Upload(String id, InputFileValidator validator, PartWriter parts) {}

    /** Starts the upload of a file. */
    Upload begin(Contract contract) {
        String id = BatchIds.create("file-", clock, random);
        InputFileValidator validator =
                InputFileValidator.create(contract.models()::contains, random);
        return new Upload(id, validator, new PartWriter(objects, id, validator));
    }

    /** Writes the row of a file whose parts have all been stored. */
    FileRecord commit(Upload upload, Contract contract, String name) {
        FileRecord record =
                new FileRecord(
                        upload.id(),
                        contract.customer(),
                        name,
                        upload.parts().bytes(),
                        clock.wallTime().toEpochMilli(),
                        upload.parts().parts(),
                        upload.validator().url(),
                        upload.validator().model(),
                        upload.validator().errors(),
                        upload.validator().errorCount(),
                        List.of(),
                        BatchIds.nonce(random));
        String key = BatchKeys.file(contract.customer(), record.id());
        writer.commit(Transaction.of(new Put(key, 0, BatchJson.write(record))), key, value -> true);
        return record;
    }

    Optional<FileRecord> find(String customer, String id) {
        return row(customer, id).map(row -> BatchJson.read(row.value(), FileRecord.class));
    }

    Optional<Row> row(String customer, String id) {
        return table.read(BatchKeys.file(customer, id));
    }

    List<FileRecord> list(String customer, String after, int limit) {
        String prefix = BatchKeys.files(customer);
        return table.readPrefix(prefix, after.isEmpty() ? "" : prefix + after, limit).stream()
                .map(row -> BatchJson.read(row.value(), FileRecord.class))
                .toList();
    }

    byte[] part(String fileId, int part) {
        return objects.read(BatchKeys.part(fileId, part))
                .orElseThrow(
                        () ->
                                new FuchsiaspindleException(
                                        ResultCode.NOT_FOUND,
                                        "part " + part + " of " + fileId + " is missing"));
    }

    /**
     * Deletes a file. Its parts are kept until the jobs that read them are deleted.
     *
     * @return false if the customer has no such file
     */
    boolean delete(String customer, String id) {
        FileRecord lastRead = null;
        for (int attempt = 0; attempt < MAX_CONFLICTS; attempt++) {
            Optional<Row> row = row(customer, id);
            if (row.isPresent()) {
                lastRead = BatchJson.read(row.get().value(), FileRecord.class);
            }
            if (row.isEmpty() || commitDelete(row.get())) {
                if (lastRead != null && lastRead.jobs().isEmpty()) {
                    deleteParts(id, lastRead.parts().size());
                }
                return lastRead != null;
            }
        }
        throw new FuchsiaspindleException(
                ResultCode.CONDITION_FAILED, "file " + id + " was changed concurrently");
    }

    void deleteParts(String id, int parts) {
        for (int part = 0; part < parts; part++) {
            objects.delete(BatchKeys.part(id, part));
        }
    }

    private boolean commitDelete(Row row) {
        try {
            table.commit(Transaction.of(new Delete(row.key(), row.version())));
            return true;
        } catch (FuchsiaspindleException e) {
            if (e.code() == ResultCode.CONDITION_FAILED
                    || e.code() == ResultCode.WRITE_OUTCOME_UNKNOWN) {
                return false;
            }
            throw e;
        }
    }
}
