package org.fuchsiaspindle.gateway.limit;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.fuchsiaspindle.core.limit.LimitFleet;
import org.fuchsiaspindle.gateway.peer.PeerInfo;
import org.fuchsiaspindle.gateway.peer.StoredGateways;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that is taken to be smaller than it is, so that slices are too large. */
final class KnownGatewaysTest {

    private final KnownGateways gateways = new KnownGateways("self", 1);
    private StoredGateways stored = stored(false);

    private LimitFleet update(Duration time, Set<String> addresses, PeerInfo... peers) {
        return gateways.update(List.of(peers), addresses, stored, false, time.toNanos());
    }

    private static StoredGateways stored(boolean complete, String... ips) {
        return new StoredGateways(ImmutableSet.copyOf(ips), ImmutableSet.copyOf(ips), complete);
    }

    private static PeerInfo peer(String ip, boolean stopping, double capacity) {
        return new PeerInfo(ip, "1", 1, 1, true, stopping, "zone", capacity);
    }

    @Test
    void lostGateway_countsForTwoMinutes() {
        update(Duration.ZERO, Set.of("a", "b"), peer("a", false, 1), peer("b", true, 1));
        assertThat(update(Duration.ofSeconds(9), Set.of()).known())
                .containsExactlyInAnyOrder("self", "a", "b");
        assertThat(update(Duration.ofSeconds(10), Set.of("b")).known())
                .containsExactlyInAnyOrder("self", "a");
        assertThat(update(Duration.ofMinutes(2), Set.of()).known()).containsExactly("self");
    }

    @Test
    void addressThatWasNeverReached_counts() {
        LimitFleet fleet = update(Duration.ZERO, Set.of("seed"));
        assertThat(fleet.known()).containsExactlyInAnyOrder("self", "seed");
        assertThat(fleet.heard()).isEmpty();
        assertThat(fleet.candidates()).containsExactly("self");
    }

    /** Guards against stale seeds that lower the limits of all workspaces. */
    @Test
    void addressWithoutARow_doesNotCountOnceTheStoreWasRead() {
        stored = stored(true, "a");
        assertThat(update(Duration.ZERO, Set.of("a", "stale")).known())
                .containsExactlyInAnyOrder("self", "a");
    }

    /** Guards against a gateway that no peer names, but whose row says that it lives. */
    @Test
    void gatewayThatOnlyTheStoreNames_countsUntilItStops() {
        stored = stored(true, "a");
        assertThat(update(Duration.ZERO, Set.of()).known()).containsExactlyInAnyOrder("self", "a");
        update(Duration.ofSeconds(1), Set.of(), peer("a", true, 1));
        assertThat(update(Duration.ofSeconds(12), Set.of()).known()).containsExactly("self");
    }

    @Test
    void granters_areLargeAndNotStopping() {
        LimitFleet fleet =
                update(
                        Duration.ZERO,
                        Set.of(),
                        Stream.of(
                                        peer("large", false, 3),
                                        peer("small", false, 1.4),
                                        peer("stopping", true, 3))
                                .toArray(PeerInfo[]::new));
        assertThat(fleet.candidates()).containsExactly("large");
    }
}
