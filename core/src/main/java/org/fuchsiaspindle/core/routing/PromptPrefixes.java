package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The hashes of a prompt's prefixes of exponentially growing length.
 *
 * <p>Immutable. All processes compute the same hashes, so load reports identify prefixes by them.
 */
public final class PromptPrefixes {

    /** The prefixes of a request without a prompt. */
    public static final PromptPrefixes NONE = new PromptPrefixes(new long[0]);

    /** Length of the shortest prefix, in bytes of UTF-8; shorter ones are not worth caching. */
    private static final int SHORTEST_BYTES = 256;

    /** Binary logarithm of the ratio of the lengths of two successive prefixes. */
    private static final int GROWTH_SHIFT = 2;

    /** Number of prefix lengths. The longest is 64 KiB, which bounds the hashing time. */
    private static final int MAX_LEVELS = 5;

    private static final int BYTES_PER_TOKEN = 4;
    private static final HashFunction HASH = Hashing.farmHashFingerprint64();

    private final long[] hashes;

    private PromptPrefixes(long[] hashes) {
        this.hashes = hashes;
    }

    /**
     * Hashes the prefixes of a prompt, in O(length) up to 64 KiB.
     *
     * @param prompt the prompt's text, not null
     */
    public static PromptPrefixes of(String prompt) {
        checkNotNull(prompt, "prompt");
        if (prompt.isEmpty()) {
            return NONE;
        }
        String head = prompt.substring(0, Math.min(prompt.length(), bytes(MAX_LEVELS - 1)));
        byte[] text = head.getBytes(StandardCharsets.UTF_8);
        int levels = 1;
        while (levels < MAX_LEVELS && bytes(levels) <= text.length) {
            levels++;
        }
        long[] hashes = new long[levels];
        for (int level = 0; level < levels; level++) {
            hashes[level] = HASH.hashBytes(text, 0, Math.min(text.length, bytes(level))).asLong();
        }
        return new PromptPrefixes(hashes);
    }

    /** Returns the number of prefixes, 0 if there is no prompt. */
    public int size() {
        return hashes.length;
    }

    /** Returns the hash of a prefix; a higher level is a longer prefix. */
    public long hash(int level) {
        return hashes[level];
    }

    /** Returns the estimated number of tokens of a prefix. */
    public int tokens(int level) {
        return bytes(level) / BYTES_PER_TOKEN;
    }

    /**
     * Returns the hash that is used for prefix affinity: that of the 1 KiB prefix, or of the
     * longest prefix if the prompt is shorter. There must be a prefix.
     *
     * <p>It is the same for later turns of a conversation, and mostly differs between
     * conversations.
     */
    public long affinity() {
        return hashes[Math.min(1, hashes.length - 1)];
    }

    private static int bytes(int level) {
        return SHORTEST_BYTES << (GROWTH_SHIFT * level);
    }
}
