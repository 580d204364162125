package org.fuchsiaspindle.gateway.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.limit.LimitFleet;
import org.fuchsiaspindle.core.limit.LimitMessage;
import org.fuchsiaspindle.core.limit.LimitRefusal;
import org.fuchsiaspindle.core.limit.LimitShards;
import org.fuchsiaspindle.core.limit.Permit;
import org.fuchsiaspindle.core.limit.PermitGranter;
import org.fuchsiaspindle.core.limit.PermitHolder;
import org.fuchsiaspindle.core.limit.RateLimit;
import org.fuchsiaspindle.core.limit.SliceLender;
import org.fuchsiaspindle.core.limit.VersionedLimit;
import org.fuchsiaspindle.core.serving.ServingConfig;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.core.workspace.Workspace;
import org.fuchsiaspindle.gateway.peer.PeerDiscovery;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.wire.peer.PeerFrame;

/**
 * Holds the request limits of workspaces together with all other gateways.
 *
 * <p>Confined to its event loop. Sends nothing while no workspace has a limit.
 */
public final class WorkspaceLimits implements PeerMesh.LimitListener {

    /** Interval at which idle state is dropped. */
    private static final Duration PRUNE_INTERVAL = Duration.ofSeconds(1);

    /** Greater ages of this process make no difference, because no slice is valid for so long. */
    private static final Duration MAX_PROCESS_AGE = Duration.ofSeconds(3);

    private final EventLoop loop;
    private final PeerMesh.Self self;
    private final FleetViewHolder viewHolder;
    private final GatewayMetrics metrics;
    private final SuspensionClock clock = new SuspensionClock(Clock.system());
    private final long epoch = ThreadLocalRandom.current().nextLong() | 1;
    private final ConfiguredLimits configuredLimits = new ConfiguredLimits();
    private final KnownGateways knownGateways;
    private final PermitGranter granter;
    private final PermitHolder holder;
    private PeerMesh mesh;
    private PeerDiscovery discovery;
    private Optional<SliceLender> lender = Optional.empty();
    private long limitedVersion = -1;
    private boolean limited;
    private boolean ticking;

    private WorkspaceLimits(
            EventLoop loop,
            PeerMesh.Self self,
            FleetViewHolder viewHolder,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.self = self;
        this.viewHolder = viewHolder;
        this.metrics = metrics;
        this.knownGateways = new KnownGateways(self.ip(), self.capacity());
        this.granter = PermitGranter.create(epoch, configuredLimits);
        this.holder =
                PermitHolder.create(
                        ThreadLocalRandom.current().nextLong(),
                        workspace ->
                                lender.flatMap(
                                        current -> current.granter(LimitShards.shardOf(workspace))),
                        this::send);
    }

    /** The limits in the configuration in force. */
    private final class ConfiguredLimits implements PermitGranter.LimitSource {

        @Override
        public long version() {
            return viewHolder.view().configVersion();
        }

        @Override
        public Optional<RateLimit> limit(String workspace) {
            return viewHolder
                    .view()
                    .config()
                    .flatMap(config -> config.workspaces().workspace(workspace))
                    .flatMap(Workspace::requestLimit);
        }
    }

    /**
     * Creates an instance that exchanges nothing yet.
     *
     * @param loop its event loop, not null
     * @param self this gateway, not null
     * @param viewHolder the configuration, not null
     * @param metrics counts what is refused, not null
     */
    public static WorkspaceLimits create(
            EventLoop loop,
            PeerMesh.Self self,
            FleetViewHolder viewHolder,
            GatewayMetrics metrics) {
        return new WorkspaceLimits(
                checkNotNull(loop, "loop"),
                checkNotNull(self, "self"),
                checkNotNull(viewHolder, "viewHolder"),
                checkNotNull(metrics, "metrics"));
    }

