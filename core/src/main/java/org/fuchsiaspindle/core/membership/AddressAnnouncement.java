package org.fuchsiaspindle.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Set;

/**
 * Decides which heartbeats to one peer carry the addresses of all known processes.
 *
 * <p>Addresses are sent when they have changed, and periodically, because a peer drops an address
 * that it cannot reach and must receive it again. If every heartbeat carried them, they would
 * dominate the traffic between processes, which grows with the square of the number of processes.
 * Not thread-safe.
 */
public final class AddressAnnouncement {

    /** The interval at which unchanged addresses are sent again in a small fleet. */
    static final Duration REPEAT_INTERVAL = Duration.ofSeconds(5);

    /**
     * Number of addresses above which the interval grows with their square, because a process sends
     * all addresses to all of them.
     */
    static final int SMALL_FLEET = 40;

    private ImmutableSet<String> sent = ImmutableSet.of();
    private long sentNanos;

    /** Creates the state for a peer to which no address has been sent. */
    public AddressAnnouncement() {}

    /**
     * Returns the addresses that the next heartbeat carries, empty if the peer already has them.
     *
     * @param known all known addresses, not null
     * @param nowNanos the monotonic time, in nanoseconds
     */
    public Set<String> addressesToSend(Set<String> known, long nowNanos) {
        checkNotNull(known, "known");
        boolean repeat = nowNanos - sentNanos >= repeatInterval(known.size()).toNanos();
        return known.equals(sent) && !repeat ? ImmutableSet.of() : known;
    }

    /** Returns the interval at which a number of unchanged addresses is sent again. */
    static Duration repeatInterval(int addresses) {
        double size = Math.max(1, (double) addresses / SMALL_FLEET);
        return Duration.ofMillis(Math.round(REPEAT_INTERVAL.toMillis() * size * size));
    }

    /** Records that a heartbeat with the given addresses was sent; an empty set has no effect. */
    public void recordSent(Set<String> addresses, long nowNanos) {
        if (!addresses.isEmpty()) {
            sent = ImmutableSet.copyOf(addresses);
            sentNanos = nowNanos;
        }
    }
}
