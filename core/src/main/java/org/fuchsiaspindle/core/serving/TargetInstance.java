package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.CharMatcher;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * One incarnation of a target, as registered by the target itself.
 *
 * @param id the identifier of this incarnation, visible ASCII characters, not empty
 * @param service the service that it runs, not empty, without control characters
 * @param address its IP address with a port, which is not 0
 * @param dataCentre its data centre, not empty, without control characters
 * @param slots the number of requests that it runs concurrently, positive, at most {@link
 *     #MAX_SLOTS}
 * @param leaving whether it is shutting down and accepts no new requests
 * @param startedAtMillis when it started, in milliseconds since the Unix epoch, 0 if unknown
 */
public record TargetInstance(
        String id,
        String service,
        HostAndPort address,
        String dataCentre,
        int slots,
        boolean leaving,
        long startedAtMillis) {

    /** Largest number of slots; the slots of all targets of a service fit into an integer. */
    public static final int MAX_SLOTS = 100_000;

    /** Characters of an identifier, which is sent in a header. */
    private static final CharMatcher VISIBLE_ASCII = CharMatcher.inRange('!', '~');

    /** Validates the components. */
    public TargetInstance {
        checkArgument(
                !id.isEmpty() && VISIBLE_ASCII.matchesAllOf(id), "invalid identifier: %s", id);
        checkName("service", service);
        checkArgument(
                InetAddresses.isInetAddress(address.getHost()), "not an IP address: %s", address);
        checkArgument(address.getPortOrDefault(0) > 0, "address without a port: %s", address);
        checkName("data centre", dataCentre);
        checkArgument(slots > 0 && slots <= MAX_SLOTS, "slots out of range: %s", slots);
        checkArgument(startedAtMillis >= 0, "start time is negative: %s", startedAtMillis);
    }

    private static void checkName(String field, String name) {
        checkArgument(
                !name.isEmpty() && CharMatcher.javaIsoControl().matchesNoneOf(name),
                "invalid %s: %s",
                field,
                name);
    }

    /** Returns whether both registrations describe the same incarnation at the same address. */
    public boolean isSameIncarnation(TargetInstance other) {
        return id.equals(other.id)
                && address.equals(other.address)
                && startedAtMillis == other.startedAtMillis;
    }
}
