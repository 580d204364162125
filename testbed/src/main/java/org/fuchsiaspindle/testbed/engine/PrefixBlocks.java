package org.fuchsiaspindle.testbed.engine;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Computes the hashes of the prefix blocks of a prompt.
 *
 * <p>The hash of a block is the FarmHash fingerprint of the preceding hash, as 16 hexadecimal
 * digits, followed by the block's 64 characters; the hash that precedes the first block is the
 * fingerprint of the model's name. Characters after the last full block are not cached.
 */
public final class PrefixBlocks {

    /** The number of characters in a block. */
    public static final int BLOCK_CHARS = 64;

    /** The number of tokens in a block. */
    public static final int BLOCK_TOKENS = BLOCK_CHARS / 4;

    private PrefixBlocks() {}

    /** Returns the hashes of the full blocks of a prompt, in order. */
    public static ImmutableList<String> hashes(String model, String prompt) {
        ImmutableList.Builder<String> hashes = ImmutableList.builder();
        String hash = fingerprint(model);
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            hash = fingerprint(hash + prompt.substring(end - BLOCK_CHARS, end));
            hashes.add(hash);
        }
        return hashes.build();
    }

    private static String fingerprint(String text) {
        long bits =
                Hashing.farmHashFingerprint64().hashString(text, StandardCharsets.UTF_8).asLong();
        return HexFormat.of().toHexDigits(bits);
    }
}
