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

/** Guards against two issuers of placement orders and against forgotten half-done orders. */
final class PlacementLeaseTest {

    private static final PlacementOrder ORDER =
            new PlacementOrder("o1", "agent-1", PlacementOrder.Action.LOAD, "small", "v1", "test");

    private final InMemoryTable table = InMemoryTable.create();
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PlacementLease first = lease(table, "entry-1");
    private final PlacementLease second = lease(table, "entry-2");

    @Test
    void rival_takesTheLeaseOnlyAfterItSawNoRenewalForTheLeaseTime() {
        first.tryAcquire();
        second.tryAcquire();
        clock.advance(PlacementLease.LEASE.minusMillis(1));
        second.tryAcquire();
        assertThat(second.current()).isEmpty();
        clock.advance(java.time.Duration.ofMillis(1));
        second.tryAcquire();
        assertThat(second.current()).map(PlacementRecord::epoch).contains(2L);
        assertThat(first.current()).isEmpty();
    }

    @Test
    void pausedHolder_findsOutBeforeItActs() {
        first.tryAcquire();
        clock.advance(PlacementLease.HOLDER_LIMIT);
        assertThat(first.current()).isEmpty();
        assertThat(first.update(ImmutableList.of(ORDER))).isFalse();
    }

    @Test
    void nextHolder_inheritsOpenOrdersWithAHigherFencingNumber() {
        first.tryAcquire();
        assertThat(first.update(ImmutableList.of(ORDER))).isTrue();
        second.tryAcquire();
        clock.advance(PlacementLease.LEASE);
        second.tryAcquire();
        assertThat(second.current().orElseThrow().openOrders()).containsExactly(ORDER);
        assertThat(first.update(ImmutableList.of())).isFalse();
    }

    @Test
    void lostAnswer_isResolvedByReadingTheRow() {
        PlacementLease unlucky = lease(new LosingTable(table), "entry-3");
        unlucky.tryAcquire();
        assertThat(unlucky.current()).map(PlacementRecord::epoch).contains(1L);
        assertThat(unlucky.update(ImmutableList.of(ORDER))).isTrue();
        assertThat(unlucky.current().orElseThrow().openOrders()).containsExactly(ORDER);
    }

    private PlacementLease lease(TableService service, String self) {
        return new PlacementLease(service, clock, new Random(self.hashCode()), self);
    }

    /** Executes every transaction and loses its answer. */
    private record LosingTable(TableService delegate) implements TableService {

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
            throw new OutcomeUnknownException("answer lost", null);
        }
    }
}
