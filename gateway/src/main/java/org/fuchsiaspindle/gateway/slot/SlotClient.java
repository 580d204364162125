package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.serving.TargetModel;
import org.fuchsiaspindle.core.slot.HeldSlot;
import org.fuchsiaspindle.core.slot.LeaseOutcome;
import org.fuchsiaspindle.core.slot.PoolExchange;
import org.fuchsiaspindle.core.slot.PoolId;
import org.fuchsiaspindle.core.slot.PoolPlan;
import org.fuchsiaspindle.core.slot.ReceivedGrants;
import org.fuchsiaspindle.core.slot.RunReport;
import org.fuchsiaspindle.core.slot.SlotRequest;
import org.fuchsiaspindle.core.slot.TrafficClass;
import org.fuchsiaspindle.core.work.RequestSize;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.TargetDirectory;
import org.fuchsiaspindle.wire.peer.BatchGrant;
import org.fuchsiaspindle.wire.peer.HoldingsQuery;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.SlotReply;
import org.fuchsiaspindle.wire.peer.SlotRevocation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Obtains slots of targets from the coordinators of their pools, and returns them.
 *
 * <p>Each gateway has one coordinator per pool at a time. When it changes, the old one is told that
 * this gateway holds nothing any more, and the new one what it holds. Confined to the event loop of
 * the request path.
 */
public final class SlotClient implements PeerMesh.PeerListener {

    private static final Logger LOG = LoggerFactory.getLogger(SlotClient.class);

    /** Time for which a granted target that this gateway does not know is avoided. */
    private static final Duration UNUSABLE_TIME = Duration.ofSeconds(1);

    /** Targets as this gateway sees them. */
    public interface Targets {

        /** Returns a target that is registered and accepts new requests, empty otherwise. */
        Optional<TargetInstance> usableTarget(String id);

        /** Returns whether this gateway cannot use a target at the moment. */
        boolean isAvoided(String id);

        /**
         * Returns how many requests a second a target accepts from all gateways together, as it
         * announced to this one; empty if it announced no limit.
         */
        OptionalDouble requestLimit(String id);
    }

    private final EventLoop loop;
    private final PeerMesh.Self self;
    private final GatewayMetrics metrics;
    private final Function<String, Optional<TargetModel>> models;
    private final Map<PoolId, PoolHoldings> pools = new HashMap<>();
    private final Map<String, Long> unusableUntilNanos = new HashMap<>();
    private final Map<String, Long> lastRequestNanosByService = new HashMap<>();
    private final long createdNanos = System.nanoTime();
    private PoolPlan plan;
    private PeerMesh mesh;
    private Coordinators coordinators;
    private CoordinatorChecks checks;
    private SlotCoordinator coordinator;
    private BatchDemands batchDemands;
    private Targets targets;
    private long nextTicket = ThreadLocalRandom.current().nextLong();
    private long nextExchange = ThreadLocalRandom.current().nextLong();

    private SlotClient(
            EventLoop loop,
            PeerMesh.Self self,
            GatewayMetrics metrics,
            Function<String, Optional<TargetModel>> models) {
        this.loop = loop;
        this.self = self;
        this.metrics = metrics;
        this.models = models;
        this.plan = PoolPlan.of(self.ip(), self.dataCentre(), List.of());
    }

    /**
     * Creates a client of a gateway that knows no targets.
     *
     * @param loop its event loop, not null
     * @param self this gateway, not null
     * @param metrics counts the slots, not null
     * @param models returns the model of the targets of a service in the configuration in force,
     *     not null
     */
    public static SlotClient create(
            EventLoop loop,
            PeerMesh.Self self,
            GatewayMetrics metrics,
            Function<String, Optional<TargetModel>> models) {
        return new SlotClient(
                checkNotNull(loop, "loop"),
                checkNotNull(self, "self"),
                checkNotNull(metrics, "metrics"),
                checkNotNull(models, "models"));
    }

    /** Starts the exchange with the coordinators and the coordinator of this gateway. */
    public void start(PeerMesh newMesh, Targets newTargets) {
        mesh = checkNotNull(newMesh, "newMesh");
        targets = checkNotNull(newTargets, "newTargets");
        coordinators = new Coordinators(self, newMesh);
        checks = new CoordinatorChecks(this, coordinators, newMesh);
        coordinator =
                SlotCoordinator.create(
                        loop,
                        self.ip(),
                        self.dataCentre(),
                        newMesh,
                        this::onFrame,
                        models,
                        metrics);
        batchDemands = new BatchDemands(this, loop);
        newMesh.setClosePeers(this::coordinatorsInUse);
        checks.start();
    }

