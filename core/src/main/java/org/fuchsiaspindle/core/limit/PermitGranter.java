package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.limit.LimitMessage.Lend;
import org.fuchsiaspindle.core.limit.LimitMessage.LendAck;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitReply;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitRequest;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitReturn;

/**
 * Grants permits for requests within the slices of the limits that gateways lent to this one.
 *
 * <p>A slice is the limit divided by the number of gateways. A gateway lends each of its slices to
 * at most one granter at a time, so all granters together never hold more than the limit, whatever
 * they know of each other. Not thread-safe. Times are monotonic nanoseconds that also pass while
 * the process is suspended. Handling a message about permits is O(1); one that lends slices, and
 * the first message after slices expired, cost O(lenders).
 */
public final class PermitGranter {

    /** Time after which a permit that was not used is no longer taken back. */
    static final Duration RETURN_WINDOW = Duration.ofMillis(300);

    /** Upper bound of the validity that lenders announce. */
    static final Duration MAX_VALIDITY = Duration.ofSeconds(2);

    /** Time for which a lender without slices is remembered, so that late messages are ignored. */
    private static final Duration LENDER_RETENTION = Duration.ofSeconds(10);

    /** The limits in the configuration of this gateway. */
    public interface LimitSource {

        /** Returns the version of the configuration. */
        long version();

        /** Returns the limit of a workspace, empty if it has none. */
        Optional<RateLimit> limit(String workspace);
    }

    private final long epoch;
    private final LimitSource limits;
    private final Map<String, Lender> lenders = new HashMap<>();
    private final Shard[] shards = new Shard[LimitShards.COUNT];
    private int ownFleetSize = 1;
    private int announcedFleetSize;
    private int fleetSize = 1;
    private long nextExpiryNanos;
    private boolean anyLent;

    /** The gateways that lend a shard's slices, and the buckets of its workspaces. */
    private static final class Shard {
        private final ShareHistory history = new ShareHistory();
        private final Map<String, LimitBucket> buckets = new HashMap<>();
        private int lenderCount;
    }

    /** What a gateway lent. */
    private static final class Lender {
        private final long epoch;
        private long sequence;
        private long shards;
        private long startShards;
        private int fleetSize;
        private long validUntilNanos;

        Lender(long epoch) {
            this.epoch = epoch;
        }
    }

    private PermitGranter(long epoch, LimitSource limits) {
        this.epoch = epoch;
        this.limits = limits;
        for (int shard = 0; shard < LimitShards.COUNT; shard++) {
            shards[shard] = new Shard();
        }
    }

    /**
     * Creates a granter without slices.
     *
     * @param epoch a random number, not 0
     * @param limits the limits that this gateway knows, not null
     */
    public static PermitGranter create(long epoch, LimitSource limits) {
        return new PermitGranter(epoch, checkNotNull(limits, "limits"));
    }

    /**
     * Sets the size of the fleet as this gateway knows it.
     *
     * @param own the number of gateways, positive
     * @param announced the number that lenders are told, 0 if this gateway does not know the fleet
     * @param nowNanos the time
     */
    public void setFleetSize(int own, int announced, long nowNanos) {
        expire(nowNanos);
        announcedFleetSize = announced;
        if (own != ownFleetSize) {
            ownFleetSize = own;
            updateFleetSize(nowNanos);
        }
    }

