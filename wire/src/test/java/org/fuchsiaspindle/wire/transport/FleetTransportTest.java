package org.fuchsiaspindle.wire.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.wire.proto.Cancel;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Role;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against unauthenticated peers and lost or reordered messages between processes. */
final class FleetTransportTest {

    private static final String SECRET = "0123456789abcdef-test";

    private final RecordingListener accepted = new RecordingListener();
    private FleetTransport server;
    private InetSocketAddress address;

    @BeforeEach
    void listen() {
        server = FleetTransport.create(identity("agent-1", Role.ROLE_AGENT, SECRET), 1);
        address =
                server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), accepted);
    }

    @AfterEach
    void close() {
        server.close();
    }

    @Test
    void connect_withTheFleetSecret_deliversMessagesInOrder() throws Exception {
        try (FleetTransport client =
                FleetTransport.create(identity("entry-1", Role.ROLE_ENTRY, SECRET), 1)) {
            FleetConnection connection = client.connect(address, new RecordingListener()).join();
            assertThat(connection.peer().instanceId()).isEqualTo("agent-1");
            for (int i = 1; i <= 100; i++) {
                connection.send(frame(i));
            }
            for (int i = 1; i <= 100; i++) {
                Frame frame = accepted.frames.poll(10, TimeUnit.SECONDS);
                assertThat(frame).isNotNull();
                assertThat(frame.getStreamId()).isEqualTo(i);
            }
        }
    }

    @Test
    void connect_withAnotherSecret_failsOnBothSides() {
        try (FleetTransport client =
                FleetTransport.create(
                        identity("entry-1", Role.ROLE_ENTRY, "another-secret-of-a-fleet"), 1)) {
            assertThatThrownBy(() -> client.connect(address, new RecordingListener()).join())
                    .isInstanceOf(CompletionException.class)
                    .cause()
                    .isInstanceOfSatisfying(
                            FuchsiaspindleException.class,
                            e -> assertThat(e.code()).isEqualTo(ResultCode.AUTHENTICATION_FAILED));
            assertThat(accepted.frames).isEmpty();
        }
    }

    private static Frame frame(long stream) {
        return Frame.newBuilder()
                .setStreamId(stream)
                .setCancel(Cancel.getDefaultInstance())
                .build();
    }

    private static FleetIdentity identity(String id, Role role, String secret) {
        return FleetIdentity.of(new Peer(id, "1", role, "dc-1", ""), secret);
    }

    private static final class RecordingListener implements FleetListener {
        private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

        @Override
        public void onOpen(FleetConnection connection) {}

        @Override
        public void onFrame(FleetConnection connection, Frame frame) {
            frames.add(frame);
        }

        @Override
        public void onClose(FleetConnection connection) {}
    }
}
