package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.fuchsiaspindle.core.serving.TargetModel;
import org.fuchsiaspindle.core.slot.PoolId;
import org.fuchsiaspindle.core.slot.PoolPlan;
import org.fuchsiaspindle.core.slot.SlotDecision;
import org.fuchsiaspindle.core.slot.SlotPool;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.RequestLimit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assigns the slots of the pools that this gateway coordinates.
 *
 * <p>Each gateway decides by itself which one it asks; this gateway serves every pool for which it
 * is asked. When it is asked for a pool that it does not know, it first asks all peers for the
 * slots that they hold there.
 */
public final class SlotCoordinator {

    private static final Logger LOG = LoggerFactory.getLogger(SlotCoordinator.class);

    /** Time between two checks while online requests wait. */
    private static final Duration WAITING_CHECK_INTERVAL = Duration.ofMillis(20);

    /** Time between two checks while only batch items wait. */
    private static final Duration BATCH_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Time between two checks while nothing waits. */
    private static final Duration REST_CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Time without a frame after which an idle pool is dropped. */
    private static final Duration IDLE_POOL_EXPIRY = Duration.ofSeconds(30);

    private final EventLoop loop;
    private final String ip;
    private final PeerMesh mesh;
    private final BiConsumer<String, PeerFrame> selfReceiver;
    private final Function<String, Optional<TargetModel>> models;
    private final GatewayMetrics metrics;
    private final Map<PoolId, CoordinatedPool> pools = new HashMap<>();
    private PoolPlan plan;
    private ScheduledFuture<?> nextCheck;
    private long nextCheckNanos;

    /** A pool and when a frame for it last arrived, in monotonic nanoseconds. */
    private static final class CoordinatedPool {
        private final SlotPool slots;
        private long lastFrameNanos;

        CoordinatedPool(SlotPool slots) {
            this.slots = slots;
        }
    }

    private SlotCoordinator(
            EventLoop loop,
            String ip,
            String dataCentre,
            PeerMesh mesh,
            BiConsumer<String, PeerFrame> selfReceiver,
            Function<String, Optional<TargetModel>> models,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.ip = ip;
        this.mesh = mesh;
        this.selfReceiver = selfReceiver;
        this.models = models;
        this.metrics = metrics;
        this.plan = PoolPlan.of(ip, dataCentre, List.of());
    }

    /**
     * Creates a coordinator without pools.
     *
     * @param loop its event loop
     * @param ip the address of this gateway
     * @param dataCentre its data centre
     * @param mesh reaches the other gateways
     * @param selfReceiver receives the frames for this gateway, with its address as their sender
     * @param models returns the model of the targets of a service in the configuration in force
     * @param metrics measures the estimates
     */
    static SlotCoordinator create(
            EventLoop loop,
            String ip,
            String dataCentre,
            PeerMesh mesh,
            BiConsumer<String, PeerFrame> selfReceiver,
            Function<String, Optional<TargetModel>> models,
            GatewayMetrics metrics) {
        return new SlotCoordinator(
                checkNotNull(loop, "loop"),
                checkNotNull(ip, "ip"),
                checkNotNull(dataCentre, "dataCentre"),
                checkNotNull(mesh, "mesh"),
                checkNotNull(selfReceiver, "selfReceiver"),
                checkNotNull(models, "models"),
                checkNotNull(metrics, "metrics"));
    }

    /** Replaces the known targets. */
    void apply(PoolPlan newPlan) {
        plan = checkNotNull(newPlan, "newPlan");
        long now = System.nanoTime();
        pools.forEach((id, pool) -> send(id, pool.slots.setTargets(plan.targets(id), now)));
    }

    /** Handles a frame of a holder, which may be this gateway. */
    void onFrame(String holder, PeerFrame frame) {
        long now = System.nanoTime();
        PoolId id = poolId(frame);
        if (!pools.containsKey(id) && !startsCoordination(frame)) {
            return;
        }
        SlotPool pool = pool(id, now);
        switch (frame.getBodyCase()) {
            case SLOT_REQUEST ->
                    send(
                            id,
                            pool.request(
                                    SlotCodec.decode(holder, frame.getSlotRequest(), now), now));
            case SLOT_RELEASE ->
                    send(
                            id,
                            pool.release(
                                    holder,
                                    frame.getSlotRelease().getTicket(),
                                    SlotCodec.decode(frame.getSlotRelease()),
                                    now));
            case BATCH_DEMAND ->
                    send(id, pool.demand(holder, SlotCodec.decode(frame.getBatchDemand()), now));
            case SLOT_HOLDINGS -> {
                for (RequestLimit limit : frame.getSlotHoldings().getRequestLimitsList()) {
                    send(id, pool.limitRequests(limit.getTarget(), SlotCodec.decode(limit), now));
                }
                send(
                        id,
                        pool.replaceHoldings(
                                holder,
                                SlotCodec.decode(frame.getSlotHoldings()),
                                SlotCodec.received(frame.getSlotHoldings()),
                                now));
            }
            case REQUEST_LIMIT_REPORT ->
                    send(
                            id,
                            pool.limitRequests(
                                    frame.getRequestLimitReport().getTarget(),
                                    SlotCodec.decode(frame.getRequestLimitReport()),
                                    now));
            case SILENCE_REPORT ->
                    pool.recordSilence(holder, frame.getSilenceReport().getTarget(), now);
            case DATA_REPORT -> send(id, pool.recordData(frame.getDataReport().getTarget(), now));
            default -> throw new AssertionError(frame.getBodyCase());
        }
        scheduleCheck();
    }

