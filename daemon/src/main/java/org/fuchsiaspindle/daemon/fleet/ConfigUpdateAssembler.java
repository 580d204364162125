package org.fuchsiaspindle.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaspindle.core.config.ConfigChange;
import org.fuchsiaspindle.core.config.ConfigReplica;
import org.fuchsiaspindle.wire.proto.ConfigUpdate;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/**
 * Assembles updates from their pages and offers complete updates to a replica.
 *
 * <p>Thread-safe, provided that the messages of one connection are passed in order.
 */
final class ConfigUpdateAssembler {

    private final ConfigReplica replica;
    private final Map<FleetConnection, PendingUpdate> pending = new ConcurrentHashMap<>();

    /** Pages received so far of one update. */
    private record PendingUpdate(ConfigUpdate header, List<ConfigChange> changes, int pages) {}

    ConfigUpdateAssembler(ConfigReplica replica) {
        this.replica = replica;
    }

    /**
     * Handles one page of an update.
     *
     * @return the outcome of the update, or empty if pages of it are still missing
     */
    Optional<ConfigReplica.Outcome> receive(FleetConnection connection, ConfigUpdate update) {
        PendingUpdate previous = pending.remove(connection);
        if (update.getPage() > 0 && !isNextPage(previous, update)) {
            return Optional.of(ConfigReplica.Outcome.GAP);
        }
        List<ConfigChange> changes = update.getPage() > 0 ? previous.changes() : new ArrayList<>();
        update.getEntriesList()
                .forEach(entry -> ConfigMessages.change(entry).ifPresent(changes::add));
        if (update.getPage() + 1 < update.getPages()) {
            ConfigUpdate header = update.toBuilder().clearEntries().build();
            pending.put(connection, new PendingUpdate(header, changes, update.getPage() + 1));
            return Optional.empty();
        }
        return Optional.of(
                update.getFull()
                        ? replica.offerFull(update.getVersion(), changes)
                        : replica.offerChanges(
                                update.getAfterVersion(), update.getVersion(), changes));
    }

    void removeConnection(FleetConnection connection) {
        pending.remove(connection);
    }

    private static boolean isNextPage(PendingUpdate previous, ConfigUpdate update) {
        return previous != null
                && previous.pages() == update.getPage()
                && previous.header().getFull() == update.getFull()
                && previous.header().getVersion() == update.getVersion()
                && previous.header().getAfterVersion() == update.getAfterVersion();
    }
}
