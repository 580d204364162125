package org.fuchsiaspindle.testbed.proxy;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The faults of one direction, for one connection or for all connections. Changes take effect
 * immediately, including for bytes that the proxy has buffered. Thread-safe.
 */
public final class LinkFaults {

    private Duration delay = Duration.ZERO;
    private boolean dropping;
    private boolean held;
    private long cutAfter = Long.MAX_VALUE;
    private int cutWithin = Integer.MAX_VALUE;

    LinkFaults() {}

    /** Delays all bytes without reordering them. */
    public synchronized void setDelay(Duration value) {
        checkArgument(!value.isNegative(), "negative delay: %s", value);
        delay = value;
        notifyAll();
    }

    /**
     * Sets whether all bytes and connection closes are dropped, as in a network partition. A
     * connection that has lost bytes forwards nothing in this direction afterwards, because TCP
     * never delivers a stream with a gap.
     */
    public synchronized void setDropping(boolean value) {
        dropping = value;
        notifyAll();
    }

    /** Sets whether all bytes are held back; they are forwarded when this is set to false. */
    public synchronized void setHeld(boolean value) {
        held = value;
        notifyAll();
    }

    /** Closes each connection once it has forwarded a total number of bytes. */
    public synchronized void setCutAfter(long bytes) {
        checkArgument(bytes >= 0, "negative number of bytes: %s", bytes);
        cutAfter = bytes;
        notifyAll();
    }

    /**
     * Closes each connection within the next read that returns more than a number of bytes. Only
     * that number of bytes is forwarded, so the receiver gets part of a message.
     */
    public synchronized void setCutWithin(int bytes) {
        checkArgument(bytes >= 0, "negative number of bytes: %s", bytes);
        cutWithin = bytes;
        notifyAll();
    }

    /** Clears all faults. */
    public synchronized void clear() {
        delay = Duration.ZERO;
        dropping = false;
        held = false;
        cutAfter = Long.MAX_VALUE;
        cutWithin = Integer.MAX_VALUE;
        notifyAll();
    }

    synchronized Duration delay() {
        return delay;
    }

    synchronized boolean isDropping() {
        return dropping;
    }

    synchronized long cutAfter() {
        return cutAfter;
    }

    synchronized int cutWithin() {
        return cutWithin;
    }

    /**
     * Waits for at most {@code millis} while bytes are held and not dropped; returns whether bytes
     * may be forwarded.
     */
    synchronized boolean awaitReleased(long millis) throws InterruptedException {
        if (held && !dropping) {
            wait(millis);
        }
        return !held || dropping;
    }
}
