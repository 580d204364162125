package org.fuchsiaspindle.wire.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.SingleThreadEventExecutor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ThreadFactory;

/** Creates event loops that never leave a channel open when they end. */
public final class EventLoops {

    private EventLoops() {}

    /**
     * Creates event loops, which are to be ended with {@code shutdownGracefully}.
     *
     * @param threads the number of event loops, positive
     */
    public static EventLoopGroup create(int threads) {
        return create(threads, new DefaultThreadFactory(EventLoopGroup.class));
    }

    /**
     * Creates event loops, which are to be ended with {@code shutdownGracefully}.
     *
     * @param threads the number of event loops, positive
     * @param threadFactory creates their threads, not null
     */
    public static EventLoopGroup create(int threads, ThreadFactory threadFactory) {
        checkNotNull(threadFactory, "threadFactory");
        IoHandlerFactory factory = NioIoHandler.newFactory();
        Queue<IoHandler> handlers = new ArrayDeque<>();
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        threads,
                        threadFactory,
                        executor -> {
                            IoHandler handler = factory.newHandler(executor);
                            handlers.add(handler);
                            return handler;
                        });
        for (EventExecutor loop : group) {
            // Without a quiet period, Netty (4.2) ends a loop that is busy when it is told to stop
            // after that round of tasks, before the round in which it closes its channels.
            ((SingleThreadEventExecutor) loop).addShutdownHook(handlers.remove()::prepareToDestroy);
        }
        return group;
    }
}
