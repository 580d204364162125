package org.fuchsiaspindle.gateway.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.membership.AddressAnnouncement;
import org.fuchsiaspindle.core.membership.Backoff;
import org.fuchsiaspindle.core.membership.HeartbeatEcho;
import org.fuchsiaspindle.wire.peer.PeerFrame;

/**
 * The outgoing connection to one address, with the attempts to open it.
 *
 * <p>Confined to its event loop. Times are monotonic nanoseconds.
 */
final class PeerLink {

    /**
     * Time for the first attempt to connect to an address; a packet to an instance that has no
     * power yet is lost, and the operating system repeats it only after a second.
     */
    private static final Duration FIRST_CONNECT_TIMEOUT = Duration.ofMillis(100);

    /** Bound of the time for an attempt, which doubles with each failure. */
    private static final Duration MAX_CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** Bound of the pause after the first failed attempt. */
    private static final Duration FIRST_CONNECT_PAUSE = Duration.ofMillis(50);

    private final String ip;
    private final int port;
    private final EventLoop loop;
    private final ChannelInitializer<Channel> initializer;
    private final Consumer<PeerLink> onConnected;
    private Channel channel;
    private boolean connecting;
    private int attempts;
    private int failures;
    private boolean framesLost;
    private long lastConnectedNanos;
    private long heartbeatSentNanos;
    private Duration announcedInterval = PeerMesh.HEARTBEAT_INTERVAL;
    private AddressAnnouncement announcement = new AddressAnnouncement();
    private final HeartbeatEcho echo = new HeartbeatEcho();

    /**
     * Creates a link that does not connect yet.
     *
     * @param ip the address of the peer, not null
     * @param port its port for peers
     * @param loop its event loop, not null
     * @param initializer configures its connections, not null
     * @param onConnected called when a connection is open, not null
     */
    PeerLink(
            String ip,
            int port,
            EventLoop loop,
            ChannelInitializer<Channel> initializer,
            Consumer<PeerLink> onConnected) {
        this.ip = checkNotNull(ip, "ip");
        this.port = port;
        this.loop = checkNotNull(loop, "loop");
        this.initializer = checkNotNull(initializer, "initializer");
        this.onConnected = checkNotNull(onConnected, "onConnected");
        this.lastConnectedNanos = System.nanoTime();
    }

    String ip() {
        return ip;
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /** Returns whether an attempt to connect is under way or follows soon. */
    boolean isConnecting() {
        return connecting;
    }

    /** Returns when the link was connected last, or created if it never was. */
    long lastConnectedNanos() {
        return lastConnectedNanos;
    }

    /** Connects, in place of an attempt that is under way. */
    void connect() {
        connecting = true;
        attempts++;
        int attempt = attempts;
        Duration timeout = Backoff.bound(failures + 1, FIRST_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                        .handler(initializer);
        ChannelFuture connectFuture = bootstrap.connect(new InetSocketAddress(ip, port));
        connectFuture.addListener(
                future -> {
                    if (attempt != attempts) {
                        // A later attempt has replaced this one.
                        connectFuture.channel().close();
                    } else if (future.isSuccess()) {
                        handleConnected(connectFuture.channel());
                    } else {
                        handleConnectFailure();
                    }
                });
    }

    private void handleConnected(Channel newChannel) {
        connecting = false;
        failures = 0;
        channel = newChannel;
        framesLost = false;
        lastConnectedNanos = System.nanoTime();
        announcement = new AddressAnnouncement();
        echo.reset();
        onConnected.accept(this);
    }

    /** Tries again soon after the first failures, and later with the heartbeats. */
    private void handleConnectFailure() {
        failures++;
        Duration pause = Backoff.bound(failures, FIRST_CONNECT_PAUSE, PeerMesh.HEARTBEAT_INTERVAL);
        if (pause.compareTo(PeerMesh.HEARTBEAT_INTERVAL) >= 0) {
            connecting = false;
            return;
        }
        int attempt = attempts;
        loop.schedule(
                () -> {
                    if (attempt == attempts) {
                        connect();
                    }
                },
                Backoff.jittered(pause, ThreadLocalRandom.current()).toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Sends a frame; returns whether it was handed to a connection. */
    boolean send(PeerFrame frame) {
        if (!isOpen()) {
            return false;
        }
        boolean sent = PeerChannels.send(channel, frame);
        framesLost |= !sent;
        return sent;
    }

    /**
     * Returns whether frames were discarded because the peer read too slowly, and frames are taken
     * again; true only once for the same loss.
     */
    boolean endFrameLoss() {
        boolean ended = framesLost && isOpen() && channel.isWritable();
        framesLost &= !ended;
        return ended;
    }

    /** Closes a connection that is dead, which may never be reported as closed. */
    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Returns the number of a heartbeat that is being sent. */
    long nextHeartbeatNumber(long nowNanos) {
        return echo.send(nowNanos);
    }

    /** Returns whether the peer, which hears up to a number, does not hear this connection. */
    boolean isUnheard(long heardNumber, long nowNanos) {
        return echo.recordHeard(heardNumber, nowNanos);
    }

    /** Returns whether the peer must hear again, or must learn of a shorter interval. */
    boolean isHeartbeatDue(Duration interval, long nowNanos) {
        // Half an interval of the timer covers its jitter.
        Duration margin = PeerMesh.HEARTBEAT_INTERVAL.dividedBy(2);
        return interval.compareTo(announcedInterval) < 0
                || nowNanos - heartbeatSentNanos > announcedInterval.minus(margin).toNanos();
    }

    /** Returns those of the known addresses that the next heartbeat carries. */
    Set<String> addressesToSend(Set<String> known, long nowNanos) {
        return announcement.addressesToSend(known, nowNanos);
    }

    /** Records a heartbeat that was sent, with the addresses and the interval that it announced. */
    void recordHeartbeat(Set<String> addresses, Duration interval, long nowNanos) {
        announcement.recordSent(addresses, nowNanos);
        heartbeatSentNanos = nowNanos;
        announcedInterval = interval;
    }
}
