package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A service with its weight in the traffic split of a route.
 *
 * @param service the name of the service, not null
 * @param weight its share relative to the other services of the route, not negative
 */
public record WeightedService(String service, double weight) {

    /** Validates the components. */
    public WeightedService {
        checkNotNull(service, "service");
        checkArgument(weight >= 0, "negative weight of service %s: %s", service, weight);
    }
}