    /**
     * Handles slices lent by a gateway.
     *
     * @param from the address of the gateway, not null
     * @param lend the message, not null
     * @param nowNanos the time
     * @return the answer
     */
    public LendAck handle(String from, Lend lend, long nowNanos) {
        expire(nowNanos);
        long ageNanos = nowNanos - lend.granterNanos();
        Duration validity =
                lend.validity().compareTo(MAX_VALIDITY) < 0 ? lend.validity() : MAX_VALIDITY;
        boolean current =
                lend.granterEpoch() == epoch && ageNanos >= 0 && ageNanos < validity.toNanos();
        Lender lender = lenders.get(from);
        boolean sameProcess = lender != null && lender.epoch == lend.lenderEpoch();
        if (sameProcess && lend.sequence() <= lender.sequence) {
            return ack(lend, 0, nowNanos);
        }
        long paidShards = 0;
        if (!sameProcess && current) {
            if (lender != null) {
                setLent(lender, 0, 0, nowNanos);
            }
            lender = new Lender(lend.lenderEpoch());
            lenders.put(from, lender);
        }
        if (sameProcess || current) {
            lender.sequence = lend.sequence();
            lender.validUntilNanos = current ? lend.granterNanos() + validity.toNanos() : nowNanos;
            setFleetSize(lender, current ? lend.fleetSize() : 1, nowNanos);
            paidShards = current ? payBack(lender, lender.shards & ~lend.shards(), nowNanos) : 0;
            setLent(
                    lender,
                    current ? lend.shards() : 0,
                    current ? lend.startShards() : 0,
                    nowNanos);
            updateExpiry();
        }
        return ack(lend, paidShards, nowNanos);
    }

    private LendAck ack(Lend lend, long paidShards, long nowNanos) {
        int observed = announcedFleetSize == 0 ? 0 : Math.max(announcedFleetSize, lentFleetSize());
        return new LendAck(
                lend.lenderEpoch(), lend.sequence(), epoch, nowNanos, observed, paidShards);
    }

    /**
     * Removes the start tokens of slices that are taken back, where all workspaces have them.
     *
     * @return the shards whose start tokens were removed
     */
    private long payBack(Lender lender, long takenBack, long nowNanos) {
        long paidShards = 0;
        for (int index = 0; index < LimitShards.COUNT; index++) {
            long mask = LimitShards.maskOf(index);
            Shard shard = shards[index];
            if ((takenBack & lender.startShards & mask) != 0) {
                double part = 1.0 / fleetSize;
                if (shard.buckets.values().stream()
                        .allMatch(bucket -> bucket.canPay(part, nowNanos))) {
                    paidShards |= mask;
                    shard.history.add(
                            new ShareHistory.Change(nowNanos, shard.history.share(), -part));
                }
            }
        }
        return paidShards;
    }

    /**
     * Handles a request for permits.
     *
     * @param request the message, not null
     * @param nowNanos the time
     * @return the answer
     */
    public PermitReply handle(PermitRequest request, long nowNanos) {
        expire(nowNanos);
        Shard shard = shards[LimitShards.shardOf(request.workspace())];
        double share = shard.history.share();
        Optional<VersionedLimit> limit = newer(request);
        if (limit.isEmpty()) {
            return reply(request, request.count(), share, Duration.ZERO, nowNanos);
        }
        LimitBucket bucket =
                shard.buckets.computeIfAbsent(
                        request.workspace(),
                        key -> new LimitBucket(shard.history, limit.get(), nowNanos));
        bucket.update(limit.get(), nowNanos);
        int granted = bucket.take(request.count(), nowNanos);
        Duration retryAfter = granted < request.count() ? bucket.promise(nowNanos) : Duration.ZERO;
        return reply(request, granted, share, retryAfter, nowNanos);
    }

    private PermitReply reply(
            PermitRequest request, int granted, double share, Duration retryAfter, long nowNanos) {
        return new PermitReply(
                request.id(), request.workspace(), granted, epoch, nowNanos, share, retryAfter);
    }

    /** Returns the later of the limits that the asking gateway and this one know. */
    private Optional<VersionedLimit> newer(PermitRequest request) {
        if (limits.version() <= request.limit().version()) {
            return Optional.of(request.limit());
        }
        return limits.limit(request.workspace())
                .map(limit -> new VersionedLimit(limits.version(), limit));
    }

