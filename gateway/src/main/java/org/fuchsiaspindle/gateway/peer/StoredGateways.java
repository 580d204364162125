package org.fuchsiaspindle.gateway.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;

/**
 * The gateways that have rows in the store, without this one.
 *
 * @param live those that live by their rows, or may live as far as this gateway can tell
 * @param present all of them, except those whose rows have not been renewed for long
 * @param complete whether no other gateway can live unless the store cannot be reached from it
 */
public record StoredGateways(
        ImmutableSet<String> live, ImmutableSet<String> present, boolean complete) {

    /** Stands for rows that were not read yet. */
    static final StoredGateways UNKNOWN =
            new StoredGateways(ImmutableSet.of(), ImmutableSet.of(), false);

    /** Validates the components. */
    public StoredGateways {
        checkNotNull(live, "live");
        checkNotNull(present, "present");
    }
}
