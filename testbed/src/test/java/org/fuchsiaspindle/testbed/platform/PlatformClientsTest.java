package org.fuchsiaspindle.testbed.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.http.HttpClient;
import org.fuchsiaspindle.platform.http.HttpExchangeException;
import org.fuchsiaspindle.platform.http.HttpRequest;
import org.fuchsiaspindle.platform.instance.InstanceRows;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.instance.ListedInstance.Role;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;
import org.fuchsiaspindle.platform.instance.StoreInstances;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.object.StoreObjects;
import org.fuchsiaspindle.platform.store.BlockingStore;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.StoreTable;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator.FaultMode;
import org.junit.jupiter.api.Test;

/** Tests the platform clients against the store emulator and against faulty servers. */
class PlatformClientsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
    private static final String IP = "127.0.0.1";
    private static final String SPECIAL_CHARS_KEY = "a/b c+d?e=ü%2F;x&y";

    @Test
    void tableKeepsKeysAndVersionsOverHttp() {
        try (StoreEmulator server = StoreEmulator.start(IP);
                BlockingStore store = BlockingStore.connect(server.address())) {
            StoreTable table = StoreTable.on(store);
            long first =
                    table.commit(
                            Transaction.of(put(SPECIAL_CHARS_KEY, 0, "one"), put("a/c", 0, "two")));
            long second = table.commit(Transaction.of(put(SPECIAL_CHARS_KEY, first, "three")));
            Row row = table.read(SPECIAL_CHARS_KEY).orElseThrow();
            assertThat(row.version()).isEqualTo(second).isGreaterThan(first);
            assertThat(table.read("a/c").orElseThrow().version()).isEqualTo(first);
            assertThat(new String(row.value(), UTF_8)).isEqualTo("three");
            assertThat(table.read("a")).isEmpty();
            assertThat(table.readPrefix("a/", "", 10))
                    .extracting(Row::key)
                    .containsExactly(SPECIAL_CHARS_KEY, "a/c");
            assertThat(table.readPrefix("a/", SPECIAL_CHARS_KEY, 10))
                    .extracting(Row::key)
                    .containsExactly("a/c");
        }
    }

    /** Guards against a partially applied transaction when one condition fails. */
    @Test
    void failedConditionWritesNothing() {
        try (StoreEmulator server = StoreEmulator.start(IP);
                BlockingStore store = BlockingStore.connect(server.address())) {
            StoreTable table = StoreTable.on(store);
            assertThatThrownBy(
                            () ->
                                    table.commit(
                                            Transaction.of(
                                                    put("x", 0, "x"), new Operation.Check("y", 3))))
                    .isInstanceOf(ConditionFailedException.class)
                    .hasMessageContaining("y");
            assertThat(table.read("x")).isEmpty();
        }
    }

    /** Guards against reporting a write as not executed when only its response was lost. */
    @Test
    void commitWhoseResponseIsLostIsExecutedAndReportedAsUnknown() {
        try (StoreEmulator server = StoreEmulator.start(IP);
                BlockingStore store = BlockingStore.connect(server.address())) {
            StoreTable table = StoreTable.on(store);
            server.dropNextResponses(1);
            assertThatThrownBy(() -> table.commit(Transaction.of(put("x", 0, "x"))))
                    .isInstanceOf(OutcomeUnknownException.class);
            assertThat(table.read("x")).isPresent();
            long version = table.read("x").orElseThrow().version();
            table.commit(Transaction.of(put("x", version, "y")));
        }
    }

    /** Guards against reporting a refused write as having an unknown outcome. */
    @Test
    void commitRefusedByAnUnavailableTableIsNotExecuted() {
        try (StoreEmulator server = StoreEmulator.start(IP);
                BlockingStore store = BlockingStore.connect(server.address())) {
            StoreTable table = StoreTable.on(store);
            server.setFaultMode(FaultMode.BUSY);
            assertThatThrownBy(() -> table.commit(Transaction.of(put("x", 0, "x"))))
                    .isInstanceOf(TableUnavailableException.class);
            assertThatThrownBy(() -> table.read("x")).isInstanceOf(TableUnavailableException.class);
            server.setFaultMode(FaultMode.SERVING);
            assertThat(table.read("x")).isEmpty();
        }
    }

    /** Guards against reporting an unknown outcome when the connection was refused. */
    @Test
    void commitOnARefusedConnectionIsNotExecuted() throws IOException {
        try (Socket unbound = new Socket()) {
            // A bound socket that does not listen refuses connections, and prevents other processes
            // from using the port.
            unbound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            try (BlockingStore store = BlockingStore.connect(address(unbound.getLocalPort()))) {
                StoreTable table = StoreTable.on(store);
                assertThatThrownBy(() -> table.commit(Transaction.of(put("x", 0, "x"))))
                        .isInstanceOf(TableUnavailableException.class);
            }
        }
    }

    /**
     * Guards against a call without a timeout, and against reporting a sent commit as not executed.
     */
    @Test
    void commitToAnUnresponsiveServerIsReportedAsUnknownWithinTheTimeout() throws IOException {
        try (ServerSocket unresponsiveServer = listen();
                BlockingStore store =
                        BlockingStore.connect(address(unresponsiveServer.getLocalPort()))) {
            StoreTable table = StoreTable.on(store);
            assertThatThrownBy(() -> table.commit(Transaction.of(put("x", 0, "x"))))
                    .isInstanceOf(OutcomeUnknownException.class);
        }
    }

    /** Guards against a late response that reaches the next call on a reused connection. */
    @Test
    void lateResponseNeverReachesTheNextCall() throws Exception {
        try (ServerSocket server = listen();
                HttpClient client = HttpClient.create(url(server.getLocalPort()))) {
            CompletableFuture<Void> serverTask =
                    CompletableFuture.runAsync(
                            () -> {
                                try (Socket first = server.accept();
                                        Socket second = server.accept()) {
                                    readHead(second);
                                    respond(first, "late", 4);
                                    respond(second, "own!", 4);
                                } catch (IOException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            assertThatThrownBy(() -> client.exchange(HttpRequest.of("GET", "/1"), SHORT_TIMEOUT))
                    .isInstanceOf(HttpExchangeException.class);
            assertThat(client.exchange(HttpRequest.of("GET", "/2"), TIMEOUT).body())
                    .asString(UTF_8)
                    .isEqualTo("own!");
            serverTask.get(10, TimeUnit.SECONDS);
        }
    }

    /** Guards against accepting a truncated body as complete. */
    @Test
    void truncatedBodyFailsTheCall() throws Exception {
        try (ServerSocket server = listen();
                HttpClient client = HttpClient.create(url(server.getLocalPort()))) {
            CompletableFuture<Void> serverTask =
                    CompletableFuture.runAsync(
                            () -> {
                                try (Socket connection = server.accept()) {
                                    readHead(connection);
                                    respond(connection, "half", 8);
                                } catch (IOException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            assertThatThrownBy(() -> client.exchange(HttpRequest.of("GET", "/"), TIMEOUT))
                    .isInstanceOfSatisfying(
                            HttpExchangeException.class, e -> assertThat(e.sent()).isTrue());
            serverTask.get(10, TimeUnit.SECONDS);
        }
    }

    @Test
    void objectsOfMaximumSizeAreStoredAndImmutable() {
        byte[] data = new byte[ObjectStore.MAX_OBJECT_BYTES];
        new Random(1).nextBytes(data);
        try (StoreEmulator server = StoreEmulator.start(IP);
                BlockingStore client = BlockingStore.connect(server.address())) {
            StoreObjects store = StoreObjects.on(client);
            store.put(SPECIAL_CHARS_KEY, data);
            store.put(SPECIAL_CHARS_KEY, data);
            assertThat(store.read(SPECIAL_CHARS_KEY))
                    .hasValueSatisfying(v -> assertThat(v).isEqualTo(data));
            assertCode(() -> store.put(SPECIAL_CHARS_KEY, new byte[1]), ResultCode.OBJECT_CONFLICT);
            server.dropNextResponses(1);
            assertCode(() -> store.put("x", new byte[1]), ResultCode.OBJECT_STORE_UNAVAILABLE);
            store.put("x", new byte[1]);
            store.delete("x");
            store.delete("x");
            assertThat(store.read("x")).isEmpty();
        }
    }

    /** Guards against a large body that leaves its connection unusable for the next call. */
    @Test
    void largeBodyLeavesTheConnectionUsable() {
        byte[] data = new byte[ObjectStore.MAX_OBJECT_BYTES];
        for (int round = 0; round < 10; round++) {
            try (StoreEmulator server = StoreEmulator.start(IP);
                    BlockingStore client = BlockingStore.connect(server.address())) {
                StoreObjects store = StoreObjects.on(client);
                for (int call = 0; call < 4; call++) {
                    store.put("x", data);
                }
            }
        }
    }

    @Test
    void instanceListPreservesAllFieldsAndSkipsMalformedRows() {
        ListedInstance entry =
                new ListedInstance(
                        "e1",
                        Role.ENTRY,
                        socketAddress(7),
                        "dc-a",
                        "r1",
                        false,
                        TargetKind.NONE,
                        "");
        ListedInstance agent =
                new ListedInstance(
                        "a1",
                        Role.AGENT,
                        socketAddress(8),
                        "dc-b",
                        "r1",
                        true,
                        TargetKind.ENGINE,
                        "g1");
        try (StoreEmulator server = StoreEmulator.start(IP);
                BlockingStore store = BlockingStore.connect(server.address())) {
            StoreInstances list = StoreInstances.on(store);
            server.put(InstanceRows.TABLE, "e1", InstanceRows.encode(entry));
            server.put(InstanceRows.TABLE, "a1", InstanceRows.encode(agent));
            server.put(InstanceRows.TABLE, "x1", "{\"role\":7}".getBytes(UTF_8));
            assertThat(list.list()).isEqualTo(ImmutableList.of(agent, entry));
            server.remove(InstanceRows.TABLE, "a1");
            assertThat(list.list()).isEqualTo(ImmutableList.of(entry));
            server.setFaultMode(FaultMode.BUSY);
            assertCode(list::list, ResultCode.INSTANCE_LIST_UNAVAILABLE);
        }
    }

    /** Guards against treating the end of a page as the end of the range. */
    @Test
    void rangeOfSeveralPagesIsReadCompletely() {
        try (StoreEmulator server = StoreEmulator.start(IP);
                BlockingStore store = BlockingStore.connect(server.address())) {
            StoreTable table = StoreTable.on(store);
            for (int row = 0; row < 700; row++) {
                server.put(
                        StoreTable.TABLE, String.format(Locale.ROOT, "p/%04d", row), new byte[1]);
            }
            server.put(StoreTable.TABLE, "q", new byte[1]);
            assertThat(table.readPrefix("p/", "", 1000)).hasSize(700);
            assertThat(table.readPrefix("p/", "p/0199", 501)).hasSize(500);
            assertThat(table.readPrefix("p/", "", 7)).hasSize(7);
        }
    }

    /**
     * Guards against reporting an unknown outcome for a transaction that the store refused as too
     * large.
     */
    @Test
    void transactionOverTheLimitsOfTheStoreIsNotExecuted() {
        try (StoreEmulator server = StoreEmulator.start(IP);
                BlockingStore store = BlockingStore.connect(server.address())) {
            StoreTable table = StoreTable.on(store);
            Operation large = new Operation.Put("x", 0, new byte[70_000]);
            assertThatThrownBy(() -> table.commit(Transaction.of(large)))
                    .isInstanceOf(TableUnavailableException.class);
            assertThat(table.read("x")).isEmpty();
        }
    }

    private static void assertCode(Runnable call, ResultCode code) {
        assertThatThrownBy(call::run)
                .isInstanceOfSatisfying(
                        FuchsiaspindleException.class, e -> assertThat(e.code()).isEqualTo(code));
    }

    private static Operation put(String key, long version, String value) {
        return new Operation.Put(key, version, value.getBytes(UTF_8));
    }

    private static HostAndPort address(int port) {
        return HostAndPort.fromParts(IP, port);
    }

    private static InetSocketAddress socketAddress(int port) {
        return new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), port);
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.ofLiteral("127.0.0.1"));
    }

    private static URI url(int port) {
        return URI.create("http://127.0.0.1:" + port);
    }

    private static void readHead(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) in.read());
        }
    }

    private static void respond(Socket socket, String body, int length) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
        try {
            socket.getOutputStream().write((head + body).getBytes(UTF_8));
        } catch (IOException e) {
            // The client may have closed the connection after its call timed out.
        }
    }
}
