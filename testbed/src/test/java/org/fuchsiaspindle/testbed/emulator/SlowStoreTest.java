package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.store.HttpStoreClient;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoreClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against giving up the read of a large object that shares the bandwidth of the store with
 * many others, and against waiting for a store that sends nothing more.
 */
final class SlowStoreTest {

    private static final String STORE_IP = "127.0.1.7";
    private static final int PARTS = 6;
    private static final String PART = "x".repeat(1000);

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private BlockingHttpServer server;

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        server.close();
    }

    /** The object takes longer than the silence limit as a whole, but its parts do not. */
    @Test
    void objectThatArrivesSlowly_isReadWhole() throws Exception {
        CompletableFuture<Optional<byte[]>> read = read(Duration.ofMillis(300), PARTS);
        await("object read", Duration.ofSeconds(10), read::isDone);
        assertThat(read.get().orElseThrow()).hasSize(PARTS * PART.length());
    }

    @Test
    void objectThatStopsArriving_isGivenUp() throws Exception {
        CompletableFuture<Optional<byte[]>> read = read(Duration.ofMillis(300), PARTS - 1);
        await("read given up", Duration.ofSeconds(5), read::isDone);
        assertThat(read).isCompletedExceptionally();
    }

    private CompletableFuture<Optional<byte[]>> read(Duration pause, int sentParts) {
        server =
                BlockingHttpServer.start(
                        STORE_IP, 0, (request, connection) -> send(connection, pause, sentParts));
        StoreClient client =
                HttpStoreClient.create(
                        group.next(),
                        HostAndPort.fromParts(STORE_IP, server.port()),
                        StoreClock.create(Clock.system()));
        return client.object("large", Duration.ofMillis(1000));
    }

    private static boolean send(
            BlockingHttpServer.Connection connection, Duration pause, int sentParts)
            throws IOException {
        connection.write(
                "HTTP/1.1 200 OK\r\nContent-Length: " + PARTS * PART.length() + "\r\n\r\n");
        for (int part = 0; part < sentParts; part++) {
            LockSupport.parkNanos(pause.toNanos());
            connection.write(PART);
        }
        while (!connection.isClosedByPeer()) {
            LockSupport.parkNanos(pause.toNanos());
        }
        return false;
    }
}
