package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The limit of a workspace in one version of the configuration.
 *
 * @param version the version of the configuration; a later one has a larger number
 * @param limit the limit, not null
 */
public record VersionedLimit(long version, RateLimit limit) {

    /** Validates the components. */
    public VersionedLimit {
        checkNotNull(limit, "limit");
    }
}
