package org.fuchsiaspindle.gateway.peer;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The state of a peer as of its last heartbeat.
 *
 * @param ip the address of its instance, not null
 * @param incarnation identifies the start of its process, different after each restart; not null
 * @param configVersion the version of its configuration in force, 0 for none
 * @param directoryVersion the version of its directory of targets
 * @param storeReachable whether it reaches the store
 * @param stopping whether it is shutting down
 * @param dataCentre the data centre of its instance, not null
 * @param capacity the processor capacity of its instance in cores, 0 if it did not announce it
 */
public record PeerInfo(
        String ip,
        String incarnation,
        long configVersion,
        long directoryVersion,
        boolean storeReachable,
        boolean stopping,
        String dataCentre,
        double capacity) {

    /** Validates the components. */
    public PeerInfo {
        checkNotNull(ip, "ip");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(dataCentre, "dataCentre");
    }
}
