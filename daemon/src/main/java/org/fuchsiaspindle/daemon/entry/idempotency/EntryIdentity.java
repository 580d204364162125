package org.fuchsiaspindle.daemon.entry.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifies the process that runs a call.
 *
 * @param instance the instance's identifier
 * @param incarnation distinguishes successive processes of the instance
 */
public record EntryIdentity(String instance, String incarnation) {

    /** Validates the components. */
    public EntryIdentity {
        checkNotNull(instance, "instance");
        checkNotNull(incarnation, "incarnation");
    }
}
