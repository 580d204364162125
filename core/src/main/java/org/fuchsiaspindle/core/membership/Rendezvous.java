package org.fuchsiaspindle.core.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Rendezvous (highest random weight) hashing.
 *
 * <p>Processes that know the same members make the same choice without communication, and the loss
 * of a member moves only the keys that were assigned to it. Pure functions; thread-safe.
 */
public final class Rendezvous {

    private static final HashFunction HASH = Hashing.murmur3_128(0);

    private Rendezvous() {}

    /** Returns the weight of a member for a key; the comparison of weights is unsigned. */
    public static long weight(String key, String member) {
        return HASH.newHasher()
                .putInt(key.length())
                .putString(key, StandardCharsets.UTF_8)
                .putString(member, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Returns the member with the highest weight in O(members).
     *
     * @param key the key, not null
     * @param members the members, not null
     * @return the member, or empty if there is none
     */
    public static Optional<String> highest(String key, Collection<String> members) {
        return members.stream().max(byWeight(key));
    }

    /**
     * Returns the members with the highest weights, the highest first, in O(n log n).
     *
     * @param key the key, not null
     * @param members the members, not null
     * @param count the largest number to return, not negative
     */
    public static ImmutableList<String> top(String key, Collection<String> members, int count) {
        checkArgument(count >= 0, "negative count: %s", count);
        return members.stream()
                .sorted(byWeight(key).reversed())
                .limit(count)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the members with the lowest weights, the lowest first, in O(n log n). */
    public static ImmutableList<String> lowest(String key, Collection<String> members, int count) {
        checkArgument(count >= 0, "negative count: %s", count);
        return members.stream()
                .sorted(byWeight(key))
                .limit(count)
                .collect(ImmutableList.toImmutableList());
    }

    private static Comparator<String> byWeight(String key) {
        checkNotNull(key, "key");
        // Ties are broken by name, so that the result does not depend on the order of the
        // collection.
        return ((Comparator<String>) (a, b) -> Long.compareUnsigned(weight(key, a), weight(key, b)))
                .thenComparing(Comparator.naturalOrder());
    }
}
