package org.fuchsiaspindle.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.fuchsiaspindle.wire.transport.Peer;

/** A connection that records the frames sent on it. */
public final class FakeConnection implements FleetConnection {

    private final Peer peer;
    private final AtomicLong streams = new AtomicLong();
    private final List<Frame> sent = new ArrayList<>();
    private volatile boolean open = true;

    private FakeConnection(Peer peer) {
        this.peer = peer;
    }

    /** Creates a connection to an entry. */
    public static FakeConnection toEntry(String id, String dataCentre) {
        return new FakeConnection(new Peer(id, "1", Role.ROLE_ENTRY, dataCentre, ""));
    }

    /** Creates a connection to an agent. */
    public static FakeConnection toAgent(String id, String dataCentre) {
        return new FakeConnection(new Peer(id, "1", Role.ROLE_AGENT, dataCentre, "target"));
    }

    /** Returns the frames sent since the last call. */
    public synchronized List<Frame> takeSent() {
        List<Frame> taken = List.copyOf(sent);
        sent.clear();
        return taken;
    }

    @Override
    public Peer peer() {
        return peer;
    }

    @Override
    public long nextStreamId() {
        return streams.incrementAndGet();
    }

    @Override
    public synchronized boolean send(Frame frame) {
        if (open) {
            sent.add(frame);
        }
        return open;
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public void close() {
        open = false;
    }
}
