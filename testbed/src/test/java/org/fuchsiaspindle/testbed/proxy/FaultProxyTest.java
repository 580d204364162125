package org.fuchsiaspindle.testbed.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.fuchsiaspindle.platform.store.BlockingStore;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.StoreTable;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the faults of the proxy with the store client and with plain sockets. */
class FaultProxyTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int NO_DATA_MILLIS = 200;

    private StoreEmulator server;
    private BlockingStore client;
    private StoreTable table;
    private FaultProxy proxy;

    @BeforeEach
    void start() {
        server = StoreEmulator.start("127.0.0.1");
        proxy = FaultProxy.start(new InetSocketAddress("127.0.0.1", server.port()));
        client =
                BlockingStore.connect(
                        HostAndPort.fromParts("127.0.0.1", proxy.address().getPort()));
        table = StoreTable.on(client);
    }

    @AfterEach
    void close() {
        client.close();
        proxy.close();
        server.close();
    }

    @Test
    void bytesAreForwardedInBothDirections() {
        proxy.toTarget().setDelay(Duration.ofMillis(5));
        table.commit(put("x", 0));
        assertThat(table.read("x")).isPresent();
    }

    /** Guards against opening a connection for each call, which costs a round trip. */
    @Test
    void consecutiveCallsReuseTheConnection() {
        long version = 0;
        for (int i = 0; i < 5; i++) {
            version = table.commit(put("x", version));
            assertThat(table.read("x")).isPresent();
        }
        assertThat(proxy.accepted()).isEqualTo(1);
    }

    /** Guards against reporting a write as not executed when only its response was lost. */
    @Test
    void droppedResponseLeavesTheWriteExecuted() throws InterruptedException {
        proxy.toCaller().setDropping(true);
        assertThatThrownBy(() -> table.commit(put("x", 0)))
                .isInstanceOf(OutcomeUnknownException.class);
        await(() -> isWritten());
        proxy.clear();
        assertThat(table.read("x")).isPresent();
    }

    @Test
    void droppedRequestLosesTheWrite() {
        proxy.toTarget().setDropping(true);
        assertThatThrownBy(() -> table.commit(put("x", 0)))
                .isInstanceOf(OutcomeUnknownException.class);
        proxy.clear();
        assertThat(table.read("x")).isEmpty();
        assertThat(server.writes()).isZero();
    }

    /** Guards against treating a write as not executed because its call has timed out. */
    @Test
    void heldRequestTakesEffectAfterItsCallTimedOut() throws InterruptedException {
        proxy.toTarget().setHeld(true);
        assertThatThrownBy(() -> table.commit(put("x", 0)))
                .isInstanceOf(OutcomeUnknownException.class);
        assertThat(isWritten()).isFalse();
        proxy.clear();
        await(() -> isWritten());
    }

    @Test
    void cutAndRefusedConnectionsFailTheCall() {
        proxy.toCaller().setCutAfter(20);
        assertThatThrownBy(() -> table.read("x")).isInstanceOf(TableUnavailableException.class);
        proxy.clear();
        assertThat(table.read("x")).isEmpty();
        proxy.resetConnections();
        proxy.setRefusing(true);
        assertThatThrownBy(() -> table.read("x")).isInstanceOf(TableUnavailableException.class);
        proxy.clear();
        assertThat(table.read("x")).isEmpty();
    }

    /** Guards against a cut position that counts the bytes forwarded before the cut was set. */
    @Test
    void cutWithinTheNextResponseForwardsPartOfIt() {
        assertThat(table.read("x")).isEmpty();
        proxy.toCaller().setCutWithin(6);
        assertThatThrownBy(() -> table.commit(put("x", 0)))
                .isInstanceOf(OutcomeUnknownException.class);
        assertThat(isWritten()).isTrue();
        proxy.clear();
        assertThat(table.read("x")).isPresent();
    }

    /** Returns whether the store contains a row, bypassing the proxy. */
    private boolean isWritten() {
        return server.count(StoreTable.TABLE) > 0;
    }

    /** Guards against forwarding a stream with a gap, which TCP never delivers. */
    @Test
    void connectionThatLostBytesForwardsNoMore() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"));
                FaultProxy tcpProxy = FaultProxy.start(address(listener));
                Socket caller = new Socket("127.0.0.1", tcpProxy.address().getPort());
                Socket target = listener.accept()) {
            target.setSoTimeout(NO_DATA_MILLIS);
            send(caller, "a");
            assertThat(target.getInputStream().read()).isEqualTo('a');
            ProxiedConnection connection = tcpProxy.connections().getFirst();
            connection.toTarget().setDropping(true);
            send(caller, "b");
            assertNoData(target.getInputStream());
            tcpProxy.clear();
            send(caller, "c");
            assertNoData(target.getInputStream());
            send(target, "d");
            assertThat(caller.getInputStream().read()).isEqualTo('d');
        }
    }

    /** Guards against a fault of one connection that affects another. */
    @Test
    void faultsOfOneConnectionDoNotAffectOthers() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"));
                FaultProxy tcpProxy = FaultProxy.start(address(listener));
                Socket first = new Socket("127.0.0.1", tcpProxy.address().getPort());
                Socket firstTarget = listener.accept()) {
            ProxiedConnection held = tcpProxy.connections().getFirst();
            held.toTarget().setHeld(true);
            send(first, "a");
            try (Socket second = new Socket("127.0.0.1", tcpProxy.address().getPort());
                    Socket secondTarget = listener.accept()) {
                send(second, "b");
                assertThat(secondTarget.getInputStream().read()).isEqualTo('b');
                firstTarget.setSoTimeout(NO_DATA_MILLIS);
                assertNoData(firstTarget.getInputStream());
                held.toTarget().setHeld(false);
                firstTarget.setSoTimeout((int) TIMEOUT.toMillis());
                assertThat(firstTarget.getInputStream().read()).isEqualTo('a');
                held.reset();
                assertThatThrownBy(() -> first.getInputStream().read())
                        .isInstanceOf(SocketException.class);
            }
        }
    }

    /** Guards against leaking the sockets of connections that both sides have closed. */
    @Test
    void closedConnectionsAreRemoved() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"));
                FaultProxy tcpProxy = FaultProxy.start(address(listener))) {
            try (Socket caller = new Socket("127.0.0.1", tcpProxy.address().getPort());
                    Socket target = listener.accept()) {
                send(caller, "a");
                assertThat(target.getInputStream().read()).isEqualTo('a');
                assertThat(tcpProxy.connections()).hasSize(1);
            }
            await(() -> tcpProxy.connections().isEmpty());
        }
    }

    private static void assertNoData(InputStream in) {
        assertThatThrownBy(in::read).isInstanceOf(SocketTimeoutException.class);
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(UTF_8));
    }

    private static InetSocketAddress address(ServerSocket listener) {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private static Transaction put(String key, long version) {
        return Transaction.of(new Operation.Put(key, version, key.getBytes(UTF_8)));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime())
                    .as("condition not met within the timeout")
                    .isLessThan(deadline);
            Thread.sleep(5);
        }
    }
}
