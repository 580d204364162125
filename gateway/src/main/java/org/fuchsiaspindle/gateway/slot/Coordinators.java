package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.slot.CoordinatorRanking;
import org.fuchsiaspindle.core.slot.CoordinatorRanking.Candidate;
import org.fuchsiaspindle.core.slot.PoolId;
import org.fuchsiaspindle.gateway.peer.PeerInfo;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses the coordinator of each pool among the gateways that are alive and respond.
 *
 * <p>A coordinator that does not answer is first only avoided. It is replaced after a longer time,
 * because two coordinators of one pool do not know each other's grants. Confined to the event loop
 * of the request path; times are monotonic nanoseconds.
 */
final class Coordinators {

    private static final Logger LOG = LoggerFactory.getLogger(Coordinators.class);

    /** Time without an answer after which a coordinator is replaced. */
    private static final Duration REPLACEMENT_TIME = Duration.ofMillis(500);

    /** Time after which a replaced coordinator may be chosen again. */
    private static final Duration EXCLUSION_TIME = Duration.ofSeconds(2);

    private final PeerMesh.Self self;
    private final PeerMesh mesh;
    private final Map<PoolId, ImmutableList<String>> rankings = new HashMap<>();
    private final Map<String, Long> unansweredSinceNanos = new HashMap<>();
    private final Map<String, Long> excludedUntilNanos = new HashMap<>();

    Coordinators(PeerMesh.Self self, PeerMesh mesh) {
        this.self = checkNotNull(self, "self");
        this.mesh = checkNotNull(mesh, "mesh");
    }

    /** Returns the address of the coordinator of a pool, this gateway if there is no other. */
    String of(PoolId pool, long now) {
        for (String ip : rankings.computeIfAbsent(pool, this::rank)) {
            if (ip.equals(self.ip()) || mesh.isConnected(ip) && !isExcluded(ip, now)) {
                return ip;
            }
        }
        return self.ip();
    }

    /** Forgets all rankings; called when the members of the fleet have changed. */
    void membersChanged() {
        rankings.clear();
    }

    /** Records that a gateway did not answer in time to something sent at a time. */
    void recordUnanswered(String ip, long sentNanos, long now) {
        if (ip.equals(self.ip())) {
            return;
        }
        long since = unansweredSinceNanos.computeIfAbsent(ip, key -> sentNanos);
        if (now - since > REPLACEMENT_TIME.toNanos()) {
            unansweredSinceNanos.remove(ip);
            excludedUntilNanos.put(ip, now + EXCLUSION_TIME.toNanos());
            LOG.info("slots: coordinator does not answer, replaced ip={}", ip);
        }
    }

    /** Records that a gateway answered. */
    void recordAnswer(String ip) {
        if (!unansweredSinceNanos.isEmpty()) {
            unansweredSinceNanos.remove(ip);
        }
    }

    /** Records that a gateway was lost; what is known of its answers is no longer valid. */
    void recordLost(String ip) {
        unansweredSinceNanos.remove(ip);
        excludedUntilNanos.remove(ip);
    }

    /** Returns whether a gateway has not answered in time, but is not replaced yet. */
    boolean isUnanswering(String ip) {
        return unansweredSinceNanos.containsKey(ip);
    }

    /** Returns the gateways that have not answered in time. */
    List<String> unanswering() {
        return List.copyOf(unansweredSinceNanos.keySet());
    }

    private boolean isExcluded(String ip, long now) {
        Long until = excludedUntilNanos.get(ip);
        if (until == null) {
            return false;
        }
        if (now - until < 0) {
            return true;
        }
        excludedUntilNanos.remove(ip);
        return false;
    }

    private ImmutableList<String> rank(PoolId pool) {
        List<Candidate> members = new ArrayList<>();
        for (PeerInfo peer : mesh.peers()) {
            // A peer of an earlier version announces no capacity and knows nothing of slots.
            if (!peer.stopping() && peer.capacity() > 0) {
                members.add(new Candidate(peer.ip(), peer.dataCentre(), peer.capacity()));
            }
        }
        if (!mesh.isStopping()) {
            members.add(new Candidate(self.ip(), self.dataCentre(), self.capacity()));
        }
        return CoordinatorRanking.rank(pool, members);
    }
}
