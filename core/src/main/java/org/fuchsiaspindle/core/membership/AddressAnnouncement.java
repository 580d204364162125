package org.fuchsiaspindle.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Set;

/**
 * Decides which heartbeats to one peer name the addresses of all known processes.
 *
 * <p>Addresses go out when they changed and from time to time, because a peer forgets an address
 * that it cannot reach and has to hear of it again. Sent with every heartbeat they would take most
 * of the traffic between processes, which grows with the square of their number. Not thread-safe.
 */
public final class AddressAnnouncement {

    /** Time after which unchanged addresses are sent again. */
    static final Duration REPEAT = Duration.ofSeconds(5);

    private ImmutableSet<String> sent = ImmutableSet.of();
    private long sentNanos;

    /** Creates the announcement to a peer that was told nothing. */
    public AddressAnnouncement() {}

    /**
     * Returns the addresses that the next heartbeat names, empty if the peer knows them.
     *
     * @param known all known addresses, not null
     * @param nowNanos the monotonic time, in nanoseconds
     */
    public Set<String> due(Set<String> known, long nowNanos) {
        checkNotNull(known, "known");
        boolean repeat = nowNanos - sentNanos >= REPEAT.toNanos();
        return known.equals(sent) && !repeat ? ImmutableSet.of() : known;
    }

    /** Notes that a heartbeat with some addresses was sent; none change nothing. */
    public void sent(Set<String> addresses, long nowNanos) {
        if (!addresses.isEmpty()) {
            sent = ImmutableSet.copyOf(addresses);
            sentNanos = nowNanos;
        }
    }
}
