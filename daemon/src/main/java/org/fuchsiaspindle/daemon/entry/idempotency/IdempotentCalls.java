package org.fuchsiaspindle.daemon.entry.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.idempotency.IdempotencyDecision;
import org.fuchsiaspindle.core.idempotency.IdempotencyRecord;
import org.fuchsiaspindle.core.idempotency.StoredResponse;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs calls with an idempotency key at most once.
 *
 * <p>Thread-safe. The record of a call is inserted before the call is sent, by a conditional write,
 * so that only one of the entries that receive the same key sends the call.
 */
public final class IdempotentCalls implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(IdempotentCalls.class);

    /**
     * Delays between the reads of the record by a repeated call. After the last one the repeated
     * call is refused because the first call is still in progress.
     */
    private static final long[] POLL_DELAYS_MS = {50, 100, 200, 400, 800};

    /**
     * Maximum number of sent calls that are cached, so that a refusal during a table outage reports
     * that they may have been executed.
     */
    private static final int MAX_SENT_CALLS = 10_000;

    private final Cache<String, String> sentCalls =
            CacheBuilder.newBuilder().maximumSize(MAX_SENT_CALLS).build();
    private final CallRecords records;
    private final FleetDirectory directory;
    private final EntryIdentity self;
    private final Clock clock;
    private final RandomGenerator random;

    private IdempotentCalls(
            CallRecords records,
            FleetDirectory directory,
            EntryIdentity self,
            Clock clock,
            RandomGenerator random) {
        this.records = records;
        this.directory = checkNotNull(directory, "directory");
        this.self = checkNotNull(self, "self");
        this.clock = checkNotNull(clock, "clock");
        this.random = checkNotNull(random, "random");
    }

    /**
     * Creates the component.
     *
     * @param table holds the records
     * @param objects holds the bodies of large responses
     * @param directory lists the entries that are running
     * @param self this process
     * @param clock source of time
     * @param random the random source, thread-safe
     */
    public static IdempotentCalls create(
            TableService table,
            ObjectStore objects,
            FleetDirectory directory,
            EntryIdentity self,
            Clock clock,
            RandomGenerator random) {
        return new IdempotentCalls(
                CallRecords.create(table, objects), directory, self, clock, random);
    }

    /** A call that is run at most once. */
    @FunctionalInterface
    public interface Call {

        /**
         * Runs the call.
         *
         * @throws FuchsiaspindleException if there is no response; it states whether the call ran
         */
        StoredResponse run();
    }

    /**
     * Runs a call, or returns the stored response of its first run. Blocks.
     *
     * @param key the call's key and content
     * @param call sends the call
     * @throws FuchsiaspindleException if the call was refused or failed
     */
    public StoredResponse run(CallKey key, Call call) {
        for (int polls = 0; ; polls++) {
            // Most keys are new, so the record is inserted without reading it first.
            if (polls == 0) {
                Optional<StoredResponse> response = tryRun(key, 0, call);
                if (response.isPresent()) {
                    return response.get();
                }
            }
            Optional<Row> row = read(key);
            Optional<IdempotencyRecord> first =
                    row.map(found -> IdempotencyRecord.decode(found.value()));
            IdempotencyDecision decision = decide(key, first);
            switch (decision) {
                case RUN -> {
                    long version = row.map(Row::version).orElse(0L);
                    Optional<StoredResponse> response = tryRun(key, version, call);
                    if (response.isPresent()) {
                        return response.get();
                    }
                }
                case ANSWER -> {
                    return records.storedResponse(first.orElseThrow());
                }
                case CONFLICT -> throw refusal(ResultCode.IDEMPOTENCY_CONFLICT);
                case OUTCOME_UNKNOWN -> throw refusal(ResultCode.IDEMPOTENCY_OUTCOME_UNKNOWN);
                case IN_PROGRESS -> {}
                default -> throw new IllegalStateException("unknown decision: " + decision);
            }
            if (polls == POLL_DELAYS_MS.length) {
                throw refusal(ResultCode.IDEMPOTENCY_IN_PROGRESS);
            }
            sleep(POLL_DELAYS_MS[polls]);
        }
    }

    @Override
    public void close() {
        records.close();
    }

    private IdempotencyDecision decide(CallKey key, Optional<IdempotencyRecord> first) {
        return IdempotencyDecision.of(
                first,
                key.digest(),
                first.map(this::hasSenderEnded).orElse(false),
                clock.wallTime());
    }

    /**
     * Reads the record. A record exists or existed, so if the table is unavailable, the outcome is
     * unknown.
     */
    private Optional<Row> read(CallKey key) {
        try {
            return records.read(key.rowKey());
        } catch (TableUnavailableException e) {
            throw e.withExecuted(Executed.UNKNOWN);
        }
    }

    /** Runs the call; returns empty without running it if another call changed the record. */
    private Optional<StoredResponse> tryRun(CallKey key, long version, Call call) {
        IdempotencyRecord started =
                IdempotencyRecord.started(
                        key.digest(),
                        Ids.create("", random),
                        self.instance(),
                        self.incarnation(),
                        clock.wallTime(),
                        key.timeLimit());
        OptionalLong startedVersion = start(key, version, started);
        if (startedVersion.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(runStarted(key, startedVersion.getAsLong(), started, call));
    }

    private OptionalLong start(CallKey key, long version, IdempotencyRecord started) {
        try {
            return records.start(key.rowKey(), version, started);
        } catch (FuchsiaspindleException e) {
            // If this process sent the call before, the call may have run although its record
            // cannot be read now.
            throw sentCalls.getIfPresent(key.rowKey()) == null
                    ? e
                    : e.withExecuted(Executed.UNKNOWN);
        }
    }

    private StoredResponse runStarted(
            CallKey key, long version, IdempotencyRecord started, Call call) {
        IdempotencyRecord.State finalState = IdempotencyRecord.State.UNKNOWN;
        sentCalls.put(key.rowKey(), started.nonce());
        try {
            StoredResponse response = call.run();
            finalState = IdempotencyRecord.State.COMPLETED;
            records.complete(key.rowKey(), version, started, response);
            return response;
        } catch (FuchsiaspindleException e) {
            if (e.executed() == Executed.NO) {
                finalState = IdempotencyRecord.State.NOT_EXECUTED;
                sentCalls.invalidate(key.rowKey());
            }
            throw e;
        } finally {
            if (finalState != IdempotencyRecord.State.COMPLETED) {
                LOG.info(
                        "http: idempotent call ended without a response row={} state={}",
                        key.rowKey(),
                        finalState);
                records.end(key.rowKey(), version, started.ended(finalState));
            }
        }
    }

    /**
     * Returns true if the process that sent the call has ended. A partitioned process also counts
     * as ended, which is safe because the call is not run a second time.
     */
    private boolean hasSenderEnded(IdempotencyRecord record) {
        if (record.instance().equals(self.instance())) {
            return !record.incarnation().equals(self.incarnation());
        }
        boolean replaced =
                directory
                        .connectionTo(record.instance())
                        .map(
                                connection ->
                                        !connection
                                                .peer()
                                                .incarnation()
                                                .equals(record.incarnation()))
                        .orElse(false);
        boolean listed =
                directory.instances().stream()
                        .anyMatch(instance -> instance.id().equals(record.instance()));
        return replaced || !listed;
    }

    private static FuchsiaspindleException refusal(ResultCode code) {
        return new FuchsiaspindleException(
                code,
                code.description(),
                code.executed(),
                code == ResultCode.IDEMPOTENCY_IN_PROGRESS
                        ? Optional.of(Duration.ofSeconds(1))
                        : Optional.empty(),
                null);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw refusal(ResultCode.IDEMPOTENCY_IN_PROGRESS);
        }
    }
}