    /** Handles permits that were not used. */
    public void handle(PermitReturn permits, long nowNanos) {
        expire(nowNanos);
        long ageNanos = nowNanos - permits.grantedNanos();
        Shard shard = shards[LimitShards.shardOf(permits.workspace())];
        LimitBucket bucket = shard.buckets.get(permits.workspace());
        if (bucket != null
                && permits.granterEpoch() == epoch
                && ageNanos >= 0
                && ageNanos <= RETURN_WINDOW.toNanos()) {
            bucket.putBack(permits.count(), nowNanos);
        }
    }

    /** Drops the state of idle workspaces and of lenders that were silent for long. */
    public void prune(long nowNanos) {
        expire(nowNanos);
        for (Shard shard : shards) {
            shard.buckets.values().removeIf(bucket -> bucket.isFull(nowNanos));
        }
        lenders.values()
                .removeIf(
                        lender ->
                                lender.shards == 0
                                        && nowNanos - lender.validUntilNanos
                                                > LENDER_RETENTION.toNanos());
    }

    /** Returns the part of the limit of a workspace that this gateway may grant, from 0 to 1. */
    public double share(String workspace, long nowNanos) {
        expire(nowNanos);
        return shards[LimitShards.shardOf(workspace)].history.share();
    }

    /** Takes back slices that are no longer valid, each at the time at which it expired. */
    private void expire(long nowNanos) {
        if (!anyLent || nowNanos - nextExpiryNanos < 0) {
            return;
        }
        List<Lender> expired =
                lenders.values().stream()
                        .filter(lender -> lender.shards != 0)
                        .filter(lender -> nowNanos - lender.validUntilNanos >= 0)
                        .sorted(Comparator.comparingLong(lender -> lender.validUntilNanos))
                        .toList();
        for (Lender lender : expired) {
            setLent(lender, 0, 0, lender.validUntilNanos);
            setFleetSize(lender, 1, lender.validUntilNanos);
        }
        updateExpiry();
    }

    private void updateExpiry() {
        anyLent = false;
        for (Lender lender : lenders.values()) {
            if (lender.shards != 0 && (!anyLent || lender.validUntilNanos - nextExpiryNanos < 0)) {
                anyLent = true;
                nextExpiryNanos = lender.validUntilNanos;
            }
        }
    }

    private void setLent(Lender lender, long newShards, long startShards, long nowNanos) {
        long changed = lender.shards ^ newShards;
        lender.shards = newShards;
        lender.startShards = newShards & (lender.startShards | startShards);
        for (int index = 0; index < LimitShards.COUNT; index++) {
            long mask = LimitShards.maskOf(index);
            if ((changed & mask) != 0) {
                boolean lent = (newShards & mask) != 0;
                boolean start = lent && (startShards & mask) != 0;
                shards[index].lenderCount += lent ? 1 : -1;
                recordShare(shards[index], start ? 1.0 / fleetSize : 0, nowNanos);
            }
        }
    }

    private void setFleetSize(Lender lender, int newFleetSize, long nowNanos) {
        if (lender.fleetSize != newFleetSize) {
            lender.fleetSize = newFleetSize;
            updateFleetSize(nowNanos);
        }
    }

    private int lentFleetSize() {
        return lenders.values().stream().mapToInt(lender -> lender.fleetSize).max().orElse(1);
    }

    /** The largest known size counts: slices of different sizes must not exceed the limit. */
    private void updateFleetSize(long nowNanos) {
        int largest = Math.max(ownFleetSize, lentFleetSize());
        if (largest != fleetSize) {
            fleetSize = largest;
            for (Shard shard : shards) {
                if (shard.lenderCount > 0) {
                    recordShare(shard, 0, nowNanos);
                }
            }
        }
    }

    private void recordShare(Shard shard, double startShare, long nowNanos) {
        double share = Math.min(1, (double) shard.lenderCount / fleetSize);
        shard.history.add(new ShareHistory.Change(nowNanos, share, startShare));
    }
}
