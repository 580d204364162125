package org.fuchsiaspindle.core.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides whether the heartbeats that are sent on a connection arrive.
 *
 * <p>Heartbeats to a peer are numbered, and the peer names the newest one that it received in its
 * own heartbeats, which come on another connection. So a connection that passes nothing on is found
 * although the peer can be heard, and although neither end was told. Not thread-safe; times are
 * monotonic nanoseconds.
 */
public final class HeartbeatEcho {

    /**
     * A heartbeat that the peer had not received this long after it was sent, when it sent its own,
     * is lost.
     */
    static final Duration MAX_UNHEARD_TIME = Duration.ofSeconds(2);

    /** Number of heartbeats whose times are kept; the oldest one decides. */
    private static final int MAX_KEPT = 8;

    private final Deque<Sent> unheard = new ArrayDeque<>();
    private long lastNumber;

    private record Sent(long number, long nanos) {}

    /** Creates the state of a connection on which nothing was sent. */
    public HeartbeatEcho() {}

    /** Forgets what was sent on an earlier connection; the numbers go on. */
    public void reset() {
        unheard.clear();
    }

    /** Records a heartbeat that is being sent, and returns its number, 1 or more. */
    public long send(long nowNanos) {
        lastNumber++;
        if (unheard.size() < MAX_KEPT) {
            unheard.addLast(new Sent(lastNumber, nowNanos));
        }
        return lastNumber;
    }

    /**
     * Records what the peer says in a heartbeat that has just arrived.
     *
     * @param heardNumber the newest number that the peer received, 0 for none
     * @param nowNanos the time
     * @return whether heartbeats on the present connection do not arrive
     */
    public boolean recordHeard(long heardNumber, long nowNanos) {
        while (!unheard.isEmpty() && unheard.peekFirst().number() <= heardNumber) {
            unheard.removeFirst();
        }
        return !unheard.isEmpty()
                && nowNanos - unheard.peekFirst().nanos() > MAX_UNHEARD_TIME.toNanos();
    }
}
