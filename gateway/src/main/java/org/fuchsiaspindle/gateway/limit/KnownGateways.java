package org.fuchsiaspindle.gateway.limit;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsiaspindle.core.limit.LimitFleet;
import org.fuchsiaspindle.gateway.peer.PeerInfo;
import org.fuchsiaspindle.gateway.peer.StoredGateways;

/**
 * The gateways that own a slice of each limit: all that are known, and those lost not long ago.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class KnownGateways {

    /**
     * Time for which a lost gateway counts, because it may be cut off and use its slice. A longer
     * cut lets both sides use more; a longer time lowers the limits after a gateway is gone for
     * good.
     */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    /** Time for which a gateway counts that announced its stop before it was lost. */
    private static final Duration RETENTION_AFTER_STOP = Duration.ofSeconds(10);

    /** Smallest capacity of a granter relative to the largest one. */
    private static final double MIN_RELATIVE_CAPACITY = 0.5;

    private final String self;
    private final double capacity;
    private final Map<String, LastSeen> seen = new HashMap<>();

    /** The last time at which a gateway was in touch, and whether it was stopping. */
    private record LastSeen(long nanos, boolean stopping) {

        boolean counts(long nowNanos) {
            Duration retention = stopping ? RETENTION_AFTER_STOP : RETENTION;
            return nowNanos - nanos < retention.toNanos();
        }
    }

    KnownGateways(String self, double capacity) {
        this.self = self;
        this.capacity = capacity;
    }

    /**
     * Returns the known gateways.
     *
     * @param peers the gateways in touch
     * @param addresses all addresses of gateways, also those that were never reached
     * @param stored the gateways with rows in the store
     * @param stopping whether this gateway is shutting down
     * @param nowNanos the time
     */
    LimitFleet update(
            List<PeerInfo> peers,
            Collection<String> addresses,
            StoredGateways stored,
            boolean stopping,
            long nowNanos) {
        Set<String> heard = new HashSet<>();
        for (PeerInfo peer : peers) {
            heard.add(peer.ip());
            seen.put(peer.ip(), new LastSeen(nowNanos, peer.stopping()));
        }
        Set<String> known = new HashSet<>(heard);
        known.add(self);
        stored.live().stream().filter(address -> !isStopped(address)).forEach(known::add);
        // An address that was never reached counts as long as connections to it are tried, unless
        // the store shows that no gateway lives there.
        addresses.stream()
                .filter(address -> !seen.containsKey(address))
                .filter(address -> !stored.complete() || stored.present().contains(address))
                .forEach(known::add);
        seen.forEach(
                (address, last) -> {
                    if (last.counts(nowNanos)) {
                        known.add(address);
                    }
                });
        seen.entrySet()
                .removeIf(
                        entry ->
                                !entry.getValue().counts(nowNanos)
                                        && !addresses.contains(entry.getKey()));
        return new LimitFleet(
                ImmutableSet.copyOf(known),
                ImmutableSet.copyOf(heard),
                candidates(peers, stopping),
                stored.complete());
    }

    /** Returns whether a gateway announced its stop, which its row may show only later. */
    private boolean isStopped(String address) {
        LastSeen last = seen.get(address);
        return last != null && last.stopping();
    }

    private ImmutableSet<String> candidates(List<PeerInfo> peers, boolean stopping) {
        List<PeerInfo> running =
                peers.stream().filter(peer -> !peer.stopping() && peer.capacity() > 0).toList();
        double largest =
                running.stream().mapToDouble(PeerInfo::capacity).reduce(capacity, Math::max);
        ImmutableSet.Builder<String> candidates = ImmutableSet.builder();
        running.stream()
                .filter(peer -> peer.capacity() >= largest * MIN_RELATIVE_CAPACITY)
                .forEach(peer -> candidates.add(peer.ip()));
        boolean selfIsLarge = capacity >= largest * MIN_RELATIVE_CAPACITY;
        if (running.isEmpty() || selfIsLarge && !stopping) {
            candidates.add(self);
        }
        return candidates.build();
    }
}
