package org.fuchsiaspindle.gateway.slot;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.slot.BatchDemand;
import org.fuchsiaspindle.core.slot.HeldSlot;
import org.fuchsiaspindle.core.slot.LeaseOutcome;
import org.fuchsiaspindle.core.slot.PoolId;
import org.fuchsiaspindle.core.slot.ReceivedGrants;
import org.fuchsiaspindle.core.slot.RunReport;
import org.fuchsiaspindle.core.slot.SlotDecision;
import org.fuchsiaspindle.core.slot.SlotRequest;
import org.fuchsiaspindle.core.slot.TrafficClass;
import org.fuchsiaspindle.core.work.RequestSize;
import org.fuchsiaspindle.wire.peer.BatchDemandMessage;
import org.fuchsiaspindle.wire.peer.BatchGrant;
import org.fuchsiaspindle.wire.peer.DataReport;
import org.fuchsiaspindle.wire.peer.HeldSlotMessage;
import org.fuchsiaspindle.wire.peer.HoldingsQuery;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.Pool;
import org.fuchsiaspindle.wire.peer.PromptPartSize;
import org.fuchsiaspindle.wire.peer.RequestLimit;
import org.fuchsiaspindle.wire.peer.RequestLimitReport;
import org.fuchsiaspindle.wire.peer.RequestSizeMessage;
import org.fuchsiaspindle.wire.peer.SilenceReport;
import org.fuchsiaspindle.wire.peer.SlotHoldings;
import org.fuchsiaspindle.wire.peer.SlotRefusal;
import org.fuchsiaspindle.wire.peer.SlotRelease;
import org.fuchsiaspindle.wire.peer.SlotReply;
import org.fuchsiaspindle.wire.peer.SlotRequestMessage;
import org.fuchsiaspindle.wire.peer.SlotRevocation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes what gateways tell each other about slots, and decodes it. */
final class SlotCodec {

    private static final Logger LOG = LoggerFactory.getLogger(SlotCodec.class);

    private SlotCodec() {}

    static Pool encode(PoolId pool) {
        return Pool.newBuilder()
                .setService(pool.service())
                .setDataCentre(pool.dataCentre())
                .setShard(pool.shard())
                .build();
    }

    static PoolId decode(Pool pool) {
        return new PoolId(pool.getService(), pool.getDataCentre(), pool.getShard());
    }

    static PeerFrame request(PoolId pool, SlotRequest request, long now) {
        return PeerFrame.newBuilder()
                .setSlotRequest(
                        SlotRequestMessage.newBuilder()
                                .setPool(encode(pool))
                                .setTicket(request.ticket())
                                .setMayWait(request.mayWait())
                                .setPriority(request.priority())
                                .setOnTimeMillis(millisUntil(request.onTimeUntilNanos(), now))
                                .setStartMillis(millisUntil(request.startUntilNanos(), now))
                                .addAllAvoidedTargets(request.avoided())
                                .setLastResort(request.lastResort())
                                .setWorkspace(request.workspace())
                                .setSize(encode(request.size())))
                .build();
    }

    private static RequestSizeMessage encode(RequestSize size) {
        RequestSizeMessage.Builder message =
                RequestSizeMessage.newBuilder()
                        .setKind(size.kind())
                        .setPromptTokens(size.promptTokens())
                        .setMaxOutputTokens(size.maxOutputTokens())
                        .setHintedOutputTokens(size.hintedOutputTokens());
        for (RequestSize.Part part : size.sharedParts()) {
            message.addSharedParts(
                    PromptPartSize.newBuilder().setId(part.id()).setTokens(part.tokens()));
        }
        return message.build();
    }

    private static RequestSize decode(RequestSizeMessage message) {
        return new RequestSize(
                message.getKind(),
                nonNegative(message.getPromptTokens()),
                nonNegative(message.getMaxOutputTokens()),
                nonNegative(message.getHintedOutputTokens()),
                message.getSharedPartsList().stream()
                        .map(
                                part ->
                                        new RequestSize.Part(
                                                part.getId(), nonNegative(part.getTokens())))
                        .collect(ImmutableList.toImmutableList()));
    }

