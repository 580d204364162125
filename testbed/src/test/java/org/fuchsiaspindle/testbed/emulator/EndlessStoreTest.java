package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.HttpStoreClient;
import org.fuchsiaspindle.platform.store.RowKey;
import org.fuchsiaspindle.platform.store.RowTransaction;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoreClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a store whose bytes never end and that takes the memory of a gateway, or whose
 * caller waits or believes that nothing was written.
 */
final class EndlessStoreTest {

    private static final String STORE_IP = "127.0.1.9";

    /** Far more than a client has to read to notice. */
    private static final long MAX_BYTES_READ = 64L << 20;

    /** The longest timeout of a call is 3 s. */
    private static final Duration MAX_TIME = Duration.ofSeconds(5);

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private EndlessServer server;

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    @Test
    void headWithoutEnd_isCutOff() throws Exception {
        assertCallsFail(HEAD, "X-Filler: more\r\n");
    }

    @Test
    void interimResponsesWithoutEnd_areCutOff() throws Exception {
        assertCallsFail("", "HTTP/1.1 102 Processing\r\n\r\n");
    }

    @Test
    void bodyWithoutEnd_isCutOff() throws Exception {
        assertCallsFail(HEAD + "\r\n{\"rows\":[", "{\"table\":\"t\"},");
    }

    @Test
    void bytesThatAreNoAnswer_areCutOff() throws Exception {
        assertCallsFail("", "no answer ");
    }

    private void assertCallsFail(String start, String filler) throws Exception {
        server = EndlessServer.start(STORE_IP, start, filler);
        StoreClient client =
                HttpStoreClient.create(
                        group.next(),
                        HostAndPort.fromParts(STORE_IP, server.port()),
                        StoreClock.create(Clock.system()));
        CompletableFuture<?> read = client.rows("t", "", "", "");
        CompletableFuture<CommitResult> write =
                client.commit(
                        new RowTransaction(
                                List.of(),
                                List.of(
                                        new RowTransaction.Write(
                                                new RowKey("t", "", "k"), new byte[1])),
                                List.of()));
        await("both calls have ended", MAX_TIME, () -> read.isDone() && write.isDone());
        assertThat(read).isCompletedExceptionally();
        assertThat(write.get()).isInstanceOf(CommitResult.Unknown.class);
        await("all answers cut off", MAX_TIME, () -> server.openAnswers() == 0);
        assertThat(server.sentBytes() / server.requests()).isLessThan(MAX_BYTES_READ);
    }
}
