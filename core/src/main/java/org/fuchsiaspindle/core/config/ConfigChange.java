package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import java.util.Optional;

/**
 * An accepted change of one document.
 *
 * @param version version of the log that the change created, positive
 * @param changeId identifier chosen by the operator
 * @param key the changed document
 * @param document the new document as JSON, empty if it was deleted
 * @param operator short digest of the operator's key
 * @param acceptedAt wall-clock time of the acceptance, for display only
 */
public record ConfigChange(
        long version,
        String changeId,
        DocumentKey key,
        Optional<String> document,
        String operator,
        Instant acceptedAt) {

    /** Validates the components. */
    public ConfigChange {
        checkArgument(version > 0, "version not positive: %s", version);
        checkNotNull(changeId, "changeId");
        checkNotNull(key, "key");
        checkNotNull(document, "document");
        checkNotNull(operator, "operator");
        checkNotNull(acceptedAt, "acceptedAt");
    }
}
