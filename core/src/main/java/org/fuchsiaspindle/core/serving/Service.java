package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A service that runs on targets.
 *
 * @param name the unique name, not null
 * @param maxConnections the connections that one target accepts from all processes together
 * @param model whether its targets are model engines
 */
public record Service(String name, int maxConnections, boolean model) {

    /** Checks the arguments. */
    public Service {
        checkNotNull(name, "name");
        checkArgument(maxConnections > 0, "connections of %s not positive", name);
    }
}
