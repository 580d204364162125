package org.fuchsiaspindle.daemon.fleet;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.config.ConfigChange;
import org.fuchsiaspindle.core.config.ConfigReplica;
import org.fuchsiaspindle.core.config.ConfigState;
import org.fuchsiaspindle.core.config.DocumentKey;
import org.fuchsiaspindle.core.config.DocumentKind;
import org.fuchsiaspindle.wire.proto.ConfigEntry;
import org.fuchsiaspindle.wire.proto.ConfigUpdate;

/** Converts configuration changes to protocol messages and back. */
final class ConfigMessages {

    /**
     * Maximum size of the entries of a message with several of them; well below the frame limit.
     */
    static final int PAGE_BYTES = 1024 * 1024;

    private ConfigMessages() {}

    /**
     * Returns the messages that update another process from its version to the replica's version.
     *
     * @param replica the replica
     * @param afterVersion version of the other process
     * @param targetsOnly true to omit documents that do not concern targets
     */
    static ImmutableList<ConfigUpdate> updates(
            ConfigReplica replica, long afterVersion, boolean targetsOnly) {
        while (true) {
            ConfigState state = replica.state();
            Optional<ImmutableList<ConfigChange>> recent = replica.changesAfter(afterVersion);
            if (replica.version() == state.version()) {
                Collection<ConfigChange> changes =
                        recent.isPresent() ? recent.get() : state.documents().values();
                return pages(recent.isEmpty(), afterVersion, state.version(), changes, targetsOnly);
            }
            // The replica changed between the two reads; both must be of the same version.
        }
    }

    private static ImmutableList<ConfigUpdate> pages(
            boolean full,
            long afterVersion,
            long version,
            Collection<ConfigChange> changes,
            boolean targetsOnly) {
        List<List<ConfigEntry>> pages = new ArrayList<>();
        pages.add(new ArrayList<>());
        int bytes = 0;
        for (ConfigChange change : changes) {
            if (targetsOnly && !change.key().kind().concernsTargets()) {
                continue;
            }
            ConfigEntry entry = entry(change);
            int size = entry.getSerializedSize();
            if (bytes > 0 && bytes + size > PAGE_BYTES) {
                pages.add(new ArrayList<>());
                bytes = 0;
            }
            pages.getLast().add(entry);
            bytes += size;
        }
        ImmutableList.Builder<ConfigUpdate> updates = ImmutableList.builder();
        for (int i = 0; i < pages.size(); i++) {
            updates.add(
                    ConfigUpdate.newBuilder()
                            .setFull(full)
                            .setAfterVersion(full ? 0 : afterVersion)
                            .setVersion(version)
                            .addAllEntries(pages.get(i))
                            .setPage(i)
                            .setPages(pages.size())
                            .build());
        }
        return updates.build();
    }

    private static ConfigEntry entry(ConfigChange change) {
        ConfigEntry.Builder entry =
                ConfigEntry.newBuilder()
                        .setVersion(change.version())
                        .setChangeId(change.changeId())
                        .setKind(change.key().kind().wireName())
                        .setName(change.key().name())
                        .setOperator(change.operator())
                        .setAcceptedAtMs(change.acceptedAt().toEpochMilli())
                        .setDeleted(change.document().isEmpty());
        change.document().ifPresent(json -> entry.setDocument(ByteString.copyFromUtf8(json)));
        return entry.build();
    }

    /**
     * Returns the change of an entry, or empty if its kind is unknown (sent by a newer process).
     */
    static Optional<ConfigChange> change(ConfigEntry entry) {
        return DocumentKind.ofWireName(entry.getKind())
                .map(
                        kind ->
                                new ConfigChange(
                                        entry.getVersion(),
                                        entry.getChangeId(),
                                        new DocumentKey(kind, entry.getName()),
                                        entry.getDeleted()
                                                ? Optional.empty()
                                                : Optional.of(entry.getDocument().toStringUtf8()),
                                        entry.getOperator(),
                                        Instant.ofEpochMilli(entry.getAcceptedAtMs())));
    }
}
