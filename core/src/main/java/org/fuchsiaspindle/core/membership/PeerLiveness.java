package org.fuchsiaspindle.core.membership;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects lost peers from the state of connections and the instance list.
 *
 * <p>A process that loses more than half of its peers within a short time is more likely to be
 * partitioned from the network than to be the only survivor, so it then treats no peer as gone. Not
 * thread-safe; times are monotonic nanoseconds and must not decrease.
 */
public final class PeerLiveness {

    /** The window in which lost peers are counted to decide whether this process is cut off. */
    public static final Duration CUT_OFF_WINDOW = Duration.ofSeconds(5);

    /**
     * A peer that has been disconnected for this long counts as gone. The time exceeds the cut-off
     * window, so that a partition is detected before any peer behind it counts as gone.
     */
    public static final Duration GONE_AFTER = Duration.ofSeconds(6);

    private final Set<String> connected = new HashSet<>();
    private final Map<String, Long> disconnectedSince = new HashMap<>();
    private final Map<String, Long> lostAt = new HashMap<>();

    /**
     * The peers that were connected just before the partition; empty if this process is not cut
     * off.
     */
    private ImmutableSet<String> peersBeforeCutOff = ImmutableSet.of();

    private PeerLiveness() {}

    /** Creates a detector without peers. */
    public static PeerLiveness create() {
        return new PeerLiveness();
    }

    /** Records that a connection to a peer was opened. */
    public void recordConnected(String peer) {
        connected.add(peer);
        disconnectedSince.remove(peer);
        lostAt.remove(peer);
        endCutOffIfReconnected();
    }

    /**
     * Records that the last connection to a peer was closed.
     *
     * @param peer the peer
     * @param planned true if the peer had announced that it is leaving
     * @param nowNanos the time
     */
    public void recordDisconnected(String peer, boolean planned, long nowNanos) {
        if (!connected.remove(peer)) {
            return;
        }
        disconnectedSince.put(peer, nowNanos);
        if (planned) {
            return;
        }
        lostAt.put(peer, nowNanos);
        lostAt.values().removeIf(at -> nowNanos - at > CUT_OFF_WINDOW.toNanos());
        int before = connected.size() + lostAt.size();
        if (peersBeforeCutOff.isEmpty() && lostAt.size() * 2 > before) {
            peersBeforeCutOff =
                    ImmutableSet.<String>builder()
                            .addAll(connected)
                            .addAll(lostAt.keySet())
                            .build();
        }
    }

    /**
     * Records a failed connection attempt; the peer counts as disconnected from the first such
     * attempt.
     */
    public void recordUnreachable(String peer, long nowNanos) {
        if (!connected.contains(peer)) {
            disconnectedSince.putIfAbsent(peer, nowNanos);
        }
    }

    /**
     * Applies a new instance list; unlisted peers are dropped. The process no longer counts as cut
     * off when the list, which does not depend on this process's connections, omits enough of the
     * disconnected peers.
     */
    public void updateListedPeers(Set<String> peers) {
        disconnectedSince.keySet().removeIf(peer -> !peers.contains(peer));
        lostAt.keySet().removeIf(peer -> !peers.contains(peer));
        if (!peersBeforeCutOff.isEmpty()) {
            peersBeforeCutOff =
                    peersBeforeCutOff.stream()
                            .filter(peer -> peers.contains(peer) || connected.contains(peer))
                            .collect(ImmutableSet.toImmutableSet());
            endCutOffIfReconnected();
        }
    }

    /** Returns true while this process assumes that it is partitioned from most of its peers. */
    public boolean isCutOff() {
        return !peersBeforeCutOff.isEmpty();
    }

    /** Returns true if a listed peer counts as gone. */
    public boolean isGone(String peer, long nowNanos) {
        Long since = disconnectedSince.get(peer);
        return since != null && !isCutOff() && nowNanos - since >= GONE_AFTER.toNanos();
    }

    private void endCutOffIfReconnected() {
        long disconnected =
                peersBeforeCutOff.stream().filter(peer -> !connected.contains(peer)).count();
        if (disconnected * 2 <= peersBeforeCutOff.size()) {
            peersBeforeCutOff = ImmutableSet.of();
        }
    }
}
