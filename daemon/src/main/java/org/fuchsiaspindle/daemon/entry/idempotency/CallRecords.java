package org.fuchsiaspindle.daemon.entry.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.idempotency.IdempotencyRecord;
import org.fuchsiaspindle.core.idempotency.StoredResponse;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads and writes the records of calls with an idempotency key. Thread-safe. */
final class CallRecords implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(CallRecords.class);

    /** Larger answers are stored in the object store, so that rows stay small. */
    private static final int MAX_INLINE_BYTES = 16 * 1024;

    private static final int WRITE_ATTEMPTS = 3;

    /**
     * Number of records whose final state is still to be written; each holds an answer of at most 8
     * MiB.
     */
    private static final int MAX_PENDING = 256;

    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);
    private static final int MAX_RETRIES = 600;

    private final TableService table;
    private final ObjectStore objects;
    private final AtomicInteger pending = new AtomicInteger();
    private final ExecutorService retries = Executors.newVirtualThreadPerTaskExecutor();

    private CallRecords(TableService table, ObjectStore objects) {
        this.table = checkNotNull(table, "table");
        this.objects = checkNotNull(objects, "objects");
    }

    static CallRecords create(TableService table, ObjectStore objects) {
        return new CallRecords(table, objects);
    }

    Optional<Row> read(String rowKey) {
        return table.read(rowKey);
    }

    /**
     * Writes the record of a call before the call is sent.
     *
     * @return the version of the written row, empty if another call changed it
     * @throws FuchsiaspindleException with {@code TABLE_UNAVAILABLE} if it is not certain that the
     *     record was written; the call must not be sent then
     */
    OptionalLong start(String rowKey, long version, IdempotencyRecord started) {
        try {
            return write(rowKey, version, started);
        } catch (TableUnavailableException e) {
            throw e;
        } catch (OutcomeUnknownException e) {
            retryInBackground(rowKey, new Settlement(rowKey, version, started)::attempt);
            throw new FuchsiaspindleException(
                    ResultCode.TABLE_UNAVAILABLE,
                    "the record of the call could not be confirmed",
                    Executed.NO,
                    Optional.empty(),
                    e);
        }
    }

    /**
     * Stores the answer of a call. If the platform does not respond, the write is retried in the
     * background.
     */
    void complete(String rowKey, long version, IdempotencyRecord started, StoredResponse answer) {
        boolean large = answer.body().length > MAX_INLINE_BYTES;
        String object = large ? rowKey + "/" + started.nonce() : "";
        StoredResponse inline =
                large ? new StoredResponse(answer.status(), answer.headers(), new byte[0]) : answer;
        writeOrRetry(
                rowKey,
                () -> {
                    if (large) {
                        objects.put(object, answer.body());
                    }
                    write(rowKey, version, started.completed(inline, object));
                });
    }

    /** Stores the final state of a call without an answer, with retries like {@link #complete}. */
    void end(String rowKey, long version, IdempotencyRecord ended) {
        writeOrRetry(rowKey, () -> write(rowKey, version, ended));
    }

    /** Returns the answer of a completed record. */
    StoredResponse answer(IdempotencyRecord completed) {
        StoredResponse stored = completed.response().orElseThrow();
        if (completed.object().isEmpty()) {
            return stored;
        }
        try {
            byte[] body =
                    objects.read(completed.object())
                            .orElseThrow(
                                    () ->
                                            new FuchsiaspindleException(
                                                    ResultCode.OBJECT_STORE_UNAVAILABLE,
                                                    "the stored answer is missing"));
            return new StoredResponse(stored.status(), stored.headers(), body);
        } catch (FuchsiaspindleException e) {
            throw e.withExecuted(Executed.YES);
        }
    }

    @Override
    public void close() {
        retries.shutdownNow();
    }

    /**
     * Writes a record. If the response to the write is lost, reads the row to determine whether the
     * write took effect.
     *
     * @return the version of the written row, empty if another writer changed it
     * @throws TableUnavailableException if the record was certainly not written
     * @throws OutcomeUnknownException if it may have been written
     */
    private OptionalLong write(String rowKey, long version, IdempotencyRecord record) {
        Transaction transaction =
                Transaction.of(new Operation.Put(rowKey, version, record.encode()));
        OutcomeUnknownException lost = null;
        for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
            try {
                return OptionalLong.of(table.commit(transaction));
            } catch (ConditionFailedException e) {
                // An earlier attempt whose response was lost may have written the row.
                return lost == null ? OptionalLong.empty() : writtenVersion(rowKey, record, lost);
            } catch (TableUnavailableException e) {
                if (lost == null) {
                    throw e;
                }
            } catch (OutcomeUnknownException e) {
                lost = e;
                OptionalLong written = writtenVersion(rowKey, record, lost);
                if (written.isPresent()) {
                    return written;
                }
            }
        }
        throw lost;
    }

    private OptionalLong writtenVersion(
            String rowKey, IdempotencyRecord record, OutcomeUnknownException lost) {
        try {
            Optional<Row> row = table.read(rowKey);
            return row.isPresent() && isSame(row.get(), record)
                    ? OptionalLong.of(row.get().version())
                    : OptionalLong.empty();
        } catch (TableUnavailableException e) {
            lost.addSuppressed(e);
            throw lost;
        }
    }

    private static boolean isSame(Row row, IdempotencyRecord record) {
        IdempotencyRecord found = IdempotencyRecord.decode(row.value());
        return found.nonce().equals(record.nonce()) && found.state() == record.state();
    }

    private void writeOrRetry(String rowKey, Runnable write) {
        try {
            write.run();
        } catch (FuchsiaspindleException e) {
            retryInBackground(
                    rowKey,
                    () -> {
                        write.run();
                        return true;
                    });
        }
    }

    /** Repeats an attempt until it returns true; attempts that throw are repeated too. */
    private void retryInBackground(String rowKey, BooleanSupplier attempt) {
        if (pending.incrementAndGet() > MAX_PENDING) {
            pending.decrementAndGet();
            LOG.warn("http: outcome of an idempotent call not recorded row={}", rowKey);
            return;
        }
        retries.execute(() -> repeat(rowKey, attempt));
    }

    private void repeat(String rowKey, BooleanSupplier attempt) {
        try {
            for (int i = 0; i < MAX_RETRIES; i++) {
                Thread.sleep(RETRY_INTERVAL);
                if (isDone(rowKey, attempt)) {
                    return;
                }
            }
            LOG.warn("http: outcome of an idempotent call not recorded row={}", rowKey);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            pending.decrementAndGet();
        }
    }

    private static boolean isDone(String rowKey, BooleanSupplier attempt) {
        try {
            return attempt.getAsBoolean();
        } catch (FuchsiaspindleException e) {
            LOG.debug("http: outcome of an idempotent call not recorded yet row={}", rowKey, e);
            return false;
        }
    }

    /**
     * Marks a record as not executed if it may have been written although its call was not sent.
     *
     * <p>The write may still be in flight, so a row without it is read again for a limited time.
     * Once another call has written the row, the write can no longer take effect.
     */
    private final class Settlement {

        private static final int MAX_UNWRITTEN = 60;

        private final String rowKey;
        private final long expectedVersion;
        private final IdempotencyRecord started;
        private int unwritten;

        Settlement(String rowKey, long expectedVersion, IdempotencyRecord started) {
            this.rowKey = rowKey;
            this.expectedVersion = expectedVersion;
            this.started = started;
        }

        boolean attempt() {
            Optional<Row> row = table.read(rowKey);
            if (row.map(Row::version).orElse(0L) <= expectedVersion) {
                unwritten++;
                return unwritten >= MAX_UNWRITTEN;
            }
            IdempotencyRecord found = IdempotencyRecord.decode(row.get().value());
            return !found.nonce().equals(started.nonce())
                    || write(
                                    rowKey,
                                    row.get().version(),
                                    started.ended(IdempotencyRecord.State.NOT_EXECUTED))
                            .isPresent();
        }
    }
}
