package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A process's copy of the configuration.
 *
 * <p>Thread-safe and lock-free. Its version never decreases, even if updates arrive out of order.
 */
public final class ConfigReplica implements ConfigSource {

    /**
     * Number of recent changes to keep, so that a peer that lags behind can be sent changes instead
     * of the full state.
     */
    public static final int RECENT_CHANGES = 256;

    /** Result of an update. */
    public enum Outcome {
        /** The update is in force. */
        APPLIED,
        /** The replica already has this version or a newer one. */
        OLD,
        /** Changes between the replica's version and the update are missing. */
        GAP
    }

    /** A state and all changes after the version {@code coveredAfter} that led to it. */
    private record Contents(
            ConfigState state, long coveredAfter, ImmutableList<ConfigChange> recent) {}

    private final AtomicReference<Contents> contents =
            new AtomicReference<>(new Contents(ConfigState.EMPTY, 0, ImmutableList.of()));

    private ConfigReplica() {}

    /** Creates a replica at version 0. */
    public static ConfigReplica create() {
        return new ConfigReplica();
    }

    @Override
    public ConfigSnapshot current() {
        return contents.get().state().snapshot();
    }

    /** Returns the newest state. */
    public ConfigState state() {
        return contents.get().state();
    }

    /** Returns the newest version. */
    public long version() {
        return contents.get().state().version();
    }

    /**
     * Applies changes that follow the current version.
     *
     * @param afterVersion the changes start after this version
     * @param version version after the changes
     * @param changes the changes in order; changes of kinds that this process does not store may be
     *     omitted
     */
    public Outcome offerChanges(long afterVersion, long version, Collection<ConfigChange> changes) {
        checkArgument(
                afterVersion <= version,
                "changes start after version %s but end at version %s",
                afterVersion,
                version);
        while (true) {
            Contents before = contents.get();
            long currentVersion = before.state().version();
            if (version <= currentVersion) {
                return Outcome.OLD;
            }
            if (afterVersion > currentVersion) {
                return Outcome.GAP;
            }
            List<ConfigChange> newChanges =
                    changes.stream().filter(change -> change.version() > currentVersion).toList();
            ImmutableList<ConfigChange> allChanges =
                    ImmutableList.copyOf(Iterables.concat(before.recent(), newChanges));
            int dropped = Math.max(0, allChanges.size() - RECENT_CHANGES);
            long coveredAfter =
                    dropped == 0 ? before.coveredAfter() : allChanges.get(dropped - 1).version();
            Contents next =
                    new Contents(
                            before.state().with(version, newChanges),
                            coveredAfter,
                            allChanges.subList(dropped, allChanges.size()));
            if (contents.compareAndSet(before, next)) {
                return Outcome.APPLIED;
            }
        }
    }

    /**
     * Replaces the state if the given one is newer.
     *
     * @param version version of the state
     * @param documents the last change of each document that is not deleted
     */
    public Outcome offerFull(long version, Collection<ConfigChange> documents) {
        ConfigState state = ConfigState.of(version, documents);
        while (true) {
            Contents before = contents.get();
            if (version <= before.state().version()) {
                return Outcome.OLD;
            }
            if (contents.compareAndSet(before, new Contents(state, version, ImmutableList.of()))) {
                return Outcome.APPLIED;
            }
        }
    }

    /**
     * Returns the changes after a version in order, or empty if some of them are no longer kept, so
     * that the full state is needed.
     */
    public Optional<ImmutableList<ConfigChange>> changesAfter(long version) {
        Contents current = contents.get();
        if (version < current.coveredAfter()) {
            return Optional.empty();
        }
        return Optional.of(
                current.recent().stream()
                        .filter(change -> change.version() > version)
                        .collect(ImmutableList.toImmutableList()));
    }
}
