package org.fuchsiaspindle.gateway.peer;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a peer said of itself last.
 *
 * @param ip the address of its instance, not null
 * @param incarnation identifies this life of its process, not null
 * @param configVersion the configuration that it has in force, 0 for none
 * @param directoryVersion the version of the store as of which it knows the targets
 * @param storeReachable whether the store serves it
 * @param stopping whether it is about to stop
 */
public record PeerInfo(
        String ip,
        String incarnation,
        long configVersion,
        long directoryVersion,
        boolean storeReachable,
        boolean stopping) {

    /** Checks the arguments. */
    public PeerInfo {
        checkNotNull(ip, "ip");
        checkNotNull(incarnation, "incarnation");
    }

    /** Returns whether the process goes on and the store serves it. */
    public boolean canUseStore() {
        return storeReachable && !stopping;
    }
}
