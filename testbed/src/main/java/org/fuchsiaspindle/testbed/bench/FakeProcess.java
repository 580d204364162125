package org.fuchsiaspindle.testbed.bench;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.PeerStatus;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.fuchsiaspindle.wire.transport.FleetIdentity;
import org.fuchsiaspindle.wire.transport.FleetListener;
import org.fuchsiaspindle.wire.transport.FleetTransport;
import org.fuchsiaspindle.wire.transport.Peer;

/**
 * A lightweight in-JVM peer that speaks the fleet protocol: it sends the periodic messages of its
 * role and counts the bytes that it sends and receives. Thread-safe.
 */
final class FakeProcess implements AutoCloseable, FleetListener {

    private static final String REGION = "region-1";

    private final String id;
    private final Role role;
    private final String dataCentre;
    private final FleetTransport transport;
    private final InetSocketAddress address;
    private final Set<FleetConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong sequence = new AtomicLong();
    private volatile long configVersion;
    private volatile ScheduledFuture<?> sendTask;

    private FakeProcess(String id, Role role, String dataCentre, String secret) {
        this.id = id;
        this.role = role;
        this.dataCentre = dataCentre;
        String target = role == Role.ROLE_AGENT ? "engine-" + id : "";
        transport =
                FleetTransport.create(
                        FleetIdentity.of(new Peer(id, "1", role, dataCentre, target), secret), 1);
        address = transport.listen(new InetSocketAddress("127.0.0.1", 0), this);
    }

    /** Starts an agent that sends a load report at a fixed interval in milliseconds. */
    static FakeProcess agent(
            String id,
            String dataCentre,
            String secret,
            ScheduledExecutorService timer,
            long intervalMs) {
        FakeProcess agent = new FakeProcess(id, Role.ROLE_AGENT, dataCentre, secret);
        agent.scheduleSending(timer, intervalMs);
        return agent;
    }

    /** Starts an entry that sends its status every second. */
    static FakeProcess entry(
            String id, String dataCentre, String secret, ScheduledExecutorService timer) {
        FakeProcess entry = new FakeProcess(id, Role.ROLE_ENTRY, dataCentre, secret);
        entry.scheduleSending(timer, TimeUnit.SECONDS.toMillis(1));
        return entry;
    }

    private void scheduleSending(ScheduledExecutorService timer, long intervalMs) {
        sendTask =
                timer.scheduleAtFixedRate(
                        this::send, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    ListedInstance listedInstance() {
        boolean agent = role == Role.ROLE_AGENT;
        return new ListedInstance(
                id,
                agent ? ListedInstance.Role.AGENT : ListedInstance.Role.ENTRY,
                address,
                dataCentre,
                REGION,
                false,
                agent ? ListedInstance.TargetKind.ENGINE : ListedInstance.TargetKind.NONE,
                agent ? "engine-" + id : "");
    }

    /** Returns the number of message bytes that this process has received and sent. */
    long bytes() {
        return receivedBytes.get() + sentBytes.get();
    }

    boolean isConnected() {
        return !connections.isEmpty();
    }

    /** Returns the highest configuration version that a peer has reported to this process. */
    long configVersion() {
        return configVersion;
    }

    @Override
    public void onOpen(FleetConnection connection) {
        connections.add(connection);
    }

    @Override
    public void onFrame(FleetConnection connection, Frame frame) {
        receivedBytes.addAndGet(frame.getSerializedSize());
        if (frame.hasPeerStatus()) {
            configVersion = Math.max(configVersion, frame.getPeerStatus().getConfigVersion());
        }
    }

    @Override
    public void onClose(FleetConnection connection) {
        connections.remove(connection);
    }

    private void send() {
        Frame frame = role == Role.ROLE_AGENT ? loadReport() : peerStatus();
        for (FleetConnection connection : ImmutableList.copyOf(connections)) {
            connection.send(frame);
            sentBytes.addAndGet(frame.getSerializedSize());
        }
    }

    private Frame loadReport() {
        LoadReport report =
                LoadReport.newBuilder()
                        .setSequence(sequence.incrementAndGet())
                        .setOnlineRunning(3)
                        .setBatchRunning(20)
                        .setBatchWaiting(8)
                        .setCapacity(32)
                        .addModels("small")
                        .addModelVersions("1")
                        .setConfigVersion(configVersion)
                        .setExpectedWaitUs(1500)
                        .build();
        return Frame.newBuilder().setLoadReport(report).build();
    }

    private Frame peerStatus() {
        PeerStatus status =
                PeerStatus.newBuilder()
                        .setConfigVersion(configVersion)
                        .setJobDirectoryAgeMs(Long.MAX_VALUE)
                        .setTableReachable(true)
                        .build();
        return Frame.newBuilder().setPeerStatus(status).build();
    }

    @Override
    public void close() {
        sendTask.cancel(false);
        transport.close();
    }
}
