package org.fuchsiaspindle.wire.transport;

import org.fuchsiaspindle.wire.proto.Frame;

/**
 * An open, authenticated connection to another process.
 *
 * <p>Thread-safe. Messages of one connection arrive in the order in which they were sent. A
 * connection on which an error occurs is closed and not reused.
 */
public interface FleetConnection {

    /** Returns the process at the other end. */
    Peer peer();

    /** Returns a stream id that this side has not yet used on this connection. */
    long nextStreamId();

    /**
     * Queues a message without blocking.
     *
     * @param frame the message, not null
     * @return false if the connection is closed; the message is then dropped
     */
    boolean send(Frame frame);

    /** Returns false while the send queue is above its high-water mark; senders should pause. */
    boolean isWritable();

    /** Returns true until the connection is closed by either side. */
    boolean isOpen();

    /** Closes the connection; closing it twice has no effect. */
    void close();
}