    private static PoolId poolId(PeerFrame frame) {
        return SlotCodec.decode(
                switch (frame.getBodyCase()) {
                    case SLOT_REQUEST -> frame.getSlotRequest().getPool();
                    case SLOT_RELEASE -> frame.getSlotRelease().getPool();
                    case BATCH_DEMAND -> frame.getBatchDemand().getPool();
                    case SLOT_HOLDINGS -> frame.getSlotHoldings().getPool();
                    case SILENCE_REPORT -> frame.getSilenceReport().getPool();
                    case DATA_REPORT -> frame.getDataReport().getPool();
                    case REQUEST_LIMIT_REPORT -> frame.getRequestLimitReport().getPool();
                    default -> throw new AssertionError(frame.getBodyCase());
                });
    }

    /** Returns whether a frame asks for slots or reports them, so that a pool is needed. */
    private static boolean startsCoordination(PeerFrame frame) {
        return switch (frame.getBodyCase()) {
            case SLOT_REQUEST -> true;
            case BATCH_DEMAND -> frame.getBatchDemand().getWaiting() > 0;
            case SLOT_HOLDINGS ->
                    frame.getSlotHoldings().getSlotsCount() > 0
                            || frame.getSlotHoldings().getRequestLimitsCount() > 0;
            case REQUEST_LIMIT_REPORT -> true;
            default -> false;
        };
    }

    /** Removes a gateway that was lost, with the slots that it held. */
    void onPeerLost(String peerIp) {
        long now = System.nanoTime();
        pools.forEach((id, pool) -> send(id, pool.slots.removeHolder(peerIp, now)));
    }

    /** Asks a gateway for its slots, because frames to it or from it may be lost. */
    void onFramesLost(String peerIp) {
        long now = System.nanoTime();
        pools.forEach((id, pool) -> send(id, pool.slots.recordLoss(peerIp, now)));
    }

    /** Returns the number of pools that this gateway coordinates. */
    int poolCount() {
        return pools.size();
    }

    private SlotPool pool(PoolId id, long now) {
        CoordinatedPool pool = pools.get(id);
        if (pool == null) {
            pool = new CoordinatedPool(SlotPool.create(ThreadLocalRandom.current().nextLong()));
            pool.slots.setWorkListener(new WorkReports(id, metrics));
            pools.put(id, pool);
            LOG.info("slots: coordinating pool={} targets={}", id, plan.targets(id).size());
            send(id, pool.slots.setTargets(plan.targets(id), now));
            PeerFrame query = SlotCodec.holdingsQuery(id);
            mesh.broadcast(query);
        }
        pool.lastFrameNanos = now;
        pool.slots.setModel(models.apply(id.service()));
        return pool.slots;
    }

    /** Schedules the next check of all pools, sooner if something waits in one of them. */
    private void scheduleCheck() {
        if (pools.isEmpty()) {
            return;
        }
        Duration interval = REST_CHECK_INTERVAL;
        for (CoordinatedPool pool : pools.values()) {
            if (pool.slots.waitingRequests() > 0) {
                interval = WAITING_CHECK_INTERVAL;
                break;
            }
            interval = pool.slots.hasBatchDemand() ? BATCH_CHECK_INTERVAL : interval;
        }
        long dueNanos = System.nanoTime() + interval.toNanos();
        if (nextCheck != null) {
            if (nextCheckNanos - dueNanos <= 0) {
                return;
            }
            nextCheck.cancel(false);
        }
        nextCheckNanos = dueNanos;
        nextCheck = loop.schedule(this::checkPools, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void checkPools() {
        nextCheck = null;
        long now = System.nanoTime();
        pools.forEach((id, pool) -> send(id, pool.slots.checkTimes(now)));
        pools.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().slots.isIdle()
                                        && now - entry.getValue().lastFrameNanos
                                                > IDLE_POOL_EXPIRY.toNanos());
        scheduleCheck();
    }

    private void send(PoolId id, List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof SlotDecision.HoldingsQueried query) {
                metrics.countSlotEvent("out_of_step");
                LOG.info("slots: holder out of step pool={} {}", id, query);
            }
            PeerFrame frame = SlotCodec.decision(id, decision);
            if (decision.holder().equals(ip)) {
                // Deferred, so that the receiver does not run inside of its own request.
                loop.execute(() -> selfReceiver.accept(ip, frame));
            } else if (!mesh.send(decision.holder(), frame)) {
                // The holder is asked for its slots when the connection takes frames again.
                LOG.debug("slots: decision not sent pool={} holder={}", id, decision.holder());
            }
        }
    }
}
