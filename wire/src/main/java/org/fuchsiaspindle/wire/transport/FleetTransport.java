package org.fuchsiaspindle.wire.transport;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.wire.proto.Frame;

/**
 * Listens for and opens connections between the processes of one fleet.
 *
 * <p>Thread-safe. Closing it closes all its connections.
 */
public final class FleetTransport implements AutoCloseable {

    /** Largest message, in bytes. */
    public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    /** A side sends a heartbeat if it has sent no message for this long. */
    public static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

    /** A connection is closed if no message arrives on it for this long. */
    public static final Duration IDLE_TIMEOUT = Duration.ofMillis(3500);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(256 * 1024, 1024 * 1024);

    private final FleetIdentity identity;
    private final EventLoopGroup group;

    private FleetTransport(FleetIdentity identity, int ioThreads) {
        this.identity = identity;
        this.group = EventLoops.create(ioThreads);
    }

    /**
     * Creates a transport with I/O threads of its own.
     *
     * @param identity the identity of this process, not null
     * @param ioThreads the number of I/O threads, positive
     */
    public static FleetTransport create(FleetIdentity identity, int ioThreads) {
        checkArgument(ioThreads > 0, "number of I/O threads not positive: %s", ioThreads);
        return new FleetTransport(checkNotNull(identity, "identity"), ioThreads);
    }

    /**
     * Listens for connections of other processes.
     *
     * @param address the address to bind; port 0 chooses a free one
     * @param listener receives the events, not null
     * @return the bound address
     * @throws FuchsiaspindleException with {@code ADDRESS_IN_USE} if it cannot be bound
     */
    public InetSocketAddress listen(InetSocketAddress address, FleetListener listener) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                        .childHandler(
                                initializer(
                                        listener,
                                        HandshakeProof.Side.ACCEPTER,
                                        new CompletableFuture<>()));
        try {
            Channel channel = bootstrap.bind(address).syncUninterruptibly().channel();
            return (InetSocketAddress) channel.localAddress();
        } catch (RuntimeException e) {
            throw new FuchsiaspindleException(
                    ResultCode.ADDRESS_IN_USE, "cannot bind fleet address " + address, e);
        }
    }

    /**
     * Opens a connection to another process.
     *
     * @param address the address of that process
     * @param listener receives the events, not null
     * @return the connection after a successful handshake; completes exceptionally with {@link
     *     FuchsiaspindleException} if connecting or the handshake fails
     */
    public CompletableFuture<FleetConnection> connect(
            InetSocketAddress address, FleetListener listener) {
        CompletableFuture<FleetConnection> opened = new CompletableFuture<>();
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(CONNECT_TIMEOUT.toMillis()))
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(initializer(listener, HandshakeProof.Side.DIALLER, opened))
                .connect(address)
                .addListener(
                        result -> {
                            if (!result.isSuccess()) {
                                opened.completeExceptionally(
                                        new FuchsiaspindleException(
                                                ResultCode.CONNECTION_CLOSED,
                                                "cannot connect to " + address,
                                                result.cause()));
                            }
                        });
        return opened;
    }

    private ChannelInitializer<Channel> initializer(
            FleetListener listener,
            HandshakeProof.Side side,
            CompletableFuture<FleetConnection> opened) {
        checkNotNull(listener, "listener");
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new IdleStateHandler(
                                        IDLE_TIMEOUT.toMillis(),
                                        HEARTBEAT_INTERVAL.toMillis(),
                                        0,
                                        TimeUnit.MILLISECONDS));
                MessageFraming.addTo(channel.pipeline(), Frame.parser());
                channel.pipeline().addLast(new FleetHandler(identity, listener, side, opened));
            }
        };
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
