package org.fuchsiaspindle.wire.transport;

import org.fuchsiaspindle.wire.proto.Frame;

/**
 * Receives the messages and state changes of connections.
 *
 * <p>All calls for one connection are made in order by one I/O thread; implementations must not
 * block.
 */
public interface FleetListener {

    /** Called once after a successful handshake. */
    void onOpen(FleetConnection connection);

    /** Called for each message after the handshake, except for heartbeats. */
    void onFrame(FleetConnection connection, Frame frame);

    /** Called once when a connection that was reported to {@link #onOpen} has been closed. */
    void onClose(FleetConnection connection);
}