    /** Replaces the known targets. */
    public void apply(TargetDirectory directory) {
        plan = PoolPlan.of(self.ip(), self.dataCentre(), directory.targets().values());
        coordinator.apply(plan);
        pools.keySet().removeIf(pool -> isUnused(pool));
        batchDemands.changed();
    }

    private boolean isUnused(PoolId pool) {
        return plan.targets(pool).isEmpty() && !pools.get(pool).isInUse();
    }

    /** Starts to obtain a slot for an online request. */
    public SlotAcquisition acquire(
            SlotAcquisition.Need need, SlotAcquisition.Listener acquisitionListener) {
        lastRequestNanosByService.put(need.service(), System.nanoTime());
        SlotAcquisition acquisition = new SlotAcquisition(this, need, acquisitionListener);
        // Deferred, so that the listener is not called before this method returns.
        loop.execute(acquisition::start);
        return acquisition;
    }

    /** Returns whether a target of a service has the memory for a request if it runs alone. */
    public boolean fitsTarget(String service, RequestSize size) {
        return models.apply(service)
                .map(model -> model.hasMemoryFor(size.maxTokens()))
                .orElse(true);
    }

    /** Returns the time since this gateway last had an online request for a service. */
    public Duration timeSinceOnlineRequest(String service) {
        long last = lastRequestNanosByService.getOrDefault(service, createdNanos);
        return Duration.ofNanos(System.nanoTime() - last);
    }

    /** Returns the demand of this gateway for slots of batch items. */
    public BatchDemands batchDemands() {
        return batchDemands;
    }

    /** Reports to the coordinator that a target sends no data although requests run there. */
    public void reportSilence(TargetInstance target) {
        poolOf(target)
                .ifPresent(
                        pool ->
                                send(
                                        holdings(pool).coordinator(),
                                        SlotCodec.silence(pool, target.id())));
    }

    /** Reports to the coordinator that a target that was silent sends data again. */
    public void reportData(TargetInstance target) {
        poolOf(target)
                .ifPresent(
                        pool ->
                                send(
                                        holdings(pool).coordinator(),
                                        SlotCodec.data(pool, target.id())));
        batchDemands.changed();
    }

    /**
     * Reports to the coordinator how many requests a second a target accepts, empty if it announces
     * no limit.
     */
    public void reportRequestLimit(TargetInstance target, OptionalDouble requestsPerSecond) {
        poolOf(target)
                .ifPresent(
                        pool ->
                                send(
                                        holdings(pool).coordinator(),
                                        SlotCodec.requestLimit(
                                                pool, target.id(), requestsPerSecond)));
    }

    /** Returns the pool of a target among those that this gateway uses. */
    private Optional<PoolId> poolOf(TargetInstance target) {
        return plan.preferred(target.service()).stream()
                .filter(
                        pool ->
                                plan.targets(pool).stream()
                                        .anyMatch(other -> other.id().equals(target.id())))
                .findFirst();
    }

    /** Returns the limits that the targets of a pool announced to this gateway, by target. */
    private Map<String, Double> requestLimits(PoolId pool) {
        Map<String, Double> limits = new HashMap<>();
        for (TargetInstance target : plan.targets(pool)) {
            targets.requestLimit(target.id()).ifPresent(limit -> limits.put(target.id(), limit));
        }
        return limits;
    }

    @Override
    public void onFrame(String peerIp, PeerFrame frame) {
        checks.recordAnswer(peerIp);
        switch (frame.getBodyCase()) {
            case SLOT_REPLY -> onReply(peerIp, frame.getSlotReply());
            case BATCH_GRANT -> onBatchGrant(peerIp, frame.getBatchGrant());
            case SLOT_REVOCATION -> onRevocation(peerIp, frame.getSlotRevocation());
            case HOLDINGS_QUERY -> onHoldingsQuery(peerIp, frame.getHoldingsQuery());
            case COORDINATOR_CHECK -> checks.onCheck(peerIp, frame.getCoordinatorCheck());
            default -> coordinator.onFrame(peerIp, frame);
        }
    }