    /** Starts the exchange with other gateways, which are heard or found in the store. */
    public void start(PeerMesh newMesh, PeerDiscovery newDiscovery) {
        mesh = checkNotNull(newMesh, "newMesh");
        discovery = checkNotNull(newDiscovery, "newDiscovery");
        newMesh.setLimitListener(this);
        loop.scheduleAtFixedRate(
                this::tick, 0, SliceLender.TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                this::prune,
                PRUNE_INTERVAL.toMillis(),
                PRUNE_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Returns whether requests of a workspace need permits; an empty name is no workspace. */
    public boolean isLimited(String workspace) {
        return !workspace.isEmpty() && limit(workspace).isPresent();
    }

    /**
     * Obtains a permit for one request; the listener may be called before this returns.
     *
     * @param workspace a workspace with a limit
     * @param timeout how long the request may wait for a permit, not null
     * @param listener receives the decision, not null
     */
    public PermitHolder.Waiting acquire(
            String workspace, Duration timeout, PermitHolder.Listener listener) {
        VersionedLimit limit =
                limit(workspace)
                        .orElseThrow(() -> new IllegalArgumentException("no limit: " + workspace));
        PermitHolder.Waiting waiting =
                holder.acquire(workspace, limit, timeout, counting(listener), clock.nanoTime());
        startTicking();
        return waiting;
    }

    private PermitHolder.Listener counting(PermitHolder.Listener listener) {
        return new PermitHolder.Listener() {
            @Override
            public void onPermitted(Permit permit) {
                metrics.countLimitEvent("permitted");
                listener.onPermitted(permit);
            }

            @Override
            public void onRefused(LimitRefusal refusal) {
                metrics.countLimitEvent(
                        switch (refusal.cause()) {
                            case OVER_LIMIT -> "over_limit";
                            case SHARE_MISSING -> "share_missing";
                            case NO_ANSWER -> "no_answer";
                        });
                listener.onRefused(refusal);
            }
        };
    }

    /** Gives back a permit with which no request was run. */
    public void giveBack(Permit permit) {
        metrics.countLimitEvent("given_back");
        holder.giveBack(permit, clock.nanoTime());
        startTicking();
    }

    /** Returns the limit of a workspace in the configuration in force. */
    public Optional<VersionedLimit> limit(String workspace) {
        long version = viewHolder.view().configVersion();
        return configuredLimits.limit(workspace).map(limit -> new VersionedLimit(version, limit));
    }

    @Override
    public void onLimitFrame(String peerIp, PeerFrame frame) {
        LimitCodec.decode(frame).ifPresent(message -> receive(peerIp, message));
    }

    private void receive(String from, LimitMessage message) {
        long now = clock.nanoTime();
        switch (message) {
            case LimitMessage.Lend lend -> send(from, granter.handle(from, lend, now));
            case LimitMessage.LendAck ack ->
                    lender.ifPresent(current -> current.handle(from, ack, now));
            case LimitMessage.PermitRequest request -> send(from, granter.handle(request, now));
            case LimitMessage.PermitReply reply -> holder.handle(from, reply, now);
            case LimitMessage.PermitReturn permits -> granter.handle(permits, now);
        }
    }

    private void send(String to, LimitMessage message) {
        if (to.equals(self.ip())) {
            loop.execute(() -> receive(to, message));
        } else {
            mesh.send(to, LimitCodec.encode(message));
        }
    }

    private void tick() {
        if (!hasLimits()) {
            return;
        }
        long now = clock.nanoTime();
        LimitFleet fleet =
                knownGateways.update(
                        mesh.peers(),
                        mesh.knownAddresses(),
                        discovery.gateways(),
                        mesh.isStopping(),
                        now);
        SliceLender current =
                lender.orElseGet(
                        () ->
                                SliceLender.create(
                                        self.ip(), epoch, this::send, fleet, processAge(), now));
        lender = Optional.of(current);
        current.update(fleet, now);
        current.tick(now);
        granter.setFleetSize(current.fleetSize(now), current.announcedFleetSize(now), now);
    }

    private void prune() {
        long now = clock.nanoTime();
        granter.prune(now);
        holder.prune(now);
    }

    private boolean hasLimits() {
        long version = viewHolder.view().configVersion();
        if (version != limitedVersion) {
            limitedVersion = version;
            limited =
                    viewHolder.view().config().stream()
                            .map(ServingConfig::workspaces)
                            .flatMap(directory -> directory.workspaces().stream())
                            .anyMatch(workspace -> workspace.requestLimit().isPresent());
        }
        return limited;
    }

    /** Returns the time for which no other process can have used the address of this one. */
    private static Duration processAge() {
        Duration age =
                ProcessHandle.current()
                        .info()
                        .startInstant()
                        .map(start -> Duration.between(start, Clock.system().wallTime()))
                        .orElse(Duration.ZERO);
        if (age.isNegative()) {
            return Duration.ZERO;
        }
        return age.compareTo(MAX_PROCESS_AGE) > 0 ? MAX_PROCESS_AGE : age;
    }

    private void startTicking() {
        if (!ticking && holder.isActive()) {
            ticking = true;
            scheduleHolderTick();
        }
    }

    private void scheduleHolderTick() {
        loop.schedule(
                () -> {
                    holder.tick(clock.nanoTime());
                    ticking = holder.isActive();
                    if (ticking) {
                        scheduleHolderTick();
                    }
                },
                PermitHolder.TICK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }
}
