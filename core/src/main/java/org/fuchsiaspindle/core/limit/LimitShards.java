package org.fuchsiaspindle.core.limit;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import org.fuchsiaspindle.core.membership.Rendezvous;

/**
 * The division of all workspaces into shards, and of the shards among the granters.
 *
 * <p>All workspaces of a shard have the same granter, so what gateways tell each other of slices
 * does not grow with the number of workspaces. A set of shards is a bit mask of 64 bits. Immutable
 * and thread-safe.
 */
public final class LimitShards {

    /** Number of shards. */
    public static final int COUNT = Long.SIZE;

    /** With two, the loss of one granter leaves half of the workspaces with permits. */
    private static final int MIN_GRANTERS = 2;

    /** Bounds the messages of each gateway, which lends slices to all granters. */
    private static final int MAX_GRANTERS = 16;

    /** Number of gateways for which another granter is added. */
    private static final int GATEWAYS_PER_GRANTER = 16;

    private final ImmutableList<String> granters;
    private final ImmutableList<Optional<String>> granterByShard;

    private LimitShards(ImmutableList<String> granters) {
        this.granters = granters;
        ImmutableList.Builder<Optional<String>> byShard = ImmutableList.builder();
        for (int shard = 0; shard < COUNT; shard++) {
            byShard.add(Rendezvous.highest("limit-shard/" + shard, granters));
        }
        granterByShard = byShard.build();
    }

    /** Returns a division without granters. */
    public static LimitShards none() {
        return new LimitShards(ImmutableList.of());
    }

    /**
     * Divides the shards among gateways; returns this division if it does not change.
     *
     * @param candidates the gateways that may become granters, not null
     */
    public LimitShards among(Collection<String> candidates) {
        int count =
                Math.clamp(
                        Math.ceilDiv(candidates.size(), GATEWAYS_PER_GRANTER),
                        MIN_GRANTERS,
                        MAX_GRANTERS);
        ImmutableList<String> newGranters = Rendezvous.top("limit-granters", candidates, count);
        return newGranters.equals(granters) ? this : new LimitShards(newGranters);
    }

    /** Returns the shard of a workspace. */
    public static int shardOf(String workspace) {
        int hash = Hashing.murmur3_32_fixed().hashString(workspace, StandardCharsets.UTF_8).asInt();
        return Math.floorMod(hash, COUNT);
    }

    /** Returns the bit mask of one shard. */
    static long maskOf(int shard) {
        return 1L << shard;
    }

    /** Returns all granters. */
    public ImmutableList<String> granters() {
        return granters;
    }

    /** Returns the granter of a shard, empty if there are no candidates. */
    public Optional<String> granter(int shard) {
        return granterByShard.get(shard);
    }
}