    @Override
    public void onPeerLost(String peerIp) {
        coordinators.recordLost(peerIp);
        coordinator.onPeerLost(peerIp);
        refreshCoordinators();
    }

    @Override
    public void onConnected(String peerIp) {
        beginExchangesWith(peerIp);
        coordinator.onFramesLost(peerIp);
        refreshCoordinators();
    }

    @Override
    public void onConnectionReplaced(String peerIp) {
        beginExchangesWith(peerIp);
        coordinator.onFramesLost(peerIp);
    }

    @Override
    public void onFramesLost(String peerIp) {
        beginExchangesWith(peerIp);
        List.copyOf(pools.entrySet()).stream()
                .filter(entry -> !entry.getValue().coordinator().equals(peerIp))
                // The peer may not know that it was replaced.
                .forEach(
                        entry ->
                                sendNothingHeld(
                                        entry.getKey(),
                                        peerIp,
                                        entry.getValue().grantsInAllExchanges()));
        coordinator.onFramesLost(peerIp);
    }

    /** Tells a peer anew what this gateway holds and wants of the pools that it coordinates. */
    private void beginExchangesWith(String peerIp) {
        // A copy, because requests that start again may look at further pools.
        List.copyOf(pools.entrySet()).stream()
                .filter(entry -> entry.getValue().coordinator().equals(peerIp))
                .forEach(entry -> beginExchange(entry.getKey(), entry.getValue(), peerIp));
    }

    @Override
    public void onMembersChanged() {
        coordinators.membersChanged();
        refreshCoordinators();
    }

    private void onReply(String ip, SlotReply reply) {
        PoolId pool = SlotCodec.decode(reply.getPool());
        PoolHoldings holdings = pools.get(pool);
        SlotAcquisition acquisition =
                holdings == null ? null : holdings.acquisitions().get(reply.getTicket());
        boolean expected = acquisition != null && acquisition.isAsking(ip);
        switch (reply.getOutcomeCase()) {
            case GRANTED_TARGET -> {
                if (expected) {
                    metrics.countSlotEvent("granted");
                    acquisition.onGranted(reply.getGrantedTarget(), reply.getTargetLimited());
                } else {
                    send(
                            ip,
                            SlotCodec.release(
                                    pool,
                                    reply.getTicket(),
                                    RunReport.unused(LeaseOutcome.CANCELLED)));
                }
            }
            case QUEUED -> {
                if (expected) {
                    metrics.countSlotEvent("queued");
                    acquisition.onQueued();
                }
            }
            case REFUSAL -> {
                if (expected) {
                    metrics.countSlotEvent(
                            "refused_" + reply.getRefusal().getReason().name().toLowerCase());
                    acquisition.onRefused(
                            SlotCodec.decode(reply.getRefusal().getReason()),
                            SlotCodec.expectedWait(reply.getRefusal()));
                }
            }
            default -> LOG.debug("slots: reply without an outcome ignored from={}", ip);
        }
    }

    private void onBatchGrant(String ip, BatchGrant grant) {
        PoolId pool = SlotCodec.decode(grant.getPool());
        PoolHoldings holdings = holdings(pool);
        if (!holdings.exchange().includes(ip, grant.getExchange())) {
            // The coordinator counts it as taken until it learns of the exchange that has begun.
            metrics.countSlotEvent("batch_returned");
            LOG.info(
                    "slots: batch grant of an earlier exchange returned pool={} from={}", pool, ip);
            send(
                    ip,
                    SlotCodec.release(
                            pool, grant.getTicket(), RunReport.unused(LeaseOutcome.CANCELLED)));
            return;
        }
        metrics.countSlotEvent("batch_granted");
        holdings.countBatchGrant();
        batchDemands.confirmGrants();
        SlotLease lease =
                addLease(
                        pool,
                        new HeldSlot(
                                grant.getTicket(),
                                grant.getTarget(),
                                TrafficClass.BATCH,
                                grant.getDueMillis(),
                                Math.max(0, grant.getReservedTokens())),
                        grant.getTargetLimited());
        usableTarget(grant.getTarget())
                .ifPresentOrElse(
                        target -> startBatchItem(lease, target), () -> releaseUnusable(lease));
    }

    private void startBatchItem(SlotLease lease, TargetInstance target) {
        if (targets.isAvoided(target.id())) {
            // Granted before the coordinator knew, such as a second slot of a target on trial. The
            // demand names the target, so it is sent first.
            metrics.countSlotEvent("avoided");
            batchDemands.send();
            lease.release(RunReport.unused(LeaseOutcome.CANCELLED));
        } else {
            batchDemands.onGranted(lease, target);
        }
    }

