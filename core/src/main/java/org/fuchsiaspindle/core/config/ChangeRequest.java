package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.fuchsiaspindle.core.document.DocumentReader;

/**
 * A request of an operator to change one document.
 *
 * @param changeId identifier chosen by the operator; 1 to 128 letters, digits, dots, dashes and
 *     underscores
 * @param baseVersion version of the config log that the change is based on; empty for the latest
 * @param key the document to change
 * @param document the new document as JSON in canonical form, empty to delete it
 * @param operator short digest of the operator's key
 */
public record ChangeRequest(
        String changeId,
        OptionalLong baseVersion,
        DocumentKey key,
        Optional<String> document,
        String operator) {

    private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    /** Validates the components and converts the document to canonical form. */
    public ChangeRequest {
        checkArgument(CHANGE_ID.matcher(changeId).matches(), "invalid change id: %s", changeId);
        checkNotNull(baseVersion, "baseVersion");
        checkNotNull(key, "key");
        document = document.map(DocumentReader::canonical);
        checkNotNull(operator, "operator");
    }

    /** Returns a digest of the content; two requests with equal digests request the same change. */
    public String contentDigest() {
        String content = key + "\n" + document.map(text -> "put " + text).orElse("delete");
        return Hashing.sha256().hashString(content, StandardCharsets.UTF_8).toString();
    }
}
