package org.fuchsiaspindle.core.membership;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Chooses the processes to which an entry connects.
 *
 * <p>The number of connections is bounded, so that the control overhead of a process does not grow
 * with the size of the fleet. Pure functions; thread-safe.
 */
public final class ConnectionPlan {

    /**
     * Largest number of agents of one set of interchangeable targets to which an entry connects.
     */
    public static final int MAX_AGENTS_PER_SET = 48;

    /**
     * Largest number of agents with a unique target name, per target kind, to which an entry
     * connects. The instance list does not say which models such engines run, so the bound allows
     * for three models.
     */
    public static final int MAX_SINGLE_AGENTS = 3 * MAX_AGENTS_PER_SET;

    /** Largest number of entries of its own data centre to which an entry connects. */
    public static final int MAX_LOCAL_ENTRIES = 8;

    private ConnectionPlan() {}

    /**
     * Returns the identifiers of the instances to connect to, in O(n log n). Leaving instances are
     * excluded.
     *
     * @param self the identifier of the entry that connects
     * @param dataCentre its data centre
     * @param members the instance list; may contain the entry itself
     */
    public static ImmutableSet<String> choose(
            String self, String dataCentre, Collection<Member> members) {
        List<Member> others =
                members.stream()
                        .filter(member -> !member.id().equals(self) && !member.leaving())
                        .toList();
        ImmutableSet.Builder<String> chosen = ImmutableSet.builder();
        chooseEntries(self, dataCentre, others, chosen);
        chooseAgents(self, dataCentre, others, chosen);
        return chosen.build();
    }

    private static void chooseEntries(
            String self,
            String dataCentre,
            List<Member> others,
            ImmutableSet.Builder<String> chosen) {
        Map<String, List<String>> byDataCentre =
                others.stream()
                        .filter(Member::entry)
                        .collect(
                                Collectors.groupingBy(
                                        Member::dataCentre,
                                        TreeMap::new,
                                        Collectors.mapping(Member::id, Collectors.toList())));
        byDataCentre.forEach(
                (name, ids) -> {
                    int limit = name.equals(dataCentre) ? MAX_LOCAL_ENTRIES : 1;
                    chosen.addAll(Rendezvous.top(self, ids, limit));
                });
    }

    private static void chooseAgents(
            String self,
            String dataCentre,
            List<Member> others,
            ImmutableSet.Builder<String> chosen) {
        Map<String, List<Member>> sets =
                others.stream()
                        .filter(member -> !member.entry())
                        .collect(
                                Collectors.groupingBy(
                                        member -> member.targetKind() + "/" + member.targetName(),
                                        TreeMap::new,
                                        Collectors.toList()));
        Map<String, List<Member>> singles = new TreeMap<>();
        for (List<Member> set : sets.values()) {
            if (set.size() == 1) {
                Member single = set.getFirst();
                singles.computeIfAbsent(single.targetKind(), kind -> new ArrayList<>()).add(single);
            } else {
                chooseFromSet(self, dataCentre, set, MAX_AGENTS_PER_SET, chosen);
            }
        }
        for (List<Member> set : singles.values()) {
            chooseFromSet(self, dataCentre, set, MAX_SINGLE_AGENTS, chosen);
        }
    }

    private static void chooseFromSet(
            String self,
            String dataCentre,
            List<Member> set,
            int limit,
            ImmutableSet.Builder<String> chosen) {
        List<String> local = new ArrayList<>();
        List<String> remote = new ArrayList<>();
        for (Member member : set) {
            (member.dataCentre().equals(dataCentre) ? local : remote).add(member.id());
        }
        List<String> chosenLocal = Rendezvous.top(self, local, limit);
        chosen.addAll(chosenLocal);
        chosen.addAll(Rendezvous.top(self, remote, limit - chosenLocal.size()));
    }
}
