package org.fuchsiaspindle.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalInt;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.core.limit.RateLimit;

/**
 * A workspace in one version of the configuration.
 *
 * @param name the unique name, which targets receive with each request; not empty
 * @param keys the digests of its keys, not null
 * @param priority replaces the priority of the route of its requests if present; 0 is the most
 *     urgent
 * @param requestLimit the limit of its online requests over all gateways, empty for no limit
 */
public record Workspace(
        String name,
        ImmutableSet<KeyDigest> keys,
        OptionalInt priority,
        Optional<RateLimit> requestLimit) {

    /** Validates the components. */
    public Workspace {
        checkArgument(!name.isEmpty(), "workspace without a name");
        checkNotNull(keys, "keys");
        checkNotNull(priority, "priority");
        checkNotNull(requestLimit, "requestLimit");
    }
}
