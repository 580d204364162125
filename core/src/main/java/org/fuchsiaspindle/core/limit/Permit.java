package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The right to send one request of a workspace to a target.
 *
 * @param workspace the workspace, not null
 * @param granter the address of the gateway that granted it, not null
 * @param granterEpoch the epoch of that gateway
 * @param grantedNanos when it was granted, in nanoseconds on the clock of that gateway
 * @param validUntilNanos until when it may be given to a request, in nanoseconds on the clock of
 *     this gateway
 */
public record Permit(
        String workspace,
        String granter,
        long granterEpoch,
        long grantedNanos,
        long validUntilNanos) {

    /** Validates the components. */
    public Permit {
        checkNotNull(workspace, "workspace");
        checkNotNull(granter, "granter");
    }
}