    /** Returns an unsigned number, or the largest integer if it is too large. */
    private static int nonNegative(int unsigned) {
        return unsigned < 0 ? Integer.MAX_VALUE : unsigned;
    }

    /** Decodes the request of a holder; its relative times start when it arrives. */
    static SlotRequest decode(String holder, SlotRequestMessage message, long now) {
        return new SlotRequest(
                holder,
                message.getTicket(),
                message.getMayWait(),
                message.getPriority(),
                message.getWorkspace(),
                decode(message.getSize()),
                now + TimeUnit.MILLISECONDS.toNanos(message.getOnTimeMillis()),
                now + TimeUnit.MILLISECONDS.toNanos(message.getStartMillis()),
                ImmutableSet.copyOf(message.getAvoidedTargetsList()),
                message.getLastResort());
    }

    static PeerFrame release(PoolId pool, long ticket, RunReport report) {
        SlotRelease.Builder release =
                SlotRelease.newBuilder()
                        .setPool(encode(pool))
                        .setTicket(ticket)
                        .setOutcome(encode(report.outcome()))
                        .setEvents(report.events())
                        .setHeldMillis(millis(report.timeHeld()));
        report.timeToFirstEvent().ifPresent(time -> release.setFirstEventMillis(millis(time)));
        return PeerFrame.newBuilder().setSlotRelease(release).build();
    }

    private static int millis(Duration time) {
        return (int) Math.min(time.toMillis(), Integer.MAX_VALUE);
    }

    static RunReport decode(SlotRelease release) {
        return new RunReport(
                decode(release.getOutcome()),
                nonNegative(release.getEvents()),
                release.hasFirstEventMillis()
                        ? Optional.of(Duration.ofMillis(nonNegative(release.getFirstEventMillis())))
                        : Optional.empty(),
                Duration.ofMillis(nonNegative(release.getHeldMillis())));
    }

    private static SlotRelease.Outcome encode(LeaseOutcome outcome) {
        return switch (outcome) {
            case DONE -> SlotRelease.Outcome.DONE;
            case FAILED -> SlotRelease.Outcome.FAILED;
            case TARGET_FULL -> SlotRelease.Outcome.TARGET_FULL;
            case UNREACHABLE -> SlotRelease.Outcome.UNREACHABLE;
            case CANCELLED -> SlotRelease.Outcome.CANCELLED;
        };
    }

    private static LeaseOutcome decode(SlotRelease.Outcome outcome) {
        return switch (outcome) {
            case DONE -> LeaseOutcome.DONE;
            case FAILED -> LeaseOutcome.FAILED;
            case TARGET_FULL -> LeaseOutcome.TARGET_FULL;
            case UNREACHABLE -> LeaseOutcome.UNREACHABLE;
            case CANCELLED, OUTCOME_UNSPECIFIED, UNRECOGNIZED -> LeaseOutcome.CANCELLED;
        };
    }

    /**
     * Encodes a demand.
     *
     * @param grantsInAllExchanges how many batch slots the coordinator granted, for one that runs
     *     an earlier version
     */
    static PeerFrame demand(PoolId pool, BatchDemand demand, long grantsInAllExchanges) {
        return PeerFrame.newBuilder()
                .setBatchDemand(
                        BatchDemandMessage.newBuilder()
                                .setPool(encode(pool))
                                .setWaiting(demand.waiting())
                                .setDueMillis(demand.dueMillis())
                                .setGrantsReceived(grantsInAllExchanges)
                                .setExchange(demand.received().exchange())
                                .setExchangeGrantsReceived(demand.received().count())
                                .addAllAvoidedTargets(demand.avoided())
                                .setLargestItemTokens(demand.largestItemTokens()))
                .build();
    }

