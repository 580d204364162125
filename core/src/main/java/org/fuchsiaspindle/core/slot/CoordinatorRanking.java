package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import org.fuchsiaspindle.core.membership.Rendezvous;

/**
 * Ranks the gateways that may coordinate a pool.
 *
 * <p>Gateways that know the same members compute the same ranking. Members in the data centre of
 * the pool come first, and members with little processor capacity are left out while others are
 * known. Pure functions; thread-safe.
 */
public final class CoordinatorRanking {

    /** Number of gateways that may coordinate a pool; the first that responds does. */
    public static final int MAX_CANDIDATES = 3;

    /** Smallest capacity of a candidate relative to the largest one of its data centre. */
    private static final double MIN_RELATIVE_CAPACITY = 0.5;

    private CoordinatorRanking() {}

    /**
     * A gateway that may coordinate pools.
     *
     * @param ip its address, not null
     * @param dataCentre its data centre, not null
     * @param capacity its processor capacity, in cores; positive
     */
    public record Candidate(String ip, String dataCentre, double capacity) {

        /** Validates the components. */
        public Candidate {
            checkNotNull(ip, "ip");
            checkNotNull(dataCentre, "dataCentre");
            checkArgument(capacity > 0, "capacity of %s not positive: %s", ip, capacity);
        }
    }

    /**
     * Returns the addresses of the gateways that may coordinate a pool, the preferred one first.
     *
     * @param pool the pool, not null
     * @param members all gateways that are alive, not null
     */
    public static ImmutableList<String> rank(PoolId pool, Collection<Candidate> members) {
        List<Candidate> local =
                members.stream()
                        .filter(member -> member.dataCentre().equals(pool.dataCentre()))
                        .toList();
        List<Candidate> eligible = local.isEmpty() ? List.copyOf(members) : local;
        double largest = eligible.stream().mapToDouble(Candidate::capacity).max().orElse(0);
        List<String> ips =
                eligible.stream()
                        .filter(member -> member.capacity() >= largest * MIN_RELATIVE_CAPACITY)
                        .map(Candidate::ip)
                        .toList();
        return Rendezvous.top(pool.toString(), ips, MAX_CANDIDATES);
    }
}
