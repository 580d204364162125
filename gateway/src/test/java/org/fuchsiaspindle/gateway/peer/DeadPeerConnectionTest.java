package org.fuchsiaspindle.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.gateway.watch.StoreHealth;
import org.fuchsiaspindle.wire.peer.CoordinatorCheck;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.SilenceReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against gateways that send to each other into connections that pass nothing on. */
final class DeadPeerConnectionTest {

    private static final String FIRST = "127.0.8.1";
    private static final String SECOND = "127.0.8.2";

    /** A part of the time in which batch jobs must be done after the last trouble. */
    private static final Duration REPAIR_TIME = Duration.ofSeconds(9);

    private static final PeerFrame FRAME =
            PeerFrame.newBuilder()
                    .setCoordinatorCheck(CoordinatorCheck.newBuilder().setResponse(false))
                    .build();

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> framesLost = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> replaced = new LinkedBlockingQueue<>();
    private PeerMesh first;
    private PeerMesh second;
    private SilentRelay toFirst;
    private SilentRelay toSecond;

    /** Each gateway connects at its own port, where a relay to the other one listens. */
    @BeforeEach
    void startGateways() throws Exception {
        int firstPort = freePort();
        int secondPort = freePort();
        toSecond = SilentRelay.start(SECOND, firstPort, secondPort);
        toFirst = SilentRelay.start(FIRST, secondPort, firstPort);
        first = createMesh(FIRST, firstPort);
        second = createMesh(SECOND, secondPort);
        first.start(List.of(SECOND));
        second.start(List.of(FIRST));
        awaitBothWays();
    }

    @AfterEach
    void stop() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        toFirst.close();
        toSecond.close();
    }

    @Test
    void connectionThatWentSilent_isReplaced() throws Exception {
        toSecond.silenceOpenConnections();
        awaitBothWays();
    }

    @Test
    void connectionsThatWentSilentInBothDirections_areReplaced() throws Exception {
        toSecond.silenceOpenConnections();
        toFirst.silenceOpenConnections();
        awaitBothWays();
    }

    @Test
    void connectionThatWentSilentTwice_isReplaced() throws Exception {
        toFirst.silenceOpenConnections();
        awaitBothWays();
        toFirst.silenceOpenConnections();
        toSecond.silenceOpenConnections();
        awaitBothWays();
    }

    /** Guards against a new connection that is dead before its first heartbeat. */
    @Test
    void connectionThatNeverPassedAnythingOn_isReplaced() throws Exception {
        toSecond.silenceNextConnection();
        toSecond.silenceOpenConnections();
        awaitBothWays();
    }

    /** Guards against frames that are discarded while their connection stays open, unnoticed. */
    @Test
    void peerThatReadsSlowly_isToldAnewWhatItMissed() throws Exception {
        toSecond.withoutReading(() -> loop.submit(this::sendUntilDiscarded).syncUninterruptibly());
        assertThat(framesLost.poll(REPAIR_TIME.toSeconds(), TimeUnit.SECONDS)).isEqualTo(SECOND);
        assertThat(framesLost).isEmpty();
        awaitBothWays();
    }

    /** Guards against frames that are lost with a connection of which only one end is closed. */
    @Test
    void newConnectionOfAPeerThatIsHeard_isReported() throws Exception {
        toSecond.closeNearEnds();
        assertThat(replaced.poll(REPAIR_TIME.toSeconds(), TimeUnit.SECONDS)).isEqualTo(FIRST);
        awaitBothWays();
    }

    private void sendUntilDiscarded() {
        PeerFrame large =
                PeerFrame.newBuilder()
                        .setSilenceReport(SilenceReport.newBuilder().setTarget("x".repeat(1 << 16)))
                        .build();
        boolean sent = true;
        for (int i = 0; sent && i < 10_000; i++) {
            sent = first.send(SECOND, large);
        }
        assertThat(sent).as("frames are discarded").isFalse();
    }

    private void awaitBothWays() throws Exception {
        long endNanos = System.nanoTime() + REPAIR_TIME.toNanos();
        received.clear();
        boolean firstHeard = false;
        boolean secondHeard = false;
        while (!(firstHeard && secondHeard) && System.nanoTime() - endNanos < 0) {
            loop.execute(
                    () -> {
                        first.send(SECOND, FRAME);
                        second.send(FIRST, FRAME);
                    });
            String from = received.poll(20, TimeUnit.MILLISECONDS);
            firstHeard |= FIRST.equals(from);
            secondHeard |= SECOND.equals(from);
        }
        assertThat(firstHeard).as("frames of the first gateway arrive").isTrue();
        assertThat(secondHeard).as("frames of the second gateway arrive").isTrue();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(SECOND))) {
            return free.getLocalPort();
        }
    }

    private PeerMesh createMesh(String ip, int port) {
        PeerMesh mesh =
                PeerMesh.create(
                        loop,
                        new PeerMesh.Self("node-" + ip, ip, port, "first", "zone", 1),
                        new FleetViewHolder(),
                        StoreHealth.create(Clock.system()),
                        new Receiver(received, framesLost, replaced),
                        new GatewayMetrics());
        mesh.setPromptListener(new Receiver(received, framesLost, replaced));
        return mesh;
    }

    /** Keeps the senders of the frames that arrive, and what is reported of peers. */
    private record Receiver(
            BlockingQueue<String> senders,
            BlockingQueue<String> framesLost,
            BlockingQueue<String> replaced)
            implements PeerMesh.PeerListener, PeerMesh.PromptListener {

        @Override
        public void onFrame(String peerIp, PeerFrame frame) {
            senders.add(peerIp);
        }

        @Override
        public void onPromptFrame(PeerFrame frame) {}

        @Override
        public void onPeerLost(String peerIp) {}

        @Override
        public void onConnected(String peerIp) {}

        @Override
        public void onFramesLost(String peerIp) {
            framesLost.add(peerIp);
        }

        @Override
        public void onConnectionReplaced(String peerIp) {
            replaced.add(peerIp);
        }

        @Override
        public void onMembersChanged() {}
    }
}
