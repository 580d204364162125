package org.fuchsiaspindle.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.gateway.watch.StoreHealth;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against gateways that meet late after a common start. */
final class PeerMeshTest {

    private static final String FIRST = "127.0.9.1";
    private static final String SECOND = "127.0.9.2";
    private static final int CONNECT_MILLIS = 100;

    /** Less than the interval of the heartbeats, with which later attempts are made. */
    private static final long MEETING_MILLIS = 450;

    private static final long LONGEST_START_SECONDS = 20;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against waiting for an attempt whose first packet was lost, as without power. */
    @Test
    void peerThatDidNotAnswerAtFirst_isConnectedWhenItStarts() throws Exception {
        letTwoGatewaysMeet();
        int port;
        CountDownLatch connected = new CountDownLatch(1);
        long started;
        PeerMesh second;
        try (UnansweredPort unanswered = UnansweredPort.open(SECOND)) {
            port = unanswered.port();
            PeerMesh first = createMesh(FIRST, port, connected);
            second = createMesh(SECOND, port, new CountDownLatch(1));
            started = System.nanoTime();
            first.start(List.of(SECOND));
        }
        second.start(List.of(FIRST));
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started);
        assertThat(connected.await(MEETING_MILLIS - elapsedMillis, TimeUnit.MILLISECONDS)).isTrue();
    }

    /** Loads the classes, which on a busy machine takes longer than a meeting. */
    private void letTwoGatewaysMeet() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(SECOND))) {
            port = free.getLocalPort();
        }
        CountDownLatch connected = new CountDownLatch(1);
        createMesh(FIRST, port, connected).start(List.of(SECOND));
        createMesh(SECOND, port, new CountDownLatch(1)).start(List.of(FIRST));
        assertThat(connected.await(LONGEST_START_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    private PeerMesh createMesh(String ip, int port, CountDownLatch connected) {
        PeerMesh mesh =
                PeerMesh.create(
                        group.next(),
                        new PeerMesh.Self("node-" + ip, ip, port, "first", "zone", 1),
                        new FleetViewHolder(),
                        StoreHealth.create(Clock.system()),
                        new ConnectionListener(connected),
                        new GatewayMetrics());
        mesh.setPromptListener(new ConnectionListener(connected));
        return mesh;
    }

    /** Counts connections to peers. */
    private record ConnectionListener(CountDownLatch connected)
            implements PeerMesh.PeerListener, PeerMesh.PromptListener {

        @Override
        public void onFrame(String peerIp, PeerFrame frame) {}

        @Override
        public void onPromptFrame(PeerFrame frame) {}

        @Override
        public void onPeerLost(String peerIp) {}

        @Override
        public void onConnected(String peerIp) {
            connected.countDown();
        }

        @Override
        public void onFramesLost(String peerIp) {}

        @Override
        public void onConnectionReplaced(String peerIp) {}

        @Override
        public void onMembersChanged() {}
    }

    /** A port whose queue of connections is full, so that further ones get no answer. */
    private static final class UnansweredPort implements AutoCloseable {

        private final ServerSocket server;
        private final List<Socket> queued = new ArrayList<>();

        private UnansweredPort(ServerSocket server) {
            this.server = server;
        }

        static UnansweredPort open(String ip) throws IOException {
            UnansweredPort port =
                    new UnansweredPort(new ServerSocket(0, 1, InetAddress.getByName(ip)));
            try {
                while (true) {
                    Socket socket = new Socket();
                    port.queued.add(socket);
                    socket.connect(new InetSocketAddress(ip, port.port()), CONNECT_MILLIS);
                }
            } catch (SocketTimeoutException queueIsFull) {
                return port;
            }
        }

        int port() {
            return server.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : queued) {
                socket.close();
            }
            server.close();
        }
    }
}
