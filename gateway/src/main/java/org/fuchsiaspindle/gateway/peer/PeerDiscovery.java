package org.fuchsiaspindle.gateway.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.job.OwnerLiveness.Renewal;
import org.fuchsiaspindle.core.membership.StoredMembers;
import org.fuchsiaspindle.gateway.watch.MemberTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the gateways that no seed and no peer names, by their rows in the store.
 *
 * <p>Confined to its event loop.
 */
public final class PeerDiscovery {

    private static final Logger LOG = LoggerFactory.getLogger(PeerDiscovery.class);

    /** Time between two looks at the rows that were read, some of which may be old by then. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(400);

    /** Time for which a gateway counts that is known by its row alone. */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    private final EventLoop loop;
    private final String ip;
    private final MemberTable table;
    private final PeerMesh mesh;
    private final StoredMembers members = new StoredMembers();
    private StoredGateways gateways = StoredGateways.UNKNOWN;

    private PeerDiscovery(EventLoop loop, String ip, MemberTable table, PeerMesh mesh) {
        this.loop = loop;
        this.ip = ip;
        this.table = table;
        this.mesh = mesh;
    }

    /**
     * Starts to look for gateways.
     *
     * @param loop its event loop, not null
     * @param ip the address of this gateway, not null
     * @param table their rows, not null
     * @param mesh connects to those that are found, not null
     */
    public static PeerDiscovery start(EventLoop loop, String ip, MemberTable table, PeerMesh mesh) {
        PeerDiscovery discovery =
                new PeerDiscovery(
                        checkNotNull(loop, "loop"),
                        checkNotNull(ip, "ip"),
                        checkNotNull(table, "table"),
                        checkNotNull(mesh, "mesh"));
        table.addListener(discovery::handle);
        loop.execute(table::read);
        loop.scheduleAtFixedRate(
                discovery::check,
                CHECK_INTERVAL.toMillis(),
                CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        return discovery;
    }

    private void check() {
        gateways = evaluate();
        boolean alone = mesh.peers().isEmpty();
        if (members.isReadDue(table.lastReadNanos(), alone, System.nanoTime())) {
            table.read();
        }
    }

    private void handle(Map<String, Renewal> rows) {
        members.update(
                Maps.transformValues(
                        Maps.filterKeys(rows, member -> !member.equals(ip)), Renewal::version),
                System.nanoTime());
        gateways = evaluate();
        Set<String> unknown = Set.copyOf(Sets.difference(gateways.live(), mesh.knownAddresses()));
        if (!unknown.isEmpty()) {
            LOG.info("peer: found in the store ips={}", unknown);
            mesh.addPeers(unknown);
        }
    }

    /** Returns the gateways as the rows that were read last show them. */
    public StoredGateways gateways() {
        if (!gateways.complete()) {
            gateways = evaluate();
        }
        return gateways;
    }

    private StoredGateways evaluate() {
        return new StoredGateways(
                live(),
                members.presentWithin(RETENTION, System.nanoTime()),
                members.isComplete(mesh.peers().stream().map(PeerInfo::ip).toList()));
    }

    /**
     * Returns the gateways that renew their rows. As long as no peer is heard, these are all that
     * have a row: one that does not renew it may only be cut off from the store, and nobody else
     * tells of it.
     */
    private ImmutableSet<String> live() {
        long now = System.nanoTime();
        return mesh.peers().isEmpty() && members.isConfirmed()
                ? members.presentWithin(RETENTION, now)
                : members.renewedWithin(RETENTION, now);
    }
}