    static BatchDemand decode(BatchDemandMessage message) {
        return new BatchDemand(
                message.getWaiting(),
                message.getDueMillis(),
                received(
                        message.getExchange(),
                        message.getExchangeGrantsReceived(),
                        message.getGrantsReceived()),
                ImmutableSet.copyOf(message.getAvoidedTargetsList()),
                nonNegative(message.getLargestItemTokens()));
    }

    /** Returns the count of an exchange, or that of all exchanges if the holder knows of none. */
    private static ReceivedGrants received(long exchange, long count, long inAllExchanges) {
        boolean known = exchange != ReceivedGrants.NO_EXCHANGE;
        return new ReceivedGrants(exchange, Math.max(0, known ? count : inAllExchanges));
    }

    /**
     * Encodes the slots that are held when an exchange begins.
     *
     * @param exchange the number of the exchange
     * @param grantsInAllExchanges as for a demand
     */
    static PeerFrame holdings(
            PoolId pool,
            List<HeldSlot> slots,
            Map<String, Double> requestLimits,
            long exchange,
            long grantsInAllExchanges) {
        SlotHoldings.Builder holdings =
                SlotHoldings.newBuilder()
                        .setPool(encode(pool))
                        .setExchange(exchange)
                        .setGrantsReceived(grantsInAllExchanges);
        requestLimits.forEach(
                (target, limit) ->
                        holdings.addRequestLimits(
                                RequestLimit.newBuilder()
                                        .setTarget(target)
                                        .setRequestsPerSecond(limit)));
        for (HeldSlot slot : slots) {
            holdings.addSlots(
                    HeldSlotMessage.newBuilder()
                            .setTicket(slot.ticket())
                            .setTarget(slot.target())
                            .setBatch(slot.trafficClass() == TrafficClass.BATCH)
                            .setDueMillis(slot.dueMillis())
                            .setReservedTokens(slot.reservedTokens()));
        }
        return PeerFrame.newBuilder().setSlotHoldings(holdings).build();
    }

    static List<HeldSlot> decode(SlotHoldings holdings) {
        return holdings.getSlotsList().stream()
                .map(
                        slot ->
                                new HeldSlot(
                                        slot.getTicket(),
                                        slot.getTarget(),
                                        slot.getBatch() ? TrafficClass.BATCH : TrafficClass.ONLINE,
                                        slot.getDueMillis(),
                                        nonNegative(slot.getReservedTokens())))
                .toList();
    }

    static ReceivedGrants received(SlotHoldings holdings) {
        return received(holdings.getExchange(), 0, holdings.getGrantsReceived());
    }

    static PeerFrame requestLimit(PoolId pool, String target, OptionalDouble limit) {
        RequestLimitReport.Builder report =
                RequestLimitReport.newBuilder().setPool(encode(pool)).setTarget(target);
        limit.ifPresent(report::setRequestsPerSecond);
        return PeerFrame.newBuilder().setRequestLimitReport(report).build();
    }

    static OptionalDouble decode(RequestLimitReport report) {
        return report.hasRequestsPerSecond()
                ? validLimit(report.getRequestsPerSecond())
                : OptionalDouble.empty();
    }

    static OptionalDouble decode(RequestLimit limit) {
        return validLimit(limit.getRequestsPerSecond());
    }

    private static OptionalDouble validLimit(double requestsPerSecond) {
        if (Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0) {
            return OptionalDouble.of(requestsPerSecond);
        }
        LOG.info("slots: invalid request limit ignored limit={}", requestsPerSecond);
        return OptionalDouble.empty();
    }

    static PeerFrame holdingsQuery(PoolId pool) {
        return PeerFrame.newBuilder()
                .setHoldingsQuery(HoldingsQuery.newBuilder().setPool(encode(pool)))
                .build();
    }

    static PeerFrame silence(PoolId pool, String target) {
        return PeerFrame.newBuilder()
                .setSilenceReport(
                        SilenceReport.newBuilder().setPool(encode(pool)).setTarget(target))
                .build();
    }

