package org.fuchsiaspindle.wire.transport;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.fuchsiaspindle.wire.proto.Role;

/**
 * An authenticated process at the other end of a connection.
 *
 * @param instanceId the identifier of its instance, not empty
 * @param incarnation distinguishes successive processes on the same instance, not empty
 * @param role its role
 * @param dataCentre its data centre
 * @param targetName the target that an agent serves, empty for entries
 */
public record Peer(
        String instanceId, String incarnation, Role role, String dataCentre, String targetName) {

    /** Validates the components. */
    public Peer {
        checkArgument(!instanceId.isEmpty(), "empty instance id");
        checkArgument(!incarnation.isEmpty(), "empty incarnation of %s", instanceId);
        checkArgument(
                role != Role.ROLE_UNSPECIFIED && role != Role.UNRECOGNIZED,
                "unknown role of %s: %s",
                instanceId,
                role);
        checkNotNull(dataCentre, "dataCentre");
        checkNotNull(targetName, "targetName");
    }
}
