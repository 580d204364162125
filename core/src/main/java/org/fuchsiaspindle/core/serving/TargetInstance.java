package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

/**
 * One incarnation of a target, as registered by the target itself.
 *
 * @param id the identifier of this incarnation, not null
 * @param service the service that it runs, not null
 * @param address its address, with a port
 * @param dataCentre its data centre, not null
 * @param slots the number of requests that it runs concurrently, positive
 * @param leaving whether it is shutting down and accepts no new requests
 * @param startedAtMillis when it started, in milliseconds since the Unix epoch
 */
public record TargetInstance(
        String id,
        String service,
        HostAndPort address,
        String dataCentre,
        int slots,
        boolean leaving,
        long startedAtMillis) {

    /** Validates the components. */
    public TargetInstance {
        checkNotNull(id, "id");
        checkNotNull(service, "service");
        checkArgument(address.hasPort(), "address of target %s has no port: %s", id, address);
        checkNotNull(dataCentre, "dataCentre");
        checkArgument(slots > 0, "slots of target %s not positive: %s", id, slots);
    }

    /** Returns whether both registrations describe the same incarnation at the same address. */
    public boolean isSameIncarnation(TargetInstance other) {
        return id.equals(other.id)
                && address.equals(other.address)
                && startedAtMillis == other.startedAtMillis;
    }
}
