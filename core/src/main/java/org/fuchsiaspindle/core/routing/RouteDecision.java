package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The outcome of routing one request: the chosen target and the candidates.
 *
 * @param chosen the chosen candidate, empty if no target is usable
 * @param candidates all candidates, not null, at most {@link Router#MAX_CANDIDATES}
 */
public record RouteDecision(
        Optional<RouteCandidate> chosen, ImmutableList<RouteCandidate> candidates) {

    /** A decision without any usable target. */
    static final RouteDecision NO_TARGET = new RouteDecision(Optional.empty(), ImmutableList.of());

    /** Validates the components. */
    public RouteDecision {
        checkNotNull(chosen, "chosen");
        checkNotNull(candidates, "candidates");
    }

    /**
     * Returns why the chosen target was a candidate, or {@link RouteReason#NONE} if no target was
     * chosen.
     */
    public RouteReason reason() {
        return chosen.map(RouteCandidate::reason).orElse(RouteReason.NONE);
    }
}
