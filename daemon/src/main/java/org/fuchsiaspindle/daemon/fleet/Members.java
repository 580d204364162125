package org.fuchsiaspindle.daemon.fleet;

import org.fuchsiaspindle.core.membership.Member;
import org.fuchsiaspindle.platform.instance.ListedInstance;

/** Converts listed instances to the members of the core package. */
final class Members {

    private Members() {}

    static Member of(ListedInstance instance) {
        return new Member(
                instance.id(),
                instance.role() == ListedInstance.Role.ENTRY,
                instance.dataCentre(),
                instance.targetKind().name(),
                instance.targetName(),
                instance.leaving());
    }
}
