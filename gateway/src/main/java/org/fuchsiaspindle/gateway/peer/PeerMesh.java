package org.fuchsiaspindle.gateway.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.membership.AddressAnnouncement;
import org.fuchsiaspindle.gateway.view.FleetView;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.gateway.watch.StoreHealth;
import org.fuchsiaspindle.wire.peer.LoadUpdate;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.PeerState;
import org.fuchsiaspindle.wire.peer.ViewRequest;
import org.fuchsiaspindle.wire.peer.ViewShare;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects a gateway to all other gateways that it knows.
 *
 * <p>Each gateway opens one connection to every other one. It sends heartbeats, loads and requests
 * on the connections that it opens, and receives those of its peers on the connections that the
 * peers open. Heartbeats carry the known addresses, so a few addresses in the settings are enough
 * to discover all gateways. Confined to its event loop.
 */
public final class PeerMesh {

    private static final Logger LOG = LoggerFactory.getLogger(PeerMesh.class);

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /** A peer that sends no heartbeat for longer is removed as lost. */
    private static final Duration SILENCE_LIMIT = Duration.ofMillis(1700);

    /** An address that could not be reached for longer is removed. */
    private static final Duration ADDRESS_EXPIRY = Duration.ofSeconds(30);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** A store that has not served a call for longer is treated as unreachable. */
    private static final Duration STORE_SILENCE_LIMIT = Duration.ofMillis(1500);

    /** Receives the loads that peers report. */
    public interface LoadListener {

        /** Called when a peer reports the number of calls that it runs. */
        void onLoad(String peerIp, LoadUpdate update);

        /** Called when a peer is lost or was restarted; its reported loads are no longer valid. */
        void onPeerLost(String peerIp);
    }

    /**
     * The identity of this gateway.
     *
     * @param node the name of its instance
     * @param ip the address of its instance
     * @param port the port on which all gateways accept connections of their peers
     * @param incarnation identifies this start of the process, different after each restart
     */
    public record Self(String node, String ip, int port, String incarnation) {}

    private final EventLoop loop;
    private final Self self;
    private final FleetViewHolder viewHolder;
    private final StoreHealth storeHealth;
    private final LoadListener loadListener;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<Channel, String> ipsByChannel = new HashMap<>();
    private final Map<String, PeerHeartbeat> heartbeats = new HashMap<>();
    private Runnable connectionListener = () -> {};
    private boolean stopping;

    private PeerMesh(
            EventLoop loop,
            Self self,
            FleetViewHolder viewHolder,
            StoreHealth storeHealth,
            LoadListener loadListener) {
        this.loop = loop;
        this.self = self;
        this.viewHolder = viewHolder;
        this.storeHealth = storeHealth;
        this.loadListener = loadListener;
    }

    /** The last heartbeat of a peer and when it arrived, in monotonic nanoseconds. */
    private record PeerHeartbeat(PeerInfo info, long receivedNanos) {}

    /** The outgoing connection to one address. */
    private static final class Link {
        private final long createdNanos = System.nanoTime();
        private Channel channel;
        private boolean connecting;
        private long connectedNanos;
        private AddressAnnouncement announcement = new AddressAnnouncement();
    }

    /** Creates a mesh that does not listen yet. */
    public static PeerMesh create(
            EventLoop loop,
            Self self,
            FleetViewHolder viewHolder,
            StoreHealth storeHealth,
            LoadListener loadListener) {
        return new PeerMesh(
                checkNotNull(loop, "loop"),
                checkNotNull(self, "self"),
                checkNotNull(viewHolder, "viewHolder"),
                checkNotNull(storeHealth, "storeHealth"),
                checkNotNull(loadListener, "loadListener"));
    }

