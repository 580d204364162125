package org.fuchsiaspindle.gateway.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetView;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.gateway.watch.StoreHealth;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.PeerState;
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

    /** Time between two heartbeats to a peer that must detect soon that this process is lost. */
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /**
     * Bounds the heartbeats to all other peers: their interval grows with the number of peers, so
     * that the control traffic of a process does not.
     */
    private static final int MAX_HEARTBEATS_PER_SECOND = 20;

    /** An address that could not be reached for longer is removed. */
    private static final Duration ADDRESS_EXPIRY = Duration.ofSeconds(30);

    private static final double MILLICORES_PER_CORE = 1000;

    /** Receives what peers send about slots, and the changes of the membership. */
    public interface PeerListener {

        /** Called with each frame that is neither a heartbeat nor part of a view. */
        void onFrame(String peerIp, PeerFrame frame);

        /** Called when a peer is lost or was restarted; what it reported is no longer valid. */
        void onPeerLost(String peerIp);

        /** Called after a connection to a peer was opened. */
        void onConnected(String peerIp);

        /**
         * Called when frames to a peer were discarded, because it read too slowly, and its
         * connection takes frames again.
         */
        void onFramesLost(String peerIp);

        /**
         * Called when a peer that was not lost sends on a new connection; frames that it sent on
         * the earlier one may be lost.
         */
        void onConnectionReplaced(String peerIp);

        /** Called when a peer was added or removed, or announced that it is shutting down. */
        void onMembersChanged();
    }

    /** Receives what peers send about prompts that crash targets. */
    public interface PromptListener {

        /** Called with each frame about prompts. */
        void onPromptFrame(PeerFrame frame);

        /**
         * Called after a connection to a peer was opened, or takes frames again after some were
         * discarded.
         */
        void onConnected(String peerIp);
    }

    /** Receives what peers send about limits of workspaces. */
    public interface LimitListener {

        /** Called with each frame about limits. */
        void onLimitFrame(String peerIp, PeerFrame frame);
    }

    /**
     * The identity of this gateway.
     *
     * @param node the name of its instance
     * @param ip the address of its instance
     * @param port the port on which all gateways accept connections of their peers
     * @param incarnation identifies this start of the process, different after each restart
     * @param dataCentre the data centre of its instance
     * @param capacity the processor capacity of its instance, in cores
     */
    public record Self(
            String node,
            String ip,
            int port,
            String incarnation,
            String dataCentre,
            double capacity) {}

    private final EventLoop loop;
    private final Self self;
    private final FleetViewHolder viewHolder;
    private final StoreHealth storeHealth;
    private final ViewExchange viewExchange;
    private final PeerListener peerListener;
    private final GatewayMetrics metrics;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final HeardPeers heardPeers = new HeardPeers();
    private Supplier<Set<String>> closePeers = Set::of;
    private PromptListener promptListener;
    private LimitListener limitListener;
    private AnnouncedState announcedState;
    private boolean stopping;

    private PeerMesh(
            EventLoop loop,
            Self self,
            FleetViewHolder viewHolder,
            StoreHealth storeHealth,
            PeerListener peerListener,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.self = self;
        this.viewHolder = viewHolder;
        this.storeHealth = storeHealth;
        this.viewExchange = new ViewExchange(viewHolder, storeHealth);
        this.peerListener = peerListener;
        this.metrics = metrics;
    }

    /** The part of this process's state that peers are told as soon as it changes. */
    private record AnnouncedState(long configVersion, boolean storeReachable, boolean stopping) {}

    /** Creates a mesh that does not listen yet. */
    public static PeerMesh create(
            EventLoop loop,
            Self self,
            FleetViewHolder viewHolder,
            StoreHealth storeHealth,
            PeerListener peerListener,
            GatewayMetrics metrics) {
        return new PeerMesh(
                checkNotNull(loop, "loop"),
                checkNotNull(self, "self"),
                checkNotNull(viewHolder, "viewHolder"),
                checkNotNull(storeHealth, "storeHealth"),
                checkNotNull(peerListener, "peerListener"),
                checkNotNull(metrics, "metrics"));
    }

    /**
     * Sets the source of the peers that must detect soon that this process is lost; they receive
     * heartbeats at short intervals.
     */
    public void setClosePeers(Supplier<Set<String>> newClosePeers) {
        closePeers = checkNotNull(newClosePeers, "newClosePeers");
    }

    /** Sets the receiver of what peers send about prompts; must be called before the start. */
    public void setPromptListener(PromptListener newListener) {
        promptListener = checkNotNull(newListener, "newListener");
    }

    /** Sets the receiver of what peers send about limits; must be called before the start. */
    public void setLimitListener(LimitListener newListener) {
        limitListener = checkNotNull(newListener, "newListener");
    }

    /** Returns the addresses of all peers to which connections are open or are tried. */
    public Set<String> knownAddresses() {
        return links.keySet();
    }

    /** Sends a frame to all peers to which a connection is open. */
    public void broadcast(PeerFrame frame) {
        connectedIps().forEach(ip -> send(ip, frame));
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
                PeerLink link =
                        new PeerLink(ip, self.port(), loop, initializer(), this::handleConnected);
                links.put(ip, link);
                link.connect();
            }
        }
    }

    /** Announces to all peers that this process is shutting down. */
    public void announceStop() {
        stopping = true;
        sendHeartbeats();
    }

    /**
     * Sends a frame to a peer.
     *
     * @return whether it was handed to a connection; it may still be lost
     */
    public boolean send(String ip, PeerFrame frame) {
        PeerLink link = links.get(ip);
        boolean sent = link != null && link.send(frame);
        if (sent) {
            metrics.countControlMessage(frame.getBodyCase().name(), frame.getSerializedSize());
        }
        return sent;
    }

    /** Returns whether a connection to a peer is open. */
    public boolean isConnected(String ip) {
        PeerLink link = links.get(ip);
        return link != null && link.isOpen();
    }

    /** Returns whether this process has announced that it is shutting down. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns the addresses of all peers to which a connection is open. */
    public List<String> connectedIps() {
        List<String> ips = new ArrayList<>();
        links.forEach(
                (ip, link) -> {
                    if (link.isOpen()) {
                        ips.add(ip);
                    }
                });
        return ips;
    }

    /**
     * Returns whether a process has sent a heartbeat recently, reaches the store, and is not
     * shutting down.
     */
    public boolean isServing(String ip, String incarnation) {
        return heardPeers
                .heartbeat(ip)
                .map(HeardPeers.Heartbeat::info)
                .filter(info -> info.incarnation().equals(incarnation))
                .filter(info -> info.storeReachable() && !info.stopping())
                .isPresent();
    }

    /** Returns the peers that have sent a heartbeat recently. */
    public List<PeerInfo> peers() {
        return heardPeers.infos();
    }

    private List<PeerInfo> connectedPeers() {
        return peers().stream().filter(peer -> isConnected(peer.ip())).toList();
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                PeerChannels.configure(channel, new FrameListener());
            }
        };
    }

    private void handleConnected(PeerLink link) {
        sendHeartbeat(link, knownIps(), HEARTBEAT_INTERVAL);
        peerListener.onConnected(link.ip());
        promptListener.onConnected(link.ip());
    }

    /** Connects to a peer that has just been heard, in place of an attempt that may hang. */
    private void connectToHeard(String ip) {
        PeerLink link = links.get(ip);
        if (link != null && !link.isOpen()) {
            link.connect();
        }
    }

    private void sendHeartbeats() {
        long now = System.nanoTime();
        removeSilentPeers(now);
        Set<String> known = knownIps();
        Set<String> close = closePeers.get();
        AnnouncedState state = state();
        boolean stateChanged = !state.equals(announcedState);
        announcedState = state;
        Duration distantInterval = distantInterval();
        for (PeerLink link : List.copyOf(links.values())) {
            if (link.isOpen()) {
                if (link.endFrameLoss()) {
                    handleFramesLost(link.ip());
                }
                boolean isClose = close.contains(link.ip());
                Duration interval = isClose ? HEARTBEAT_INTERVAL : distantInterval;
                if (stateChanged || link.isHeartbeatDue(interval, now)) {
                    sendHeartbeat(link, known, interval);
                }
            } else if (!link.isConnecting()) {
                expireOrReconnect(link, now);
            }
        }
        viewExchange
                .request(connectedPeers())
                .ifPresent(request -> send(request.peerIp(), request.frame()));
    }

    private void handleFramesLost(String ip) {
        LOG.info("peer: frames were discarded ip={}", ip);
        metrics.countPeerEvent("frames_discarded");
        peerListener.onFramesLost(ip);
        promptListener.onConnected(ip);
    }

    private AnnouncedState state() {
        return new AnnouncedState(
                viewHolder.view().configVersion(), storeHealth.isReachable(), stopping);
    }

    private Duration distantInterval() {
        Duration bounded =
                Duration.ofSeconds(1)
                        .multipliedBy(links.size())
                        .dividedBy(MAX_HEARTBEATS_PER_SECOND);
        return bounded.compareTo(HEARTBEAT_INTERVAL) > 0 ? bounded : HEARTBEAT_INTERVAL;
    }

    private void expireOrReconnect(PeerLink link, long now) {
        boolean isOld = now - link.lastConnectedNanos() > ADDRESS_EXPIRY.toNanos();
        if (!heardPeers.isHeard(link.ip()) && isOld) {
            links.remove(link.ip());
            heardPeers.closeConnections(link.ip());
        } else {
            link.connect();
        }
    }

    private void removeSilentPeers(long now) {
        for (String ip : heardPeers.silentIps(now)) {
            removePeer(ip, "silent");
            PeerLink link = links.get(ip);
            if (link != null) {
                link.close();
            }
        }
    }

    private void removePeer(String ip, String reason) {
        if (heardPeers.remove(ip)) {
            LOG.info("peer: lost ip={} reason={}", ip, reason);
            peerListener.onPeerLost(ip);
            peerListener.onMembersChanged();
        }
    }

    private Set<String> knownIps() {
        Set<String> known = new HashSet<>(heardPeers.ips());
        links.forEach(
                (ip, link) -> {
                    if (link.isOpen()) {
                        known.add(ip);
                    }
                });
        return known;
    }

    /** Sends a heartbeat, with the known addresses if they have changed or must be repeated. */
    private void sendHeartbeat(PeerLink link, Set<String> known, Duration interval) {
        long now = System.nanoTime();
        Set<String> addresses = link.addressesToSend(known, now);
        if (send(link.ip(), heartbeatFrame(link, addresses, interval, now))) {
            link.recordHeartbeat(addresses, interval, now);
        }
    }

    private PeerFrame heartbeatFrame(PeerLink link, Set<String> ips, Duration interval, long now) {
        FleetView view = viewHolder.view();
        PeerState.Builder state =
                PeerState.newBuilder()
                        .setIp(self.ip())
                        .setIncarnation(self.incarnation())
                        .setConfigVersion(view.configVersion())
                        .setDirectoryVersion(view.directory().version())
                        .setStoreReachable(storeHealth.isReachable())
                        .setStopping(stopping)
                        .setDataCentre(self.dataCentre())
                        .setCapacityMillicores((int) (self.capacity() * MILLICORES_PER_CORE))
                        .setIntervalMillis((int) interval.toMillis())
                        .setHeartbeatNumber(link.nextHeartbeatNumber(now))
                        .setHeardNumber(
                                heardPeers
                                        .heartbeat(link.ip())
                                        .map(HeardPeers.Heartbeat::number)
                                        .orElse(0L));
        if (!ips.isEmpty()) {
            state.setNode(self.node());
            ips.stream().sorted().forEach(state::addKnownIps);
        }
        return PeerFrame.newBuilder().setState(state).build();
    }

    private void handleHeartbeat(Channel channel, PeerState state) {
        long now = System.nanoTime();
        String ip = state.getIp();
        PeerInfo info =
                new PeerInfo(
                        ip,
                        state.getIncarnation(),
                        state.getConfigVersion(),
                        state.getDirectoryVersion(),
                        state.getStoreReachable(),
                        state.getStopping(),
                        state.getDataCentre(),
                        state.getCapacityMillicores() / MILLICORES_PER_CORE);
        Duration interval =
                state.getIntervalMillis() == 0
                        ? HEARTBEAT_INTERVAL
                        : Duration.ofMillis(state.getIntervalMillis());
        boolean replaced = heardPeers.isReplaced(channel, ip);
        Optional<PeerInfo> previous =
                heardPeers
                        .record(
                                channel,
                                new HeardPeers.Heartbeat(
                                        info, interval, state.getHeartbeatNumber(), now))
                        .map(HeardPeers.Heartbeat::info);
        boolean restarted =
                previous.filter(last -> !last.incarnation().equals(info.incarnation())).isPresent();
        if (previous.isEmpty() || restarted) {
            LOG.info(
                    "peer: first heartbeat received ip={} node={} incarnation={}",
                    ip,
                    state.getNode(),
                    info.incarnation());
        }
        if (restarted) {
            peerListener.onPeerLost(ip);
        } else if (replaced) {
            peerListener.onConnectionReplaced(ip);
        }
        if (previous.isEmpty() || restarted) {
            connectToHeard(ip);
        }
        if (state.getHeartbeatNumber() > 0) {
            checkLink(ip, state.getHeardNumber(), now);
        }
        if (previous.isEmpty() || restarted || previous.get().stopping() != info.stopping()) {
            peerListener.onMembersChanged();
        }
        List<String> ips = new ArrayList<>(state.getKnownIpsList());
        ips.add(ip);
        addPeers(ips);
    }

    /** Replaces a connection to a peer if the peer says that nothing arrives on it. */
    private void checkLink(String ip, long heardNumber, long now) {
        PeerLink link = links.get(ip);
        if (link != null && link.isOpen() && link.isUnheard(heardNumber, now)) {
            LOG.info("peer: connection passes nothing on, replaced ip={}", ip);
            metrics.countPeerEvent("dead_connection");
            link.close();
            link.connect();
        }
    }

    private final class FrameListener implements PeerChannels.Listener {

        @Override
        public void onFrame(Channel channel, PeerFrame frame) {
            switch (frame.getBodyCase()) {
                case STATE -> handleHeartbeat(channel, frame.getState());
                case VIEW_REQUEST ->
                        PeerChannels.send(channel, viewExchange.answer(frame.getViewRequest()));
                case VIEW -> viewExchange.apply(frame.getView());
                case PROMPT_CRASH, HARMLESS_PROMPT_PARTS, PROMPT_QUARANTINES ->
                        promptListener.onPromptFrame(frame);
                case SLICE_LEND, SLICE_LEND_ACK, PERMIT_REQUEST, PERMIT_REPLY, PERMIT_RETURN -> {
                    heardPeers.ip(channel).ifPresent(ip -> limitListener.onLimitFrame(ip, frame));
                }
                // A newer version may send frames that this one does not know.
                case BODY_NOT_SET -> LOG.debug("peer: frame of an unknown type ignored");
                default -> heardPeers.ip(channel).ifPresent(ip -> peerListener.onFrame(ip, frame));
            }
        }

        @Override
        public void onClosed(Channel channel) {
            heardPeers.removeChannel(channel).ifPresent(ip -> removePeer(ip, "closed"));
        }
    }
}
