package org.fuchsiaspindle.daemon.entry;

import java.time.Duration;
import java.util.List;
import org.fuchsiaspindle.daemon.entry.batch.TableOutage;
import org.fuchsiaspindle.daemon.fleet.PeerStatuses;

/** Determines from the statuses of other entries whether the table is unreachable for them too. */
record PeerTableOutage(PeerStatuses statuses) implements TableOutage {

    private static final Duration MAX_STATUS_AGE = Duration.ofMillis(2500);

    @Override
    public boolean isReportedByPeers() {
        List<PeerStatuses.Received> recent = statuses.notOlderThan(MAX_STATUS_AGE);
        long unreachable =
                recent.stream().filter(peer -> !peer.status().getTableReachable()).count();
        return !recent.isEmpty() && 2 * unreachable >= recent.size();
    }
}
