package org.fuchsiaspindle.wire.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class EventLoopsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** Time in which the loop is told to stop and runs its task, far longer than either takes. */
    private static final Duration TASK_TIME = Duration.ofMillis(50);

    private final EventLoopGroup group = EventLoops.create(1);

    /** Guards against listeners that stay open after a close in the middle of a round of tasks. */
    @Test
    void channelsAreClosed_whenTheLoopIsBusy() throws Exception {
        Channel listener = listen();
        CountDownLatch isBusy = new CountDownLatch(1);
        group.execute(
                () -> {
                    isBusy.countDown();
                    while (!group.isShuttingDown()) {
                        Thread.onSpinWait();
                    }
                    sleep();
                });
        isBusy.await();
        close();
        assertThat(listener.isOpen()).isFalse();
    }

    /** Guards against closes that wait for a time although nothing is left to do. */
    @Test
    void channelsAreClosedAtOnce_whenTheLoopIsIdle() throws Exception {
        Channel listener = listen();
        long start = System.nanoTime();
        close();
        assertThat(listener.isOpen()).isFalse();
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(TIMEOUT);
    }

    private void close() {
        group.shutdownGracefully(0, TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    private Channel listen() throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {}
                        })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
    }

    private static void sleep() {
        try {
            TimeUnit.NANOSECONDS.sleep(TASK_TIME.toNanos());
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
