package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.fuchsiaspindle.core.id.Ids;

/**
 * A model or adapter that the fleet serves.
 *
 * @param name the model's name as callers use it
 * @param version the version to load
 * @param minCopies number of copies that are kept ready, not negative
 * @param maxCopies largest number of copies that placement loads
 */
public record ModelDefinition(String name, String version, int minCopies, int maxCopies) {

    /** Validates the components. */
    public ModelDefinition {
        Ids.checkName("model", name);
        checkNotNull(version, "version");
        checkArgument(minCopies >= 0, "negative minimum of copies of %s: %s", name, minCopies);
        checkArgument(
                maxCopies >= minCopies,
                "maximum of copies of %s below the minimum: %s",
                name,
                maxCopies);
    }
}
