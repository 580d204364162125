package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * A submission of a batch job.
 *
 * @param fileId the input file
 * @param endpoint the request path of the items
 * @param completionWindow time that the job may take, for example {@code 24h}
 * @param metadata the caller's metadata
 */
public record JobRequest(
        String fileId, String endpoint, String completionWindow, Map<String, String> metadata) {

    private static final Pattern WINDOW = Pattern.compile("([1-9][0-9]{0,4})([smhd])");

    /** Validates the components. */
    public JobRequest {
        checkNotNull(fileId, "fileId");
        checkNotNull(endpoint, "endpoint");
        checkNotNull(completionWindow, "completionWindow");
        metadata = Map.copyOf(metadata);
        if (metadata.size() > BatchLimits.MAX_METADATA_ENTRIES) {
            throw new FuchsiaspindleException(
                    ResultCode.UNSUPPORTED_PARAMETER,
                    "metadata has more than " + BatchLimits.MAX_METADATA_ENTRIES + " entries");
        }
    }

    /**
     * Returns the window as a duration.
     *
     * @throws FuchsiaspindleException with {@code UNSUPPORTED_PARAMETER} if it is not a number of
     *     seconds, minutes, hours or days
     */
    public Duration window() {
        Matcher matcher = WINDOW.matcher(completionWindow);
        if (!matcher.matches()) {
            throw new FuchsiaspindleException(
                    ResultCode.UNSUPPORTED_PARAMETER,
                    "completion_window is not a duration such as 24h: " + completionWindow);
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "s" -> Duration.ofSeconds(number);
            case "m" -> Duration.ofMinutes(number);
            case "h" -> Duration.ofHours(number);
            default -> Duration.ofDays(number);
        };
    }

    /**
     * Returns a SHA-256 digest of the submission, which does not depend on the order of the
     * metadata.
     */
    public String digest() {
        Hasher hasher = Hashing.sha256().newHasher();
        putString(hasher, fileId);
        putString(hasher, endpoint);
        putString(hasher, completionWindow);
        new TreeMap<>(metadata)
                .forEach(
                        (key, value) -> {
                            putString(hasher, key);
                            putString(hasher, value);
                        });
        return hasher.hash().toString();
    }

    private static void putString(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }
}
