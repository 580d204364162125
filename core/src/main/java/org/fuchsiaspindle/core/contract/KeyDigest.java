package org.fuchsiaspindle.core.contract;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.CharMatcher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * SHA-256 digest of a bearer key.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record KeyDigest(String hex) {

    private static final int HEX_DIGITS = 64;
    private static final CharMatcher HEX =
            CharMatcher.inRange('0', '9').or(CharMatcher.inRange('a', 'f'));

    /** Validates the components. */
    public KeyDigest {
        // The message omits the value, because it may be a key that was given instead of its
        // digest.
        checkArgument(
                hex.length() == HEX_DIGITS && HEX.matchesAllOf(hex),
                "not 64 lower-case hexadecimal digits");
    }

    /** Returns the digest of a key; the key is not kept. */
    public static KeyDigest ofKey(String key) {
        return new KeyDigest(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
    }
}
