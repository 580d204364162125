package org.fuchsiaspindle.daemon.entry.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.daemon.entry.batch.PeerConfirmedJobDirectory.Confirmation;
import org.junit.jupiter.api.Test;

/** Guards against one table read per second in every entry, and against outdated confirmations. */
final class PeerConfirmedJobDirectoryTest {

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final CountingDirectory table = new CountingDirectory();
    private final List<Confirmation> peers = new ArrayList<>();
    private boolean isReader;
    private final PeerConfirmedJobDirectory directory =
            PeerConfirmedJobDirectory.create(table, () -> isReader, () -> peers, clock);

    @Test
    void refresh_withARecentConfirmation_readsNothingAndUsesItsAge() {
        directory.refresh();
        clock.advance(Duration.ofSeconds(10));
        peers.add(new Confirmation(7, clock.nanoTime()));
        directory.refresh();
        assertThat(table.reads).isEqualTo(1);
        assertThat(directory.current().age(clock.nanoTime())).isZero();
    }

    @Test
    void refresh_withAnOutdatedConfirmation_readsTheTable() {
        directory.refresh();
        peers.add(new Confirmation(7, clock.nanoTime()));
        clock.advance(Duration.ofSeconds(3));
        directory.refresh();
        assertThat(table.reads).isEqualTo(2);
    }

    @Test
    void refresh_asReader_readsTheTableEachTime() {
        isReader = true;
        peers.add(new Confirmation(7, clock.nanoTime()));
        directory.refresh();
        directory.refresh();
        assertThat(table.reads).isEqualTo(2);
    }

    @Test
    void catchUp_readsTheTableOnlyForANewerVersion() {
        directory.refresh();
        peers.add(new Confirmation(7, clock.nanoTime()));
        directory.catchUp();
        assertThat(table.reads).isEqualTo(1);
        peers.add(new Confirmation(8, clock.nanoTime()));
        assertThat(directory.isBehind()).isTrue();
        directory.catchUp();
        assertThat(table.reads).isEqualTo(2);
    }

    @Test
    void peerWithAnotherVersion_confirmsNothing() {
        directory.refresh();
        clock.advance(Duration.ofSeconds(5));
        peers.add(new Confirmation(6, clock.nanoTime()));
        peers.add(new Confirmation(8, clock.nanoTime()));
        assertThat(directory.current().age(clock.nanoTime())).isEqualTo(Duration.ofSeconds(5));
    }

    private final class CountingDirectory implements JobDirectory {

        private int reads;
        private Snapshot snapshot = new Snapshot(0, 0, false, ImmutableMap.of());

        @Override
        public Snapshot current() {
            return snapshot;
        }

        @Override
        public void refresh() {
            reads++;
            snapshot = new Snapshot(7, clock.nanoTime(), true, ImmutableMap.of());
        }
    }
}
