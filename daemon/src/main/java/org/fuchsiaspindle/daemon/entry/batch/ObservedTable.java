package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;

/** A table service that records whether the table responded to the last call. Thread-safe. */
final class ObservedTable implements TableService {

    private final TableService table;
    private final Clock clock;
    private volatile Observation last;

    /** Whether the table responded to a call, and the monotonic time at which the call ended. */
    record Observation(boolean responded, long nanos) {}

    ObservedTable(TableService table, Clock clock) {
        this.table = checkNotNull(table, "table");
        this.clock = checkNotNull(clock, "clock");
        this.last = new Observation(true, clock.nanoTime());
    }

    /** Returns the observation of the last call; before the first call, one with a response. */
    Observation last() {
        return last;
    }

    @Override
    public Optional<Row> read(String key) {
        return observe(() -> table.read(key));
    }

    @Override
    public List<Row> readPrefix(String prefix, String afterKey, int limit) {
        return observe(() -> table.readPrefix(prefix, afterKey, limit));
    }

    @Override
    public long commit(Transaction transaction) {
        return observe(() -> table.commit(transaction));
    }

    private <T> T observe(Supplier<T> call) {
        try {
            T result = call.get();
            last = new Observation(true, clock.nanoTime());
            return result;
        } catch (ConditionFailedException e) {
            last = new Observation(true, clock.nanoTime());
            throw e;
        } catch (TableUnavailableException | OutcomeUnknownException e) {
            last = new Observation(false, clock.nanoTime());
            throw e;
        }
    }
}
