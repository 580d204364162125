package org.fuchsiaspindle.daemon.entry.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The entry from which requests are routed, which determines the distance to each target.
 *
 * @param instanceId the entry's instance identifier
 * @param dataCentre its data centre
 * @param region its region
 */
public record RoutingOrigin(String instanceId, String dataCentre, String region) {

    /** Validates the components. */
    public RoutingOrigin {
        checkNotNull(instanceId, "instanceId");
        checkNotNull(dataCentre, "dataCentre");
        checkNotNull(region, "region");
    }
}
