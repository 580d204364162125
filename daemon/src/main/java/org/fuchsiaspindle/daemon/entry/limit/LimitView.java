package org.fuchsiaspindle.daemon.entry.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.fuchsiaspindle.core.limit.EntryRing;
import org.fuchsiaspindle.core.limit.ShareGranter;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.fleet.Membership;
import org.fuchsiaspindle.daemon.fleet.PeerStatuses;
import org.fuchsiaspindle.platform.instance.ListedInstance;

/**
 * Determines the entries among which limits are divided, as seen by this entry.
 *
 * <p>Not thread-safe; used by one thread. In a small fleet every entry is connected to every other
 * one, so the loss of an entry is detected by its connection. In a large fleet an entry is
 * connected to only a few others, so all entries of a data centre count as followers while statuses
 * arrive from any entry of that data centre.
 */
public final class LimitView implements Supplier<ShareGranter.Fleet> {

    /** Largest fleet in which every entry is connected to every other one. */
    public static final int SMALL_FLEET = 32;

    /**
     * An entry that has been unconnected for this long is not used as a granter; reconnecting takes
     * less time.
     */
    private static final Duration CONNECTION_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration MAX_STATUS_AGE = Duration.ofSeconds(3);

    private final String self;
    private final String dataCentre;
    private final Membership membership;
    private final PeerStatuses statuses;
    private final Clock clock;
    private final Map<String, Long> unconnectedSince = new HashMap<>();
    private EntryRing ring = EntryRing.of(Set.of());

    private LimitView(
            String self,
            String dataCentre,
            Membership membership,
            PeerStatuses statuses,
            Clock clock) {
        this.self = checkNotNull(self, "self");
        this.dataCentre = checkNotNull(dataCentre, "dataCentre");
        this.membership = checkNotNull(membership, "membership");
        this.statuses = checkNotNull(statuses, "statuses");
        this.clock = checkNotNull(clock, "clock");
    }

    /** Creates a view of an entry in a data centre. */
    public static LimitView create(
            String self,
            String dataCentre,
            Membership membership,
            PeerStatuses statuses,
            Clock clock) {
        return new LimitView(self, dataCentre, membership, statuses, clock);
    }

    @Override
    public ShareGranter.Fleet get() {
        Set<String> entries = entries();
        if (!entries.equals(ring.entries())) {
            ring = EntryRing.of(entries);
        }
        return entries.size() <= SMALL_FLEET
                ? new ShareGranter.Fleet(ring, unconnected(entries), ImmutableSet.of())
                : new ShareGranter.Fleet(ring, unlisted(entries), assumedFollowers());
    }

    private Set<String> entries() {
        Set<String> entries =
                membership.listed().values().stream()
                        .filter(instance -> instance.role() == ListedInstance.Role.ENTRY)
                        .map(ListedInstance::id)
                        .collect(Collectors.toCollection(HashSet::new));
        entries.add(self);
        if (!membership.isListKnown()) {
            membership.entries().forEach(peer -> entries.add(peer.peer().instanceId()));
        }
        return entries;
    }

    private ImmutableSet<String> unconnected(Set<String> entries) {
        long now = clock.nanoTime();
        unconnectedSince.keySet().retainAll(entries);
        ImmutableSet.Builder<String> unconnected = ImmutableSet.builder();
        for (String entry : entries) {
            if (entry.equals(self) || membership.connectionTo(entry).isPresent()) {
                unconnectedSince.remove(entry);
            } else if (now - unconnectedSince.computeIfAbsent(entry, key -> now)
                    >= CONNECTION_TIMEOUT.toNanos()) {
                unconnected.add(entry);
            }
        }
        return unconnected.build();
    }

    private ImmutableSet<String> unlisted(Set<String> entries) {
        Set<String> running =
                membership.instances().stream().map(ListedInstance::id).collect(Collectors.toSet());
        return entries.stream()
                .filter(entry -> !entry.equals(self) && !running.contains(entry))
                .collect(ImmutableSet.toImmutableSet());
    }

    private ImmutableSet<String> assumedFollowers() {
        Set<String> dataCentres =
                statuses.notOlderThan(MAX_STATUS_AGE).stream()
                        .map(received -> received.connection().peer().dataCentre())
                        .collect(Collectors.toCollection(HashSet::new));
        dataCentres.add(dataCentre);
        return membership.instances().stream()
                .filter(instance -> instance.role() == ListedInstance.Role.ENTRY)
                .filter(instance -> dataCentres.contains(instance.dataCentre()))
                .map(ListedInstance::id)
                .collect(ImmutableSet.toImmutableSet());
    }
}