    private void onRevocation(String ip, SlotRevocation revocation) {
        PoolHoldings holdings = pools.get(SlotCodec.decode(revocation.getPool()));
        // A slot that was taken back in an earlier exchange has been reported as held since then.
        if (holdings != null && holdings.exchange().includes(ip, revocation.getExchange())) {
            metrics.countSlotEvent("preempted");
            holdings.removeTicket(revocation.getTicket()).ifPresent(SlotLease::revoke);
        }
    }

    /**
     * Handles the query of a gateway that started to coordinate a pool, or is out of step. If this
     * gateway has another coordinator, it finds out whether that one still answers.
     */
    private void onHoldingsQuery(String ip, HoldingsQuery query) {
        PoolId pool = SlotCodec.decode(query.getPool());
        PoolHoldings holdings = pools.get(pool);
        if (holdings == null) {
            if (query.getExchange() != ReceivedGrants.NO_EXCHANGE) {
                sendNothingHeld(pool, ip, 0);
            }
            return;
        }
        refreshCoordinator(pool, holdings);
        boolean hasReport = holdings.holdsOrRequestsSlots() || !requestLimits(pool).isEmpty();
        long now = System.nanoTime();
        switch (holdings.exchange().answerQuery(ip, query.getExchange(), hasReport, now)) {
            case BEGIN -> beginExchange(pool, holdings, ip);
            case REPEAT_DEMAND -> {
                holdings.exchange().repeatDemand(now);
                batchDemands.changed();
            }
            case NOTHING_HELD -> sendNothingHeld(pool, ip, holdings.grantsInAllExchanges());
            case CHECK_COORDINATOR -> checks.check(holdings.coordinator());
            default -> {
                // A new exchange is under way already, or there is nothing to report.
            }
        }
    }

    private void sendNothingHeld(PoolId pool, String ip, long grantsInAllExchanges) {
        send(
                ip,
                SlotCodec.holdings(
                        pool, List.of(), Map.of(), nextExchange(), grantsInAllExchanges));
    }

    /** Chooses coordinators anew after a round of checks. */
    void onCoordinatorsChecked(long now) {
        unusableUntilNanos.values().removeIf(until -> now - until > 0);
        refreshCoordinators();
    }

    private void refreshCoordinators() {
        for (Map.Entry<PoolId, PoolHoldings> entry : List.copyOf(pools.entrySet())) {
            refreshCoordinator(entry.getKey(), entry.getValue());
        }
    }

    private void refreshCoordinator(PoolId pool, PoolHoldings holdings) {
        String chosen = coordinators.of(pool, System.nanoTime());
        if (!chosen.equals(holdings.coordinator())) {
            sendNothingHeld(pool, holdings.coordinator(), holdings.grantsInAllExchanges());
            beginExchange(pool, holdings, chosen);
        }
    }

    /** Tells the coordinator of a pool everything that it must know of this gateway. */
    private void beginExchange(PoolId pool, PoolHoldings holdings, String chosen) {
        holdings.exchange().begin(chosen, nextExchange(), System.nanoTime());
        sendHoldings(pool, holdings);
        List.copyOf(holdings.acquisitions().values()).forEach(SlotAcquisition::restart);
        batchDemands.changed();
    }

    private void sendHoldings(PoolId pool, PoolHoldings holdings) {
        LOG.debug(
                "slots: exchange begins pool={} coordinator={} number={} slots={}",
                pool,
                holdings.coordinator(),
                holdings.exchange().received().exchange(),
                holdings.heldSlots().size());
        send(
                holdings.coordinator(),
                SlotCodec.holdings(
                        pool,
                        holdings.heldSlots(),
                        requestLimits(pool),
                        holdings.exchange().received().exchange(),
                        holdings.grantsInAllExchanges()));
    }

    private long nextExchange() {
        nextExchange++;
        if (nextExchange == ReceivedGrants.NO_EXCHANGE) {
            nextExchange++;
        }
        return nextExchange;
    }

    private Set<String> coordinatorsInUse() {
        Set<String> ips = new HashSet<>();
        for (PoolHoldings holdings : pools.values()) {
            if (holdings.isInUse()) {
                ips.add(holdings.coordinator());
            }
        }
        return ips;
    }

