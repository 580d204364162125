package org.fuchsiaspindle.core.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.io.BaseEncoding;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

/** Creates and checks identifiers. All methods are thread-safe if the random source is. */
public final class Ids {

    private static final int RANDOM_BYTES = 15;
    private static final BaseEncoding ENCODING = BaseEncoding.base32().lowerCase().omitPadding();
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?");

    private Ids() {}

    /**
     * Returns a new random identifier with a prefix, for example {@code batch_}.
     *
     * @param prefix the prefix, not null
     * @param random the random source, not null
     */
    public static String create(String prefix, RandomGenerator random) {
        byte[] bytes = new byte[RANDOM_BYTES];
        random.nextBytes(bytes);
        return checkNotNull(prefix, "prefix") + ENCODING.encode(bytes);
    }

    /** Returns true if the text can name a customer, model, service, instance or data centre. */
    public static boolean isName(String text) {
        return text != null && NAME.matcher(text).matches();
    }

    /**
     * Returns the text if it is a valid name.
     *
     * @param what kind of the named object, for the message
     * @param text the text to check
     * @throws IllegalArgumentException if it is not a valid name
     */
    public static String checkName(String what, String text) {
        checkArgument(isName(text), "invalid %s name: %s", what.toLowerCase(Locale.ROOT), text);
        return text;
    }
}
