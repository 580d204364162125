package org.fuchsiaspindle.core.slot;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.math.IntMath;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.fuchsiaspindle.core.routing.PrefixMap;
import org.fuchsiaspindle.core.work.RequestSize;

/**
 * Remembers which shared parts of prompts the targets of a pool recently read, and so have cached.
 *
 * <p>A target reads a part again if it did not read all parts before it, so prompts are remembered
 * by their prefixes. What is remembered is bounded and only a hint: a target may have dropped a
 * prefix. Not thread-safe; times are monotonic nanoseconds.
 */
final class CachedPrompts {

    /** Prefixes that are remembered; the least recently read yields. */
    private static final int MAX_PREFIXES = 4096;

    private static final HashFunction HASH = Hashing.farmHashFingerprint64();

    private final PrefixMap prefixes = PrefixMap.create(MAX_PREFIXES);

    CachedPrompts() {}

    /** Returns how many tokens of a prompt each target has cached, without those that have none. */
    Map<String, Integer> cachedTokens(ImmutableList<RequestSize.Part> parts, long now) {
        if (parts.isEmpty()) {
            return Map.of();
        }
        Map<String, Integer> cached = new HashMap<>();
        int tokens = 0;
        long hash = 0;
        for (RequestSize.Part part : parts) {
            hash = prefixHash(hash, part);
            tokens = IntMath.saturatedAdd(tokens, part.tokens());
            for (String target : prefixes.holders(hash, now)) {
                cached.put(target, tokens);
            }
        }
        return cached;
    }

    /** Records that a target reads the parts of a prompt. */
    void add(ImmutableList<RequestSize.Part> parts, String target, long now) {
        long hash = 0;
        for (RequestSize.Part part : parts) {
            hash = prefixHash(hash, part);
            prefixes.add(hash, target, now);
        }
    }

    /** Forgets what a target has read, because it is gone or has restarted. */
    void forget(String target) {
        prefixes.removeAll(target);
    }

    private static long prefixHash(long hashBefore, RequestSize.Part part) {
        return HASH.newHasher()
                .putLong(hashBefore)
                .putString(part.id(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