    /**
     * Starts to listen, and connects to the given addresses and to all that are discovered later.
     */
    public void start(Collection<String> seedIps) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer());
        bootstrap.bind(new InetSocketAddress(self.ip(), self.port())).syncUninterruptibly();
        loop.execute(() -> addPeers(seedIps));
        loop.scheduleAtFixedRate(
                this::sendHeartbeats,
                HEARTBEAT_INTERVAL.toMillis(),
                HEARTBEAT_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Adds addresses of gateways, and connects to those that are new. */
    public void addPeers(Collection<String> ips) {
        for (String ip : ips) {
            if (!ip.equals(self.ip()) && !links.containsKey(ip)) {
                Link link = new Link();
                links.put(ip, link);
                connect(ip, link);
            }
        }
    }

    /** Announces to all peers that this process is shutting down. */
    public void announceStop() {
        stopping = true;
        broadcast(heartbeatFrame(Set.of()));
    }

    /** Sends a frame to all connected peers; it is discarded for a peer that reads too slowly. */
    public void broadcast(PeerFrame frame) {
        for (Link link : links.values()) {
            if (link.channel != null) {
                PeerChannels.send(link.channel, frame);
            }
        }
    }

    /**
     * Returns whether a process has sent a heartbeat recently, reaches the store, and is not
     * shutting down.
     */
    public boolean isServing(String ip, String incarnation) {
        PeerHeartbeat heartbeat = heartbeats.get(ip);
        return heartbeat != null
                && heartbeat.info().incarnation().equals(incarnation)
                && heartbeat.info().storeReachable()
                && !heartbeat.info().stopping();
    }

    /** Returns the peers that have sent a heartbeat recently. */
    public List<PeerInfo> peers() {
        return heartbeats.values().stream().map(PeerHeartbeat::info).toList();
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                PeerChannels.configure(channel, new FrameListener());
            }
        };
    }

    private void connect(String ip, Link link) {
        link.connecting = true;
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) CONNECT_TIMEOUT.toMillis())
                        .handler(initializer());
        ChannelFuture connectFuture = bootstrap.connect(new InetSocketAddress(ip, self.port()));
        connectFuture.addListener(
                future -> {
                    link.connecting = false;
                    if (future.isSuccess()) {
                        link.channel = connectFuture.channel();
                        link.connectedNanos = System.nanoTime();
                        link.announcement = new AddressAnnouncement();
                        sendHeartbeat(link, knownIps());
                        connectionListener.run();
                    }
                });
    }

    /** Sets the listener that is called after a connection to a peer was opened. */
    public void onConnected(Runnable listener) {
        connectionListener = checkNotNull(listener, "listener");
    }

    private void sendHeartbeats() {
        long now = System.nanoTime();
        removeSilentPeers(now);
        Set<String> known = knownIps();
        for (Map.Entry<String, Link> entry : List.copyOf(links.entrySet())) {
            Link link = entry.getValue();
            boolean isOpen = link.channel != null && link.channel.isActive();
            if (isOpen) {
                sendHeartbeat(link, known);
            } else if (!link.connecting) {
                expireOrReconnect(entry.getKey(), link, now);
            }
        }
        requestNewerView();
    }

    private void expireOrReconnect(String ip, Link link, long now) {
        long lastConnected = Math.max(link.createdNanos, link.connectedNanos);
        if (!heartbeats.containsKey(ip) && now - lastConnected > ADDRESS_EXPIRY.toNanos()) {
            links.remove(ip);
        } else {
            connect(ip, link);
        }
    }

    private void removeSilentPeers(long now) {
        for (Map.Entry<String, PeerHeartbeat> entry : List.copyOf(heartbeats.entrySet())) {
            if (now - entry.getValue().receivedNanos() > SILENCE_LIMIT.toNanos()) {
                removePeer(entry.getKey(), "silent");
                Link link = links.get(entry.getKey());
                if (link != null && link.channel != null) {
                    // A dead connection may never be reported as closed.
                    link.channel.close();
                }
            }
        }
    }

    private void removePeer(String ip, String reason) {
        if (heartbeats.remove(ip) != null) {
            LOG.info("peer: lost ip={} reason={}", ip, reason);
            loadListener.onPeerLost(ip);
        }
    }

    private Set<String> knownIps() {
        Set<String> known = new HashSet<>(heartbeats.keySet());
        links.forEach(
                (ip, link) -> {
                    if (link.channel != null && link.channel.isActive()) {
                        known.add(ip);
                    }
                });
        return known;
    }

    /** Sends a heartbeat, with the known addresses if they have changed or must be repeated. */
    private void sendHeartbeat(Link link, Set<String> known) {
        long now = System.nanoTime();
        Set<String> addresses = link.announcement.addressesToSend(known, now);
        if (PeerChannels.send(link.channel, heartbeatFrame(addresses))) {
            link.announcement.recordSent(addresses, now);
        }
    }

    private PeerFrame heartbeatFrame(Set<String> ips) {
        FleetView view = viewHolder.view();
        PeerState.Builder state =
                PeerState.newBuilder()
                        .setIp(self.ip())
                        .setIncarnation(self.incarnation())
                        .setConfigVersion(view.configVersion())
                        .setDirectoryVersion(view.directory().version())
                        .setStoreReachable(storeHealth.isReachable())
                        .setStopping(stopping);
        if (!ips.isEmpty()) {
            state.setNode(self.node());
            ips.stream().sorted().forEach(state::addKnownIps);
        }
        return PeerFrame.newBuilder().setState(state).build();
    }

    /**
     * Requests a newer configuration from a peer, and also newer targets while this gateway cannot
     * reach the store.
     */
    private void requestNewerView() {
        FleetView view = viewHolder.view();
        boolean storeUnreachable =
                storeHealth.sinceLastSuccess().compareTo(STORE_SILENCE_LIMIT) > 0;
        for (PeerHeartbeat heartbeat : heartbeats.values()) {
            boolean newerConfig = heartbeat.info().configVersion() > view.configVersion();
            boolean newerTargets =
                    storeUnreachable
                            && heartbeat.info().directoryVersion() > view.directory().version();
            Link link = links.get(heartbeat.info().ip());
            if ((newerConfig || newerTargets) && link != null && link.channel != null) {
                ViewRequest request =
                        ViewRequest.newBuilder()
                                .setConfigVersion(view.configVersion())
                                .setDirectoryVersion(
                                        newerTargets ? view.directory().version() : Long.MAX_VALUE)
                                .build();
                PeerChannels.send(
                        link.channel, PeerFrame.newBuilder().setViewRequest(request).build());
                return;
            }
        }
    }

    private void handleHeartbeat(Channel channel, PeerState state) {
        String ip = state.getIp();
        ipsByChannel.put(channel, ip);
        PeerInfo info =
                new PeerInfo(
                        ip,
                        state.getIncarnation(),
                        state.getConfigVersion(),
                        state.getDirectoryVersion(),
                        state.getStoreReachable(),
                        state.getStopping());
        PeerHeartbeat previous = heartbeats.put(ip, new PeerHeartbeat(info, System.nanoTime()));
        boolean restarted =
                previous != null && !previous.info().incarnation().equals(info.incarnation());
        if (previous == null || restarted) {
            LOG.info(
                    "peer: first heartbeat received ip={} node={} incarnation={}",
                    ip,
                    state.getNode(),
                    info.incarnation());
        }
        if (restarted) {
            loadListener.onPeerLost(ip);
        }
        List<String> ips = new ArrayList<>(state.getKnownIpsList());
        ips.add(ip);
        addPeers(ips);
    }

    private void handleViewRequest(Channel channel, ViewRequest request) {
        FleetView view = viewHolder.view();
        ViewShare.Builder share =
                ViewShare.newBuilder().setDirectoryVersion(view.directory().version());
        if (view.configVersion() > request.getConfigVersion()) {
            share.setConfigDocument(ByteString.copyFrom(view.configDocument()));
        }
        if (view.directory().version() > request.getDirectoryVersion()) {
            view.directory()
                    .targets()
                    .values()
                    .forEach(target -> share.addRegistrations(RegistrationCodec.encode(target)));
        }
        PeerChannels.send(channel, PeerFrame.newBuilder().setView(share).build());
    }

    private void applyView(ViewShare share) {
        if (!share.getConfigDocument().isEmpty()) {
            viewHolder.offerConfig(share.getConfigDocument().toByteArray(), "peer");
        }
        if (share.getRegistrationsCount() > 0) {
            viewHolder.offerDirectory(
                    RegistrationCodec.decode(
                            share.getDirectoryVersion(), share.getRegistrationsList()));
        }
    }

    private final class FrameListener implements PeerChannels.Listener {

        @Override
        public void onFrame(Channel channel, PeerFrame frame) {
            switch (frame.getBodyCase()) {
                case STATE -> handleHeartbeat(channel, frame.getState());
                case LOAD -> {
                    String ip = ipsByChannel.get(channel);
                    if (ip != null) {
                        loadListener.onLoad(ip, frame.getLoad());
                    }
                }
                case VIEW_REQUEST -> handleViewRequest(channel, frame.getViewRequest());
                case VIEW -> applyView(frame.getView());
                default -> LOG.warn("peer: frame of an unknown type ignored");
            }
        }

        @Override
        public void onClosed(Channel channel) {
            String ip = ipsByChannel.remove(channel);
            if (ip != null && !ipsByChannel.containsValue(ip)) {
                removePeer(ip, "closed");
            }
        }
    }
}
