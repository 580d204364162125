package org.fuchsiaspindle.wire.transport;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaspindle.wire.proto.Frame;

/** Implements a connection on one Netty channel. */
final class FleetChannel implements FleetConnection {

    private final Channel channel;
    private final Peer peer;
    private final AtomicLong nextStreamId = new AtomicLong();

    FleetChannel(Channel channel, Peer peer) {
        this.channel = channel;
        this.peer = peer;
    }

    @Override
    public Peer peer() {
        return peer;
    }

    @Override
    public long nextStreamId() {
        return nextStreamId.incrementAndGet();
    }

    @Override
    public boolean send(Frame frame) {
        if (!channel.isActive()) {
            return false;
        }
        channel.writeAndFlush(frame, channel.voidPromise());
        return true;
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public boolean isOpen() {
        return channel.isActive();
    }

    @Override
    public void close() {
        channel.close();
    }

    @Override
    public String toString() {
        return peer.instanceId() + "@" + channel.remoteAddress();
    }
}