    String ip() {
        return self.ip();
    }

    long nextTicket() {
        return nextTicket++;
    }

    ScheduledFuture<?> schedule(Runnable action, Duration delay) {
        return loop.schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    Optional<TargetInstance> usableTarget(String id) {
        return targets.usableTarget(id);
    }

    /**
     * Returns the targets of a pool that this gateway cannot use at the moment, and those that were
     * granted to it although it does not know them. Only one pool is looked at, so that the cost of
     * a request does not grow with the fleet.
     */
    ImmutableSet<String> avoidedTargets(PoolId pool) {
        ImmutableSet.Builder<String> avoided = ImmutableSet.builder();
        for (TargetInstance target : plan.targets(pool)) {
            if (targets.isAvoided(target.id())) {
                avoided.add(target.id());
            }
        }
        return avoided.addAll(unusableUntilNanos.keySet()).build();
    }

    /**
     * Returns the pools of a service in the order in which they are asked; those whose coordinator
     * does not answer come last.
     */
    List<PoolId> pools(String service) {
        List<PoolId> answering = new ArrayList<>();
        List<PoolId> unanswering = new ArrayList<>();
        for (PoolId pool : plan.preferred(service)) {
            boolean silent = coordinators.isUnanswering(holdings(pool).coordinator());
            (silent ? unanswering : answering).add(pool);
        }
        answering.addAll(unanswering);
        return answering;
    }

    /** Returns whether a pool is in the data centre of this gateway. */
    boolean isLocal(PoolId pool) {
        return pool.dataCentre().equals(self.dataCentre());
    }

    PoolHoldings holdings(PoolId pool) {
        PoolHoldings known = pools.get(pool);
        if (known != null) {
            return known;
        }
        long now = System.nanoTime();
        String chosen = coordinators.of(pool, now);
        PoolHoldings holdings = new PoolHoldings(new PoolExchange(chosen, nextExchange(), now));
        pools.put(pool, holdings);
        // The coordinator may remember grants to this gateway from before the pool was dropped.
        sendHoldings(pool, holdings);
        return holdings;
    }

    /** Sends a request to the coordinator of a pool, and returns the address of the coordinator. */
    String send(SlotAcquisition acquisition, PoolId pool, SlotRequest request, long now) {
        PoolHoldings holdings = holdings(pool);
        refreshCoordinator(pool, holdings);
        holdings.acquisitions().put(request.ticket(), acquisition);
        send(holdings.coordinator(), SlotCodec.request(pool, request, now));
        return holdings.coordinator();
    }

    /** Sends a frame to a coordinator, which may be this gateway. */
    void send(String ip, PeerFrame frame) {
        if (ip.equals(self.ip())) {
            loop.execute(() -> onFrame(ip, frame));
        } else {
            // A frame that is not sent needs no handling: the answer is missed, or the exchange
            // starts anew after the next connection.
            mesh.send(ip, frame);
        }
    }

    void recordUnanswered(String ip, long askedNanos) {
        metrics.countSlotEvent("unanswered");
        checks.recordUnanswered(ip, askedNanos);
    }

    void withdraw(PoolId pool, long ticket, String ip) {
        send(ip, SlotCodec.release(pool, ticket, RunReport.unused(LeaseOutcome.CANCELLED)));
    }

    void forget(PoolId pool, long ticket) {
        holdings(pool).acquisitions().remove(ticket);
    }

    SlotLease addLease(PoolId pool, HeldSlot slot, boolean targetLimited) {
        SlotLease lease = new SlotLease(pool, slot, targetLimited, this::leaseReleased);
        holdings(pool).add(lease);
        return lease;
    }

    /** Releases a slot of a target that this gateway does not know or that is leaving. */
    void releaseUnusable(SlotLease lease) {
        metrics.countSlotEvent("unusable");
        unusableUntilNanos.put(lease.target(), System.nanoTime() + UNUSABLE_TIME.toNanos());
        lease.release(RunReport.unused(LeaseOutcome.CANCELLED));
    }

    private void leaseReleased(SlotLease lease, RunReport report) {
        PoolHoldings holdings = holdings(lease.pool());
        if (holdings.remove(lease)) {
            send(
                    holdings.coordinator(),
                    SlotCodec.release(lease.pool(), lease.slot().ticket(), report));
        }
    }
}
