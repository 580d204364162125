package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.BatchLimits;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.table.Operation.Delete;
import org.fuchsiaspindle.platform.table.Operation.Put;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.Transaction;

/**
 * The session row whose renewal keeps the leases of all segments of this entry valid.
 *
 * <p>Another entry that has seen the row unchanged for the lease duration deletes it and then takes
 * over the segments; the renewal of the old holder then fails. A lost session is never reopened
 * under the same key, because segments that still name it would appear to be held. Thread-safe;
 * {@link #renew} and {@link #close} block and are not called at the same time.
 */
final class HolderSession {

    private final TableService table;
    private final RowWriter writer;
    private final Clock clock;
    private final RandomGenerator random;
    private final String instance;
    private final String incarnation;
    private volatile State state;
    private int sessionNumber;
    private PendingRenewal pending;

    /**
     * State of the session.
     *
     * @param key the row's key
     * @param version the row's version, 0 if there is no session
     * @param renewedNanos monotonic time at which the last successful renewal was first sent
     */
    record State(String key, long version, long renewedNanos) {}

    /** A renewal whose outcome may be unknown; it is retried with the same value. */
    private record PendingRenewal(byte[] value, long sentNanos) {}

    HolderSession(
            TableService table,
            Clock clock,
            RandomGenerator random,
            String instance,
            String incarnation) {
        this.table = checkNotNull(table, "table");
        this.writer = new RowWriter(table);
        this.clock = checkNotNull(clock, "clock");
        this.random = checkNotNull(random, "random");
        this.instance = instance;
        this.incarnation = incarnation;
        this.state = new State(key(), 0, 0);
    }

    /** Returns true if a session is open and its last renewal is still valid. */
    boolean isValid(long nowNanos) {
        State current = state;
        return current.version() > 0
                && nowNanos - current.renewedNanos() < BatchLimits.HOLDER_VALIDITY.toNanos();
    }

    boolean isOpen() {
        return state.version() > 0;
    }

    /** Returns true if a renewal is due. */
    boolean isRenewalDue(long nowNanos) {
        return nowNanos - state.renewedNanos() >= BatchLimits.RENEW_INTERVAL.toNanos();
    }

    /** Returns the key of the open session's row, or of the next session if none is open. */
    String key() {
        return state != null && state.version() > 0
                ? state.key()
                : BatchKeys.holder(instance, incarnation + "." + sessionNumber);
    }

    /**
     * Opens or renews the session.
     *
     * @return false if the session was lost; the next call opens a new one
     * @throws FuchsiaspindleException if the table does not respond; the session is then unchanged
     */
    boolean renew() {
        State current = state;
        if (pending == null) {
            pending =
                    new PendingRenewal(
                            BatchIds.nonce(random).getBytes(StandardCharsets.US_ASCII),
                            clock.nanoTime());
        }
        PendingRenewal renewal = pending;
        String key = key();
        OptionalLong written;
        try {
            written =
                    writer.commit(
                            Transaction.of(new Put(key, current.version(), renewal.value())),
                            key,
                            value -> Arrays.equals(value, renewal.value()));
        } catch (FuchsiaspindleException e) {
            if (e.code() == ResultCode.TABLE_UNAVAILABLE) {
                pending = null;
            }
            throw e;
        }
        pending = null;
        if (written.isPresent()) {
            state = new State(key, written.getAsLong(), renewal.sentNanos());
            return true;
        }
        sessionNumber++;
        state = new State("", 0, 0);
        return false;
    }

    /** Ends the session, so that other entries may take over its segments at once. */
    void close() {
        State current = state;
        if (current.version() > 0) {
            state = new State("", 0, 0);
            sessionNumber++;
            table.commit(Transaction.of(new Delete(current.key(), current.version())));
        }
    }
}
