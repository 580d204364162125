package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A target that was considered for a request, with its estimated cost; the lowest cost wins.
 *
 * @param target the target, not null
 * @param reason why it was considered, not null
 * @param waitNanos estimated waiting time
 * @param prefillNanos estimated time to prefill the part of the prompt that is not cached
 * @param penaltyNanos cost of the network distance
 * @param cachedTokens prompt tokens that are expected in the target's cache
 */
public record RouteCandidate(
        RoutingTarget target,
        RouteReason reason,
        long waitNanos,
        long prefillNanos,
        long penaltyNanos,
        int cachedTokens) {

    private static final int NANOS_PER_MICRO = 1000;

    /** Validates the components. */
    public RouteCandidate {
        checkNotNull(target, "target");
        checkNotNull(reason, "reason");
    }

    /** Returns the total cost. */
    public long scoreNanos() {
        return waitNanos + prefillNanos + penaltyNanos;
    }

    @Override
    public String toString() {
        return target.id() + ":" + reason.wireName() + ":" + scoreNanos() / NANOS_PER_MICRO + "us";
    }
}