    static PeerFrame data(PoolId pool, String target) {
        return PeerFrame.newBuilder()
                .setDataReport(DataReport.newBuilder().setPool(encode(pool)).setTarget(target))
                .build();
    }

    /** Encodes a decision for its holder. */
    static PeerFrame decision(PoolId pool, SlotDecision decision) {
        PeerFrame.Builder frame = PeerFrame.newBuilder();
        Pool encodedPool = encode(pool);
        switch (decision) {
            case SlotDecision.Granted granted ->
                    frame.setSlotReply(
                            reply(encodedPool, granted.ticket())
                                    .setGrantedTarget(granted.target())
                                    .setTargetLimited(granted.targetLimited()));
            case SlotDecision.Queued queued ->
                    frame.setSlotReply(reply(encodedPool, queued.ticket()).setQueued(true));
            case SlotDecision.Refused refused ->
                    frame.setSlotReply(
                            reply(encodedPool, refused.ticket()).setRefusal(encode(refused)));
            case SlotDecision.BatchGranted granted ->
                    frame.setBatchGrant(
                            BatchGrant.newBuilder()
                                    .setPool(encodedPool)
                                    .setTicket(granted.ticket())
                                    .setTarget(granted.target())
                                    .setDueMillis(granted.dueMillis())
                                    .setTargetLimited(granted.targetLimited())
                                    .setReservedTokens(granted.reservedTokens())
                                    .setExchange(granted.exchange()));
            case SlotDecision.Preempted preempted ->
                    frame.setSlotRevocation(
                            SlotRevocation.newBuilder()
                                    .setPool(encodedPool)
                                    .setTicket(preempted.ticket())
                                    .setExchange(preempted.exchange()));
            case SlotDecision.HoldingsQueried queried ->
                    frame.setHoldingsQuery(
                            HoldingsQuery.newBuilder()
                                    .setPool(encodedPool)
                                    .setExchange(queried.exchange()));
        }
        return frame.build();
    }

    private static SlotReply.Builder reply(Pool pool, long ticket) {
        return SlotReply.newBuilder().setPool(pool).setTicket(ticket);
    }

    private static SlotRefusal encode(SlotDecision.Refused refused) {
        SlotRefusal.Reason reason =
                switch (refused.reason()) {
                    case FULL -> SlotRefusal.Reason.FULL;
                    case NO_TARGET -> SlotRefusal.Reason.NO_TARGET;
                    case OVERLOADED -> SlotRefusal.Reason.OVERLOADED;
                    case EXPIRED -> SlotRefusal.Reason.EXPIRED;
                    case DISPLACED -> SlotRefusal.Reason.DISPLACED;
                    case POSTPONED -> SlotRefusal.Reason.POSTPONED;
                };
        long waitMillis = Math.min(refused.expectedWait().toMillis(), Integer.MAX_VALUE);
        return SlotRefusal.newBuilder()
                .setReason(reason)
                .setExpectedWaitMillis((int) waitMillis)
                .build();
    }

    static SlotDecision.Refusal decode(SlotRefusal.Reason reason) {
        return switch (reason) {
            case FULL -> SlotDecision.Refusal.FULL;
            case OVERLOADED -> SlotDecision.Refusal.OVERLOADED;
            case EXPIRED -> SlotDecision.Refusal.EXPIRED;
            case DISPLACED -> SlotDecision.Refusal.DISPLACED;
            case POSTPONED -> SlotDecision.Refusal.POSTPONED;
            case NO_TARGET, REASON_UNSPECIFIED, UNRECOGNIZED -> SlotDecision.Refusal.NO_TARGET;
        };
    }

    static Duration expectedWait(SlotRefusal refusal) {
        return Duration.ofMillis(refusal.getExpectedWaitMillis());
    }

    private static int millisUntil(long nanos, long now) {
        return (int) TimeUnit.NANOSECONDS.toMillis(nanos - now);
    }
}
