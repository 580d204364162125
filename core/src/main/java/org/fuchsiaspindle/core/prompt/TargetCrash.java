package org.fuchsiaspindle.core.prompt;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The crash of a target, as one gateway saw it.
 *
 * @param service the service of the target, not null
 * @param target the identifier of the target, not null
 * @param suspects for each request that the target had just started to answer, or was about to, the
 *     parts of its prompt that other requests may share, in order; not null
 */
public record TargetCrash(
        String service, String target, ImmutableList<ImmutableList<String>> suspects) {

    /** Validates the components. */
    public TargetCrash {
        checkNotNull(service, "service");
        checkNotNull(target, "target");
        checkNotNull(suspects, "suspects");
    }
}
