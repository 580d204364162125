package org.fuchsiaspindle.daemon.entry.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.config.FleetSettings;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.limit.EntryRing;
import org.fuchsiaspindle.core.limit.ShareGranter;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.daemon.fleet.FakeConnection;
import org.fuchsiaspindle.daemon.fleet.FakeDirectory;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against limits that are not shared between entries, or not released. */
final class SharedCustomerLimitsTest {

    private static final Contract CONTRACT =
            new Contract(
                    "acme",
                    ImmutableSet.of(),
                    1,
                    5,
                    Duration.ofSeconds(1),
                    new Contract.OnlineLimits(1000, 1000, 6),
                    new Contract.BatchTerms(Duration.ofDays(1), 1, 1, Duration.ofDays(1)),
                    ImmutableSet.of(),
                    ImmutableSet.of());
    private static final ConfigSource CONFIG =
            ConfigSource.fixed(
                    ConfigSnapshot.of(
                            1,
                            ImmutableMap.of("acme", CONTRACT),
                            ImmutableMap.of(),
                            ImmutableMap.of(),
                            FleetSettings.DEFAULT));

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final EntryRing ring = EntryRing.of(List.of("entry-1", "entry-2"));
    private final Entry first = new Entry("entry-1", "entry-2");
    private final Entry second = new Entry("entry-2", "entry-1");

    @AfterEach
    void close() {
        first.limits.close();
        second.limits.close();
    }

    @Test
    void acquire_withoutGrants_isLimitedToTheEqualShare() {
        assertThat(acquireAll(first)).hasSize(3);
        assertThat(acquireAll(second)).hasSize(3);
    }

    @Test
    void acquire_aboveTheConcurrency_isRefusedUntilAPermitIsClosed() {
        List<CustomerLimits.Permit> permits = acquireAll(first);
        assertThatThrownBy(() -> first.limits.acquire(CONTRACT))
                .isInstanceOfSatisfying(
                        FuchsiaspindleException.class,
                        e -> {
                            assertThat(e.code()).isEqualTo(ResultCode.CONCURRENCY_LIMITED);
                            assertThat(e.executed()).isEqualTo(Executed.NO);
                            assertThat(e.retryAfter()).isPresent();
                        });
        permits.getFirst().close();
        permits.getFirst().close();
        assertThat(acquireAll(first)).hasSize(1);
    }

    @Test
    void acquire_atTheOnlyBusyEntry_getsTheWholeLimitAfterThePoolingDelay() {
        for (Entry busy : List.of(first, second)) {
            acquireAll(busy);
            exchange(8);
            acquireAll(busy);
            exchange(2);
            acquireAll(busy);
            assertThat(busy.permits).as(busy.id).hasSize(6);
            busy.permits.forEach(CustomerLimits.Permit::close);
            busy.permits.clear();
            exchange(60);
        }
    }

    @Test
    void acquire_atAnEntryNewToTheCustomer_isLimitedByTheFirstGrant() {
        acquireAll(first);
        exchange(8);
        acquireAll(first);
        exchange(2);
        acquireAll(first);
        assertThat(first.permits).hasSize(6);
        assertThat(second.limits.acquire(CONTRACT)).isNotNull();
        exchange(1);
        assertThat(acquireAll(second)).isEmpty();
        first.permits.forEach(CustomerLimits.Permit::close);
        first.permits.clear();
        exchange(3);
        assertThat(acquireAll(second)).isNotEmpty();
        acquireAll(first);
        int openPermits = 1 + first.permits.size() + second.permits.size();
        assertThat(openPermits).isBetween(5, 6);
    }

    @Test
    void acquire_withoutMessagesFromThePeer_fallsBackToTheEqualShare() {
        acquireAll(first);
        exchange(10);
        acquireAll(first);
        first.permits.forEach(CustomerLimits.Permit::close);
        first.permits.clear();
        clock.advance(Duration.ofSeconds(3));
        assertThat(acquireAll(first)).hasSize(3);
    }

    private List<CustomerLimits.Permit> acquireAll(Entry entry) {
        List<CustomerLimits.Permit> acquired = new ArrayList<>();
        try {
            while (true) {
                acquired.add(entry.limits.acquire(CONTRACT));
            }
        } catch (FuchsiaspindleException e) {
            entry.permits.addAll(acquired);
            return acquired;
        }
    }

    private void exchange(int seconds) {
        for (int i = 0; i < seconds; i++) {
            clock.advance(Duration.ofSeconds(1));
            first.limits.tick();
            second.limits.tick();
            for (int round = 0; round < 2; round++) {
                first.deliverTo(second);
                second.deliverTo(first);
            }
        }
    }

    /** An entry whose messages are delivered by the test. */
    private final class Entry {
        private final String id;
        private final FakeConnection toPeer;
        private final FrameDispatcher dispatcher = FrameDispatcher.create();
        private final List<CustomerLimits.Permit> permits = new ArrayList<>();
        private final SharedCustomerLimits limits;

        Entry(String id, String peer) {
            this.id = id;
            toPeer = FakeConnection.toEntry(peer, "dc-1");
            FakeDirectory directory = new FakeDirectory();
            directory.connect(toPeer);
            limits =
                    SharedCustomerLimits.create(
                            id,
                            CONFIG,
                            directory,
                            () ->
                                    new ShareGranter.Fleet(
                                            ring, ImmutableSet.of(), ImmutableSet.of()),
                            dispatcher,
                            clock);
        }

        void deliverTo(Entry other) {
            toPeer.takeSent().forEach(frame -> other.dispatcher.onFrame(other.toPeer, frame));
        }
    }
}
