package org.fuchsiaspindle.daemon.entry.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.fuchsiaspindle.platform.instance.ListedInstance;

/** Selects the entries that may hold the placement lease. */
public final class PlacementCandidates {

    /**
     * Tolerates the loss of two candidates. More would add load, because each one reads the lease
     * row once per second.
     */
    private static final int MAX_CANDIDATES = 3;

    private static final Comparator<String> ORDER =
            Comparator.<String>comparingLong(PlacementCandidates::hash)
                    .thenComparing(Comparator.naturalOrder());

    private PlacementCandidates() {}

    /**
     * Returns true if an entry is a candidate.
     *
     * @param instances the instance list
     * @param self identifier of the entry, which is considered even if the list does not contain it
     *     yet
     */
    public static boolean contains(List<ListedInstance> instances, String self) {
        long preceding =
                instances.stream()
                        .filter(instance -> instance.role() == ListedInstance.Role.ENTRY)
                        .filter(instance -> !instance.leaving())
                        .map(ListedInstance::id)
                        .filter(id -> !id.equals(self))
                        .filter(id -> ORDER.compare(id, self) < 0)
                        .count();
        return preceding < MAX_CANDIDATES;
    }

    private static long hash(String id) {
        return Hashing.murmur3_128().hashString("placement/" + id, StandardCharsets.UTF_8).asLong();
    }
}
