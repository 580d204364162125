package org.fuchsiaspindle.core.config;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Thrown if a change is not based on the head version; lists the changes since its base version.
 */
public final class ConfigConflictException extends FuchsiaspindleException {

    private static final int MAX_CHANGES_IN_MESSAGE = 10;

    private final long headVersion;
    private final transient ImmutableList<ConfigChange> changes;

    /**
     * Creates the exception.
     *
     * @param baseVersion version that the change is based on
     * @param headVersion version of the head
     * @param changes changes between the two
     */
    public ConfigConflictException(long baseVersion, long headVersion, List<ConfigChange> changes) {
        super(ResultCode.CONFIG_CONFLICT, message(baseVersion, headVersion, changes));
        this.headVersion = headVersion;
        this.changes = ImmutableList.copyOf(changes);
    }

    /** Returns the version of the head. */
    public long headVersion() {
        return headVersion;
    }

    /** Returns the changes made since the base version. */
    public ImmutableList<ConfigChange> changes() {
        return changes;
    }

    private static String message(long base, long head, List<ConfigChange> changes) {
        String list =
                changes.stream()
                        .limit(MAX_CHANGES_IN_MESSAGE)
                        .map(change -> change.version() + " " + change.key())
                        .collect(Collectors.joining(", "));
        return "base version "
                + base
                + " is not the head version "
                + head
                + "; changes since: "
                + list
                + (changes.size() > MAX_CHANGES_IN_MESSAGE ? ", ..." : "");
    }
}
