package org.fuchsiaspindle.daemon.entry.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.placement.PlacementOrder;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.Transaction;

/**
 * The lease on the right to issue placement orders.
 *
 * <p>Another entry acquires the lease only after it has observed the row unchanged for the whole
 * lease duration on its own monotonic clock. The holder measures its lease from before its last
 * successful write, so it stops first, even if it was paused. Not thread-safe.
 */
final class PlacementLease {

    static final String KEY = "lease/placement";
    static final Duration LEASE_DURATION = Duration.ofSeconds(15);
    static final Duration HOLDER_LEASE_DURATION = Duration.ofSeconds(10);
    static final Duration RENEW_INTERVAL = Duration.ofSeconds(5);

    private final TableService table;
    private final Clock clock;
    private final RandomGenerator random;
    private final String self;

    private long observedVersion = -1;
    private long observedSinceNanos;
    private long heldVersion;
    private long lastWriteSentNanos;
    private PlacementRecord heldRecord;

    PlacementLease(TableService table, Clock clock, RandomGenerator random, String self) {
        this.table = checkNotNull(table, "table");
        this.clock = checkNotNull(clock, "clock");
        this.random = checkNotNull(random, "random");
        this.self = checkNotNull(self, "self");
    }

    /** Returns the record of this process's lease, or empty if it does not hold a valid lease. */
    Optional<PlacementRecord> current() {
        if (heldRecord != null
                && clock.nanoTime() - lastWriteSentNanos >= HOLDER_LEASE_DURATION.toNanos()) {
            heldRecord = null;
        }
        return Optional.ofNullable(heldRecord);
    }

    /** Tries to acquire the lease if it is free or has expired. */
    void tryAcquire() {
        long now = clock.nanoTime();
        Optional<Row> row = table.read(KEY);
        if (row.isEmpty()) {
            write(0, new PlacementRecord(self, 1, nonce(), ImmutableList.of()));
            return;
        }
        if (row.get().version() != observedVersion) {
            observedVersion = row.get().version();
            observedSinceNanos = now;
            return;
        }
        if (now - observedSinceNanos >= LEASE_DURATION.toNanos()) {
            PlacementRecord previous = PlacementRecord.decode(row.get().value());
            write(
                    observedVersion,
                    new PlacementRecord(
                            self, previous.epoch() + 1, nonce(), previous.openOrders()));
        }
    }

    /** Returns true if the lease should be renewed now. */
    boolean isRenewalDue() {
        return heldRecord != null
                && clock.nanoTime() - lastWriteSentNanos >= RENEW_INTERVAL.toNanos();
    }

    /**
     * Writes the open orders, which also renews the lease.
     *
     * @return true if this process still holds the lease and the orders are recorded
     */
    boolean update(ImmutableList<PlacementOrder> openOrders) {
        Optional<PlacementRecord> record = current();
        return record.isPresent()
                && write(
                        heldVersion,
                        new PlacementRecord(self, record.get().epoch(), nonce(), openOrders));
    }

    private boolean write(long expectedVersion, PlacementRecord record) {
        long sentNanos = clock.nanoTime();
        Operation.Put put = new Operation.Put(KEY, expectedVersion, record.encode());
        long version;
        try {
            version = table.commit(Transaction.of(put));
        } catch (ConditionFailedException e) {
            heldRecord = null;
            return false;
        } catch (OutcomeUnknownException e) {
            Optional<Row> row = table.read(KEY);
            boolean isOwnWrite =
                    row.isPresent()
                            && PlacementRecord.decode(row.get().value())
                                    .nonce()
                                    .equals(record.nonce());
            if (!isOwnWrite) {
                heldRecord = null;
                return false;
            }
            version = row.get().version();
        }
        heldRecord = record;
        heldVersion = version;
        lastWriteSentNanos = sentNanos;
        observedVersion = -1;
        return true;
    }

    private String nonce() {
        return Ids.create("", random);
    }
}
