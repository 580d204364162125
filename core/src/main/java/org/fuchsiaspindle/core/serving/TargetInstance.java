package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

/**
 * One incarnation of a target, as it registered itself.
 *
 * @param id the identifier of this incarnation, not null
 * @param service the service that it runs, not null
 * @param address its address, with a port
 * @param dataCentre the data centre that it is in, not null
 * @param slots how many requests it runs at a time, positive
 * @param leaving whether it accepts no new work
 * @param startedAtMillis when it started, in milliseconds of the Unix epoch
 */
public record TargetInstance(
        String id,
        String service,
        HostAndPort address,
        String dataCentre,
        int slots,
        boolean leaving,
        long startedAtMillis) {

    /** Checks the arguments. */
    public TargetInstance {
        checkNotNull(id, "id");
        checkNotNull(service, "service");
        checkArgument(address.hasPort(), "address of target %s has no port: %s", id, address);
        checkNotNull(dataCentre, "dataCentre");
        checkArgument(slots > 0, "slots of target %s not positive: %s", id, slots);
    }

    /** Returns whether the other entry is the same incarnation at the same address. */
    public boolean isSameIncarnation(TargetInstance other) {
        return id.equals(other.id)
                && address.equals(other.address)
                && startedAtMillis == other.startedAtMillis;
    }
}
