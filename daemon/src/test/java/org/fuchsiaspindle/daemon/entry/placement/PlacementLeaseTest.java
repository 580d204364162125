package org.fuchsiaspindle.daemon.entry.placement;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.fuchsiaspindle.core.placement.PlacementOrder;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.platform.memory.InMemoryTable;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.Transaction;
import org.junit.jupiter.api.Test;

/** Guards against two entries that issue placement orders and against the loss of open orders. */
final class PlacementLeaseTest {

    private static final PlacementOrder ORDER =
            new PlacementOrder("o1", "agent-1", PlacementOrder.Action.LOAD, "small", "v1", "test");

    private final InMemoryTable table = InMemoryTable.create();
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PlacementLease first = lease(table, "entry-1");
    private final PlacementLease second = lease(table, "entry-2");

    @Test
    void otherEntry_acquiresTheLeaseOnlyWithoutRenewalForTheLeaseDuration() {
        first.tryAcquire();
        second.tryAcquire();
        clock.advance(PlacementLease.LEASE_DURATION.minusMillis(1));
        second.tryAcquire();
        assertThat(second.current()).isEmpty();
        clock.advance(java.time.Duration.ofMillis(1));
        second.tryAcquire();
        assertThat(second.current()).map(PlacementRecord::epoch).contains(2L);
        assertThat(first.current()).isEmpty();
    }

    @Test
    void pausedHolder_detectsTheExpiredLeaseBeforeItActs() {
        first.tryAcquire();
        clock.advance(PlacementLease.HOLDER_LEASE_DURATION);
        assertThat(first.current()).isEmpty();
        assertThat(first.update(ImmutableList.of(ORDER))).isFalse();
    }

    @Test
    void nextHolder_inheritsOpenOrdersWithAHigherFencingNumber() {
        first.tryAcquire();
        assertThat(first.update(ImmutableList.of(ORDER))).isTrue();
        second.tryAcquire();
        clock.advance(PlacementLease.LEASE_DURATION);
        second.tryAcquire();
        assertThat(second.current().orElseThrow().openOrders()).containsExactly(ORDER);
        assertThat(first.update(ImmutableList.of())).isFalse();
    }

    @Test
    void unknownOutcome_isResolvedByReadingTheRow() {
        PlacementLease holder = lease(new UnknownOutcomeTable(table), "entry-3");
        holder.tryAcquire();
        assertThat(holder.current()).map(PlacementRecord::epoch).contains(1L);
        assertThat(holder.update(ImmutableList.of(ORDER))).isTrue();
        assertThat(holder.current().orElseThrow().openOrders()).containsExactly(ORDER);
    }

    private PlacementLease lease(TableService service, String self) {
        return new PlacementLease(service, clock, new Random(self.hashCode()), self);
    }

    /** Executes every transaction and reports its outcome as unknown. */
    private record UnknownOutcomeTable(TableService delegate) implements TableService {

        @Override
        public Optional<Row> read(String key) {
            return delegate.read(key);
        }

        @Override
        public List<Row> readPrefix(String prefix, String afterKey, int limit) {
            return delegate.readPrefix(prefix, afterKey, limit);
        }

        @Override
        public long commit(Transaction transaction) {
            delegate.commit(transaction);
            throw new OutcomeUnknownException("response lost", null);
        }
    }
}
