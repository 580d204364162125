package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.membership.Rendezvous;
import org.fuchsiaspindle.core.serving.TargetInstance;

/**
 * The division of all targets into pools, and the pools that one gateway uses. Immutable.
 *
 * <p>All gateways that know the same targets compute the same pools. Both the size of a pool and
 * the number of pools that a gateway uses are bounded, so the work of a gateway and of a
 * coordinator does not grow with the fleet.
 */
public final class PoolPlan {

    /** Largest average number of targets in a pool. */
    static final int TARGETS_PER_POOL = 32;

    /** Largest number of pools of a service that a gateway uses in its own data centre. */
    static final int MAX_LOCAL_POOLS = 3;

    /** Largest number of pools of a service that a gateway uses. */
    static final int MAX_POOLS = 6;

    private final ImmutableMap<PoolId, ImmutableList<TargetInstance>> pools;
    private final ImmutableMap<String, ImmutableList<PoolId>> poolsByService;

    private PoolPlan(
            ImmutableMap<PoolId, ImmutableList<TargetInstance>> pools,
            ImmutableMap<String, ImmutableList<PoolId>> poolsByService) {
        this.pools = pools;
        this.poolsByService = poolsByService;
    }

    /**
     * Divides targets into pools.
     *
     * @param gateway the identifier of the gateway that uses the plan, not null
     * @param dataCentre its data centre, not null
     * @param targets all registered targets, not null
     */
    public static PoolPlan of(
            String gateway, String dataCentre, Collection<TargetInstance> targets) {
        checkNotNull(gateway, "gateway");
        checkNotNull(dataCentre, "dataCentre");
        Map<PoolId, List<TargetInstance>> groups = new HashMap<>();
        for (TargetInstance target : targets) {
            PoolId group = new PoolId(target.service(), target.dataCentre(), 0);
            groups.computeIfAbsent(group, id -> new ArrayList<>()).add(target);
        }
        Map<PoolId, ImmutableList.Builder<TargetInstance>> members = new HashMap<>();
        groups.forEach(
                (group, groupTargets) -> {
                    int shards = shards(groupTargets.size());
                    for (TargetInstance target : groupTargets) {
                        PoolId pool =
                                new PoolId(
                                        group.service(),
                                        group.dataCentre(),
                                        shard(target.id(), shards));
                        members.computeIfAbsent(pool, id -> ImmutableList.builder()).add(target);
                    }
                });
        ImmutableMap.Builder<PoolId, ImmutableList<TargetInstance>> pools = ImmutableMap.builder();
        members.forEach((pool, builder) -> pools.put(pool, builder.build()));
        return new PoolPlan(pools.buildOrThrow(), preferred(gateway, dataCentre, members.keySet()));
    }

    /** Returns the targets of a pool, empty if there is no such pool. */
    public ImmutableList<TargetInstance> targets(PoolId pool) {
        return pools.getOrDefault(pool, ImmutableList.of());
    }

    /** Returns all pools with their targets. */
    public ImmutableMap<PoolId, ImmutableList<TargetInstance>> pools() {
        return pools;
    }

    /**
     * Returns the pools of a service that the gateway uses, those in its own data centre first;
     * empty if the service has no target.
     */
    public ImmutableList<PoolId> preferred(String service) {
        return poolsByService.getOrDefault(service, ImmutableList.of());
    }

    /** Returns the number of shards of a group; powers of two, so that few targets ever move. */
    private static int shards(int targets) {
        int needed = (targets + TARGETS_PER_POOL - 1) / TARGETS_PER_POOL;
        int shards = 1;
        while (shards < needed) {
            shards *= 2;
        }
        return shards;
    }

    private static int shard(String target, int shards) {
        int hash = Hashing.murmur3_32_fixed().hashString(target, StandardCharsets.UTF_8).asInt();
        return Math.floorMod(hash, shards);
    }

    private static ImmutableMap<String, ImmutableList<PoolId>> preferred(
            String gateway, String dataCentre, Collection<PoolId> pools) {
        Map<String, Map<String, PoolId>> poolsByName = new HashMap<>();
        for (PoolId pool : pools) {
            poolsByName
                    .computeIfAbsent(pool.service(), service -> new HashMap<>())
                    .put(pool.toString(), pool);
        }
        ImmutableMap.Builder<String, ImmutableList<PoolId>> preferred = ImmutableMap.builder();
        poolsByName.forEach(
                (service, byName) -> {
                    List<PoolId> local = new ArrayList<>();
                    List<PoolId> remote = new ArrayList<>();
                    for (String name : Rendezvous.top(gateway, byName.keySet(), byName.size())) {
                        PoolId pool = byName.get(name);
                        (pool.dataCentre().equals(dataCentre) ? local : remote).add(pool);
                    }
                    ImmutableList<PoolId> chosen =
                            ImmutableList.<PoolId>builder()
                                    .addAll(limit(local, MAX_LOCAL_POOLS))
                                    .addAll(remote)
                                    .build();
                    preferred.put(service, ImmutableList.copyOf(limit(chosen, MAX_POOLS)));
                });
        return preferred.buildOrThrow();
    }

    private static List<PoolId> limit(List<PoolId> pools, int count) {
        return pools.subList(0, Math.min(count, pools.size()));
    }
}
