package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;

/**
 * The gateways that one gateway knows.
 *
 * @param known all known gateways including this one, also those lost a short time ago and those
 *     never reached
 * @param heard the other gateways from which messages arrive
 * @param candidates the gateways that may become granters: those that are in touch and not
 *     stopping, including this one
 * @param storeRead whether {@code known} includes all gateways that live by their rows in the store
 */
public record LimitFleet(
        ImmutableSet<String> known,
        ImmutableSet<String> heard,
        ImmutableSet<String> candidates,
        boolean storeRead) {

    /** Validates the components. */
    public LimitFleet {
        checkNotNull(known, "known");
        checkNotNull(heard, "heard");
        checkNotNull(candidates, "candidates");
    }
}
