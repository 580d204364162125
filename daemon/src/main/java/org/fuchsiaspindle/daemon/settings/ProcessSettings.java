package org.fuchsiaspindle.daemon.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * Settings common to both roles. {@link #toString} leaves out the secret.
 *
 * @param instanceId the instance's identifier, as in the instance list
 * @param dataCentre the data centre
 * @param region the region
 * @param fleetListen address for other processes
 * @param managementListen address for liveness, readiness and metrics
 * @param storeAddress address of the platform's store
 * @param fleetSecret secret that the processes of the fleet share
 * @param seeds fleet addresses of entries to contact if the platform does not respond at start
 * @param grace time for running work to finish during a planned stop
 */
public record ProcessSettings(
        String instanceId,
        String dataCentre,
        String region,
        InetSocketAddress fleetListen,
        InetSocketAddress managementListen,
        HostAndPort storeAddress,
        String fleetSecret,
        List<InetSocketAddress> seeds,
        Duration grace) {

    /** Validates the components. */
    public ProcessSettings {
        checkNotNull(instanceId, "instanceId");
        checkNotNull(dataCentre, "dataCentre");
        checkNotNull(region, "region");
        checkNotNull(fleetListen, "fleetListen");
        checkNotNull(managementListen, "managementListen");
        checkNotNull(storeAddress, "storeAddress");
        checkNotNull(fleetSecret, "fleetSecret");
        seeds = List.copyOf(seeds);
        checkNotNull(grace, "grace");
    }

    @Override
    public String toString() {
        return "ProcessSettings[instanceId="
                + instanceId
                + ", dataCentre="
                + dataCentre
                + ", region="
                + region
                + ", fleetListen="
                + fleetListen
                + ", managementListen="
                + managementListen
                + "]";
    }
}
