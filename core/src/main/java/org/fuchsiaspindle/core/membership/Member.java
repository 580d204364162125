package org.fuchsiaspindle.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An entry of the instance list, as input to the connection plan.
 *
 * @param id the instance identifier
 * @param entry true for an entry, false for an agent
 * @param dataCentre its data centre
 * @param targetKind the kind of an agent's target, empty for entries
 * @param targetName the name of an agent's target, empty for entries
 * @param leaving true if the platform is about to stop the instance
 */
public record Member(
        String id,
        boolean entry,
        String dataCentre,
        String targetKind,
        String targetName,
        boolean leaving) {

    /** Validates the components. */
    public Member {
        checkNotNull(id, "id");
        checkNotNull(dataCentre, "dataCentre");
        checkNotNull(targetKind, "targetKind");
        checkNotNull(targetName, "targetName");
    }
}
