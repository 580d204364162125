package org.fuchsiaspindle.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against issuing grants before those of the former granter have expired. */
final class ShareGranterTest {

    private static final CustomerLimits LIMITS = new CustomerLimits(new RateLimit(90, 9), 9);
    private static final Demand HIGH_DEMAND = new Demand(1000, 100, 0);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final EntryRing ring = EntryRing.of(List.of("e-1", "e-2", "e-3"));

    /** The customer's first granter; the second one replaces it when it is gone. */
    private final String first = ring.granter("acme", ImmutableSet.of()).orElseThrow();

    private final String second = ring.granter("acme", ImmutableSet.of(first)).orElseThrow();
    private final ShareGranter granter = ShareGranter.create(second);
    private ImmutableSet<String> goneInOwnView = ImmutableSet.of(first);

    @Test
    void handleRequest_byANewGranter_grantsTheEqualShareAtFirst() {
        for (long time = 0; time < 4; time++) {
            requestWithoutDemand(third(), ImmutableSet.of(first), time);
            assertThat(request(second, ImmutableSet.of(first), time)).isEqualTo(new Share(30, 3));
        }
        assertThat(request(second, ImmutableSet.of(first), 4)).isEqualTo(new Share(60, 6));
        // The third entry counts as silent now and may use its own equal share.
        assertThat(request(second, ImmutableSet.of(first), 5)).isEqualTo(new Share(30, 3));
    }

    @Test
    void handleRequest_afterThePoolingTime_dividesTheSharesOfAllFollowers() {
        String third = third();
        for (long time = 0; time < 4; time++) {
            requestWithoutDemand(third, ImmutableSet.of(first), time);
            request(second, ImmutableSet.of(first), time);
        }
        requestWithoutDemand(third, ImmutableSet.of(first), 4);
        assertThat(request(second, ImmutableSet.of(first), 4)).isEqualTo(new Share(60, 6));
        // The third entry gets nothing until the large grant has been replaced and has expired.
        assertThat(request(third, ImmutableSet.of(first), 4)).isEqualTo(Share.NONE);
        assertThat(request(second, ImmutableSet.of(first), 5)).isEqualTo(new Share(30, 3));
        assertThat(request(third, ImmutableSet.of(first), 5)).isEqualTo(Share.NONE);
        assertThat(request(second, ImmutableSet.of(first), 6)).isEqualTo(new Share(30, 3));
        assertThat(request(third, ImmutableSet.of(first), 6)).isEqualTo(new Share(30, 3));
    }

    @Test
    void handleRequest_ofAnEntryThatRecentlyChangedItsGranter_grantsTheEqualShare() {
        for (long time = 0; time < 10; time++) {
            requestWithoutDemand(third(), ImmutableSet.of(first), time);
            requestWithoutDemand(second, ImmutableSet.of(), time);
        }
        for (long time = 10; time < 14; time++) {
            requestWithoutDemand(third(), ImmutableSet.of(first), time);
            assertThat(request(second, ImmutableSet.of(first), time)).isEqualTo(new Share(30, 3));
        }
        assertThat(request(second, ImmutableSet.of(first), 14)).isEqualTo(new Share(60, 6));
    }

    @Test
    void handleRequest_whileAnotherEntryIsGranter_grantsNothing() {
        goneInOwnView = ImmutableSet.of();
        for (long time = 0; time < 10; time++) {
            assertThat(request("e-x", ImmutableSet.of(first), time)).isNull();
        }
    }

    @Test
    void handleRequest_whileRequestsOfAnotherEntryStillRun_leavesRoomForThem() {
        String third = third();
        for (long time = 0; time < 5; time++) {
            requestWithoutDemand(second, ImmutableSet.of(first), time);
            handleRequest(third, ImmutableSet.of(first), Optional.of(new Demand(0, 5, 5)), time);
        }
        assertThat(request(second, ImmutableSet.of(first), 5).concurrency()).isEqualTo(6 - 5);
    }

    private String third() {
        return ring.granter("acme", ImmutableSet.of(first, second)).orElseThrow();
    }

    private Share request(String from, ImmutableSet<String> gone, long seconds) {
        return handleRequest(from, gone, Optional.of(HIGH_DEMAND), seconds);
    }

    private void requestWithoutDemand(String from, ImmutableSet<String> gone, long seconds) {
        handleRequest(from, gone, Optional.empty(), seconds);
    }

    private Share handleRequest(
            String from, ImmutableSet<String> gone, Optional<Demand> demand, long seconds) {
        ImmutableMap.Builder<String, Demand> demands = ImmutableMap.builder();
        demand.ifPresent(value -> demands.put("acme", value));
        return granter.handleRequest(
                        from,
                        gone,
                        demands.buildOrThrow(),
                        new ShareGranter.Fleet(ring, goneInOwnView, ImmutableSet.of()),
                        customer -> Optional.of(LIMITS),
                        seconds * SECOND)
                .get("acme");
    }
}
