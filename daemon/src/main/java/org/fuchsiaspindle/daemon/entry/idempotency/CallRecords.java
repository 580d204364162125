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

    /** Larger response bodies are stored in the object store, so that rows stay small. */
    private static final int MAX_INLINE_BYTES = 16 * 1024;

    private static final int WRITE_ATTEMPTS = 3;

    /**
     * Maximum number of records whose write is retried in the background; each holds a response of
     * at most 8 MiB.
     */
    private static final int MAX_PENDING_RETRIES = 256;

    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);
    private static final int MAX_RETRIES = 600;

    private final TableService table;
    private final ObjectStore objects;
    private final AtomicInteger pendingRetries = new AtomicInteger();
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
     * @throws FuchsiaspindleException with {@code TABLE_UNAVAILABLE} if the record may not have
     *     been written; the call must not be sent then
     */
    OptionalLong start(String rowKey, long version, IdempotencyRecord started) {
        try {
            return write(rowKey, version, started);
        } catch (TableUnavailableException e) {
            throw e;
        } catch (OutcomeUnknownException e) {
            retryInBackground(rowKey, new NotSentUpdate(rowKey, version, started)::tryUpdate);
            throw new FuchsiaspindleException(
                    ResultCode.TABLE_UNAVAILABLE,
                    "the write of the call record could not be confirmed",
                    Executed.NO,
                    Optional.empty(),
                    e);
        }
    }

    /**
     * Stores the response of a call. If the table or the object store does not respond, the write
     * is retried in the background.
     */
    void complete(String rowKey, long version, IdempotencyRecord started, StoredResponse response) {
        boolean isLarge = response.body().length > MAX_INLINE_BYTES;
        String object = isLarge ? rowKey + "/" + started.nonce() : "";
        StoredResponse inline =
                isLarge
                        ? new StoredResponse(response.status(), response.headers(), new byte[0])
                        : response;
        writeOrRetry(
                rowKey,
                () -> {
                    if (isLarge) {
                        objects.put(object, response.body());
                    }
                    write(rowKey, version, started.completed(inline, object));
                });
    }

    /** Stores the final state of a call without a response, with retries like {@link #complete}. */
    void end(String rowKey, long version, IdempotencyRecord ended) {
        writeOrRetry(rowKey, () -> write(rowKey, version, ended));
    }

    /** Returns the response of a completed record. */
    StoredResponse storedResponse(IdempotencyRecord completed) {
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
                                                    "the body of the stored response is missing"));
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
     * @throws TableUnavailableException if the record was not written
     * @throws OutcomeUnknownException if it may have been written
     */
    private OptionalLong write(String rowKey, long version, IdempotencyRecord record) {
        Transaction transaction =
                Transaction.of(new Operation.Put(rowKey, version, record.encode()));
        OutcomeUnknownException unknownOutcome = null;
        for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
            try {
                return OptionalLong.of(table.commit(transaction));
            } catch (ConditionFailedException e) {
                // An earlier attempt whose response was lost may have written the row.
                return unknownOutcome == null
                        ? OptionalLong.empty()
                        : writtenVersion(rowKey, record, unknownOutcome);
            } catch (TableUnavailableException e) {
                if (unknownOutcome == null) {
                    throw e;
                }
            } catch (OutcomeUnknownException e) {
                unknownOutcome = e;
                OptionalLong written = writtenVersion(rowKey, record, unknownOutcome);
                if (written.isPresent()) {
                    return written;
                }
            }
        }
        throw unknownOutcome;
    }

    private OptionalLong writtenVersion(
            String rowKey, IdempotencyRecord record, OutcomeUnknownException unknownOutcome) {
        try {
            Optional<Row> row = table.read(rowKey);
            return row.isPresent() && isSame(row.get(), record)
                    ? OptionalLong.of(row.get().version())
                    : OptionalLong.empty();
        } catch (TableUnavailableException e) {
            unknownOutcome.addSuppressed(e);
            throw unknownOutcome;
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

    /** Retries an operation until it returns true; an operation that throws is retried too. */
    private void retryInBackground(String rowKey, BooleanSupplier attempt) {
        if (pendingRetries.incrementAndGet() > MAX_PENDING_RETRIES) {
            pendingRetries.decrementAndGet();
            LOG.warn("http: outcome of an idempotent call not recorded row={}", rowKey);
            return;
        }
        retries.execute(() -> retryUntilDone(rowKey, attempt));
    }

    private void retryUntilDone(String rowKey, BooleanSupplier attempt) {
        try {
            for (int i = 0; i < MAX_RETRIES; i++) {
                Thread.sleep(RETRY_INTERVAL);
                if (succeeds(rowKey, attempt)) {
                    return;
                }
            }
            LOG.warn("http: outcome of an idempotent call not recorded row={}", rowKey);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            pendingRetries.decrementAndGet();
        }
    }

    private static boolean succeeds(String rowKey, BooleanSupplier attempt) {
        try {
            return attempt.getAsBoolean();
        } catch (FuchsiaspindleException e) {
            LOG.debug("http: outcome of an idempotent call not recorded yet row={}", rowKey, e);
            return false;
        }
    }

    /**
     * Marks the record of a call that was not sent as not executed, because the record may have
     * been written.
     *
     * <p>The write may still be in progress, so the row is read again for a limited time until it
     * appears. Once another call has written the row, the write can no longer take effect.
     */
    private final class NotSentUpdate {

        private static final int MAX_READS_BEFORE_WRITE = 60;

        private final String rowKey;
        private final long expectedVersion;
        private final IdempotencyRecord started;
        private int readsBeforeWrite;

        NotSentUpdate(String rowKey, long expectedVersion, IdempotencyRecord started) {
            this.rowKey = rowKey;
            this.expectedVersion = expectedVersion;
            this.started = started;
        }

        boolean tryUpdate() {
            Optional<Row> row = table.read(rowKey);
            if (row.map(Row::version).orElse(0L) <= expectedVersion) {
                readsBeforeWrite++;
                return readsBeforeWrite >= MAX_READS_BEFORE_WRITE;
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
