package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.store.HttpStoreClient;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoreClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against responses of the store that stay in memory after their calls have ended. */
final class StoreMemoryTest {

    private static final String STORE_IP = "127.0.1.8";
    private static final int OBJECT_BYTES = 4 << 20;
    private static final int READS = 20;

    private final StoreEmulator store = StoreEmulator.start(STORE_IP);
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        store.close();
    }

    /** The time limit of a call is 3 s; all reads together take less. */
    @Test
    void objectsThatWereRead_areNotKeptUntilTheTimeLimit() throws Exception {
        StoreClient client =
                HttpStoreClient.create(
                        group.next(),
                        HostAndPort.fromParts(STORE_IP, store.port()),
                        StoreClock.create(Clock.system()));
        client.putObject("large", new byte[OBJECT_BYTES]).get();
        List<WeakReference<byte[]>> contents = new ArrayList<>();
        long start = System.nanoTime();
        for (int read = 0; read < READS; read++) {
            contents.add(new WeakReference<>(client.object("large").get().orElseThrow()));
        }
        System.gc();
        long kept = contents.stream().filter(content -> content.get() != null).count();
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(2500);
        assertThat(kept).isLessThanOrEqualTo(2);
    }
}
