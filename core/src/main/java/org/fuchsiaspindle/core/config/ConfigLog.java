package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/** Decides whether a change is appended to the config log. Pure functions; thread-safe. */
public final class ConfigLog {

    private ConfigLog() {}

    /**
     * Record of an accepted change, as stored in the table.
     *
     * @param version version that the change created
     * @param contentDigest digest of the content of its request
     */
    public record RecordedChange(long version, String contentDigest) {}

    /**
     * Returns the version that an earlier request with the same identifier created.
     *
     * @param request the request
     * @param recorded record of its identifier in the table, empty if there is none
     * @return the version, empty if the identifier is new
     * @throws FuchsiaspindleException with {@code CHANGE_ID_REUSED} if the content differs
     */
    public static Optional<Long> earlierVersion(
            ChangeRequest request, Optional<RecordedChange> recorded) {
        recorded.ifPresent(
                earlier -> {
                    if (!earlier.contentDigest().equals(request.contentDigest())) {
                        throw new FuchsiaspindleException(
                                ResultCode.CHANGE_ID_REUSED,
                                "change id "
                                        + request.changeId()
                                        + " was already used for version "
                                        + earlier.version()
                                        + " with different content");
                    }
                });
        return recorded.map(RecordedChange::version);
    }

    /**
     * Returns the change that a new request creates.
     *
     * @param request the request
     * @param head the state at the head of the log
     * @param sinceBase the changes after the request's base version, in order
     * @param now wall-clock time of the acceptance, for display only
     * @return the change to write at the next version
     * @throws ConfigConflictException if the base version is not the head
     * @throws org.fuchsiaspindle.core.document.InvalidDocumentException if the document is invalid
     */
    public static ConfigChange decide(
            ChangeRequest request, ConfigState head, List<ConfigChange> sinceBase, Instant now) {
        long base = request.baseVersion().orElse(head.version());
        checkArgument(base >= 0, "negative base version: %s", base);
        if (base != head.version()) {
            throw new ConfigConflictException(base, head.version(), sinceBase);
        }
        request.document().ifPresent(document -> head.check(request.key(), document));
        if (request.document().isEmpty() && !head.documents().containsKey(request.key())) {
            throw new FuchsiaspindleException(
                    ResultCode.NOT_FOUND, "no document " + request.key() + " to delete");
        }
        return new ConfigChange(
                head.version() + 1,
                request.changeId(),
                request.key(),
                request.document(),
                request.operator(),
                now);
    }
}
