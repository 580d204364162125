package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.fuchsiaspindle.core.serving.Pace;
import org.fuchsiaspindle.core.serving.RequestQueue;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.serving.TargetModel;
import org.fuchsiaspindle.core.slot.SlotDecision.Refusal;
import org.fuchsiaspindle.core.slot.TargetSlots.Lease;

/**
 * The slots of the targets of one pool, as its coordinator assigns them.
 *
 * <p>An online request gets a free slot of the least loaded target, otherwise the slot of a batch
 * item, otherwise it waits or is refused ({@link WaitingRequests}). A free slot goes to the waiting
 * online request that starts first and, if there is none, to the gateway whose waiting batch item
 * is due first, as far as online requests leave room ({@link BatchRoom}). Load pattern: bursts that
 * exceed the slots for seconds, between which batch items fill the slots.
 *
 * <p>Each method returns the decisions that follow from it. Not thread-safe; times are monotonic
 * nanoseconds.
 */
public final class SlotPool {

    /** Weight of one online request in the average time that one occupies a slot. */
    private static final double HOLD_TIME_SAMPLE_WEIGHT = 0.05;

    /** Assumed time that an online request occupies a slot before one was observed. */
    private static final Duration INITIAL_HOLD_TIME = Duration.ofMillis(300);

    /** Expected work of a request, in multiples of that of an average one. */
    private static final double AVERAGE_COST = 1;

    /** Stands for targets of which the configuration says nothing: memory of unknown size. */
    private static final TargetModel UNKNOWN_MODEL = new TargetModel(0, 1);

    private final OnlineWaves waves = new OnlineWaves();
    private final BatchRoom batchRoom = new BatchRoom();
    private final Map<String, TargetSlots> targets = new LinkedHashMap<>();
    private final PoolWork work = new PoolWork();
    private final TargetChoice choice = new TargetChoice(targets.values(), work);
    private final Map<String, SlotHolder> holders = new LinkedHashMap<>();
    private final WaitingRequests waiting = new WaitingRequests(waves);
    private TargetModel model = UNKNOWN_MODEL;
    private double holdNanos = INITIAL_HOLD_TIME.toNanos();
    private long nextBatchTicket;

    private SlotPool(long firstBatchTicket) {
        nextBatchTicket = firstBatchTicket;
    }

    /**
     * Creates a pool without targets.
     *
     * @param firstBatchTicket the first ticket for slots of batch items; random, so that no holder
     *     has a slot with the same ticket from another coordinator
     */
    public static SlotPool create(long firstBatchTicket) {
        return new SlotPool(firstBatchTicket);
    }

    /** Replaces the targets; slots that are held on removed targets stay until their release. */
    public List<SlotDecision> setTargets(Collection<TargetInstance> instances, long now) {
        targets.values().forEach(TargetSlots::close);
        for (TargetInstance instance : instances) {
            if (!instance.leaving()) {
                target(instance.id()).open(instance.slots());
            }
        }
        removeUnusedTargets();
        return assignFreeSlots(now);
    }

    /** Sets what the configuration says about the targets, empty if they run no model. */
    public void setModel(Optional<TargetModel> newModel) {
        TargetModel known = newModel.orElse(UNKNOWN_MODEL);
        if (!known.equals(model)) {
            model = known;
            work.estimator().setTokensPerEvent(known.tokensPerEvent());
            targets.values().forEach(target -> target.setMemory(known.memoryTokens()));
        }
    }

    /** Sets the listener that is told what is expected of requests and what came of it. */
    public void setWorkListener(WorkListener listener) {
        work.setListener(listener);
    }

    /** Handles the request of a gateway for a slot for an online request. */
    public List<SlotDecision> request(SlotRequest request, long now) {
        checkNotNull(request, "request");
        List<SlotDecision> decisions = new ArrayList<>();
        Optional<TargetSlots> target = choice.forOnline(request, now);
        if (target.isPresent()) {
            grant(request, target.get(), now, decisions);
            waves.record(onlineDemand(), now);
            return decisions;
        }
        Pace pace = pace(now);
        double cost = cost(request);
        Refusal reason = choice.isAnyAcceptable(request, now) ? Refusal.FULL : Refusal.NO_TARGET;
        if (!request.mayWait() || reason == Refusal.NO_TARGET) {
            Duration wait = waiting.expectedWait(request, cost, pace);
            decisions.add(
                    new SlotDecision.Refused(request.holder(), request.ticket(), reason, wait));
            return decisions;
        }
        decisions.addAll(
                waiting.add(request, cost, waiter -> choice.hasRoomForOnline(waiter, now), pace));
        waves.record(onlineDemand(), now);
        return decisions;
    }

    /**
     * Returns the expected work of a request, in multiples of that of an average one. Without
     * workspaces nobody competes, so all requests count alike.
     */
    private double cost(SlotRequest request) {
        return request.workspace().isEmpty()
                ? AVERAGE_COST
                : work.estimator().relativeWork(request.size());
    }

    /** Handles the release of a slot, or the withdrawal of a waiting request. */
    public List<SlotDecision> release(String holder, long ticket, RunReport report, long now) {
        checkNotNull(report, "report");
        SlotHolder state = holders.get(holder);
        Lease lease = state == null ? null : state.leases().remove(ticket);
        if (lease == null) {
            waiting.removeIf(
                    request -> request.ticket() == ticket && request.holder().equals(holder));
            return List.of();
        }
        lease.target().remove(lease);
        recordOutcome(lease, report.outcome(), now);
        work.end(lease, report, now);
        if (lease.trafficClass() == TrafficClass.BATCH) {
            batchRoom.recordRun(report);
        }
        removeUnusedTargets();
        return assignFreeSlots(now);
    }

    private void recordOutcome(Lease lease, LeaseOutcome outcome, long now) {
        TargetReliability reliability = lease.target().reliability();
        switch (outcome) {
            case DONE -> {
                reliability.record(lease.holder(), false, now);
                if (lease.trafficClass() == TrafficClass.ONLINE) {
                    long held = now - lease.grantedNanos();
                    holdNanos += HOLD_TIME_SAMPLE_WEIGHT * (held - holdNanos);
                }
            }
            case FAILED, UNREACHABLE -> reliability.record(lease.holder(), true, now);
            case TARGET_FULL -> reliability.recordFull(now);
            case CANCELLED -> {}
            default -> throw new AssertionError(outcome);
        }
    }

    /** Replaces the batch demand of a gateway. */
    public List<SlotDecision> demand(String holder, BatchDemand demand, long now) {
        SlotHolder state = holder(holder);
        state.setDemand(demand, now);
        List<SlotDecision> decisions = assignFreeSlots(now);
        state.dueQuery(now).ifPresent(decisions::add);
        return decisions;
    }

    /**
     * Records that decisions may not have reached a gateway, or that its releases may be lost,
     * because a connection was replaced or did not take them. A gateway that has used the pool is
     * asked for its slots.
     */
    public List<SlotDecision> recordLoss(String holder, long now) {
        SlotHolder state = holders.get(holder);
        if (state == null) {
            return List.of();
        }
        state.recordLoss();
        return state.dueQuery(now).stream().<SlotDecision>map(query -> query).toList();
    }

    /**
     * Replaces everything that is known of a gateway by the slots that it holds. Batch slots that
     * were granted in the same exchange after the gateway had sent its report are kept; those of
     * another exchange are not, because the gateway returns them.
     *
     * @param holder the gateway, not null
     * @param slots the slots that it holds, not null
     * @param received the batch slots of this coordinator that it had received by then, not null
     * @param now the time
     */
    public List<SlotDecision> replaceHoldings(
            String holder, Collection<HeldSlot> slots, ReceivedGrants received, long now) {
        SlotHolder state = holder(holder);
        boolean sameExchange = received.exchange() == state.exchange();
        removeKnownTo(state, holder, sameExchange ? received.count() : Long.MAX_VALUE);
        state.begin(received);
        for (HeldSlot slot : slots) {
            add(
                    state,
                    new Lease(
                            holder,
                            slot.ticket(),
                            target(slot.target()),
                            slot.trafficClass(),
                            slot.dueMillis(),
                            0,
                            now,
                            ExpectedRun.ofTokens(slot.reservedTokens())));
        }
        List<SlotDecision> decisions = new ArrayList<>();
        preemptExcess(decisions);
        decisions.addAll(assignFreeSlots(now));
        return decisions;
    }

    /** Removes a gateway that was lost, with the slots that it held. */
    public List<SlotDecision> removeHolder(String holder, long now) {
        removeKnownTo(holder(holder), holder, Long.MAX_VALUE);
        holders.remove(holder);
        return assignFreeSlots(now);
    }

    /** Records that a target sends a gateway no data although its requests run there. */
    public void recordSilence(String holder, String target, long now) {
        TargetSlots slots = targets.get(target);
        if (slots != null) {
            slots.recordSilence(holder, now);
        }
    }

    /** Records that a target that a gateway had reported as silent sends it data again. */
    public List<SlotDecision> recordData(String target, long now) {
        TargetSlots slots = targets.get(target);
        if (slots == null) {
            return List.of();
        }
        slots.reliability().recordData();
        return assignFreeSlots(now);
    }

    /**
     * Records how many requests a second a target accepts from all gateways together.
     *
     * @param target the target, not null
     * @param requestsPerSecond its limit, empty if it announces none any more
     * @param now the time
     */
    public List<SlotDecision> limitRequests(
            String target, OptionalDouble requestsPerSecond, long now) {
        checkNotNull(requestsPerSecond, "requestsPerSecond");
        TargetSlots slots = targets.get(target);
        if (slots == null) {
            return List.of();
        }
        slots.limitRequests(requestsPerSecond, now);
        return assignFreeSlots(now);
    }

    /** Refuses the waiting requests whose latest useful start has passed, and fills free slots. */
    public List<SlotDecision> checkTimes(long now) {
        List<SlotDecision> decisions = new ArrayList<>(waiting.refuseExpired(now));
        decisions.addAll(
                waiting.refuseExpectedTimeouts(
                        request -> choice.hasRoomForOnline(request, now), pace(now)));
        decisions.addAll(assignFreeSlots(now));
        holders.values().forEach(holder -> holder.dueQuery(now).ifPresent(decisions::add));
        return decisions;
    }

    /** Returns whether the pool holds no slots, requests or demand, so that it can be dropped. */
    public boolean isIdle() {
        return waiting.size() == 0
                && targets.values().stream().allMatch(TargetSlots::isEmpty)
                && holders.values().stream().allMatch(holder -> holder.demand().waiting() == 0);
    }

    /** Returns the number of waiting online requests. */
    public int waitingRequests() {
        return waiting.size();
    }

    /** Returns whether batch items wait for slots. */
    public boolean hasBatchDemand() {
        return holders.values().stream().anyMatch(holder -> holder.ungrantedItems() > 0);
    }

    /** Returns the number of occupied slots. */
    public int occupiedSlots() {
        return targets.values().stream().mapToInt(TargetSlots::total).sum();
    }

    private TargetSlots target(String id) {
        return targets.computeIfAbsent(
                id,
                newId -> {
                    TargetSlots created = new TargetSlots(newId);
                    created.setMemory(model.memoryTokens());
                    return created;
                });
    }

    private SlotHolder holder(String ip) {
        return holders.computeIfAbsent(ip, SlotHolder::new);
    }

    private void removeUnusedTargets() {
        targets.values()
                .removeIf(
                        target -> {
                            boolean unused = !target.isOpen() && target.isEmpty();
                            if (unused) {
                                work.forgetPrompts(target);
                            }
                            return unused;
                        });
    }

    /** Removes what a gateway holds and wants, but for grants that it had not received. */
    private void removeKnownTo(SlotHolder state, String holder, long grantsReceived) {
        for (Lease lease : List.copyOf(state.leases().values())) {
            if (lease.grantNumber() <= grantsReceived) {
                state.leases().remove(lease.ticket());
                lease.target().remove(lease);
            }
        }
        waiting.removeIf(request -> request.holder().equals(holder));
        removeUnusedTargets();
    }

    private void add(SlotHolder holder, Lease lease) {
        Lease previous = holder.leases().put(lease.ticket(), lease);
        if (previous != null) {
            previous.target().remove(previous);
        }
        lease.target().add(lease);
    }

    /** Preempts the batch items for which online requests leave no slots. */
    private void preemptExcess(List<SlotDecision> decisions) {
        for (TargetSlots target : targets.values()) {
            while (target.isOpen() && target.isOverfull() && preemptFirst(target, decisions)) {
                continue;
            }
        }
    }

    private boolean preemptFirst(TargetSlots target, List<SlotDecision> decisions) {
        Optional<Lease> preempted = target.firstToPreempt();
        preempted.ifPresent(
                lease -> {
                    target.remove(lease);
                    SlotHolder holder = holders.get(lease.holder());
                    holder.leases().remove(lease.ticket());
                    decisions.add(
                            new SlotDecision.Preempted(
                                    lease.holder(), lease.ticket(), holder.exchange()));
                });
        return preempted.isPresent();
    }

    private List<SlotDecision> assignFreeSlots(long now) {
        List<SlotDecision> decisions = new ArrayList<>();
        waves.record(onlineDemand(), now);
        startWaitingRequests(now, decisions);
        startBatchItems(now, decisions);
        return decisions;
    }

    private void startWaitingRequests(long now, List<SlotDecision> decisions) {
        boolean started = true;
        while (started && waiting.size() > 0 && choice.hasSlotForOnline(now)) {
            started = startFirstPossible(now, decisions);
        }
    }

    /** Starts the first waiting request for which a target is available, if there is one. */
    private boolean startFirstPossible(long now, List<SlotDecision> decisions) {
        Optional<SlotRequest> next =
                waiting.next(pace(now), request -> choice.forOnline(request, now).isPresent());
        next.ifPresent(
                request -> {
                    waiting.start(request);
                    TargetSlots target = choice.forOnline(request, now).orElseThrow();
                    grant(request, target, now, decisions);
                });
        return next.isPresent();
    }

    /** Returns the number of slots that online requests hold or wait for. */
    private int onlineDemand() {
        return waiting.size() + targets.values().stream().mapToInt(TargetSlots::online).sum();
    }

    private boolean preemptForOnline(TargetSlots target, long now, List<SlotDecision> decisions) {
        target.firstToPreempt()
                .ifPresent(item -> batchRoom.recordPreemption(now - item.grantedNanos(), now));
        return preemptFirst(target, decisions);
    }

    private void grant(
            SlotRequest request, TargetSlots target, long now, List<SlotDecision> decisions) {
        while (!target.hasRoom(request.size().maxTokens())
                && preemptForOnline(target, now, decisions)) {
            continue;
        }
        add(
                holder(request.holder()),
                new Lease(
                        request.holder(),
                        request.ticket(),
                        target,
                        TrafficClass.ONLINE,
                        0,
                        0,
                        now,
                        work.start(request, target, now)));
        target.requestGranted(now);
        decisions.add(
                new SlotDecision.Granted(
                        request.holder(), request.ticket(), target.id(), target.hasRequestLimit()));
    }

    private void startBatchItems(long now, List<SlotDecision> decisions) {
        List<TargetSlots> free =
                choice.openToBatchItems(
                        target ->
                                waiting.anyMatch(
                                        request -> !request.avoided().contains(target.id())),
                        now);
        int startable =
                free.stream().mapToInt(TargetSlots::freeSlots).sum() - batchRoom.keptFree(now);
        if (startable <= 0) {
            return;
        }
        List<Map.Entry<String, SlotHolder>> demands = new ArrayList<>();
        for (Map.Entry<String, SlotHolder> entry : holders.entrySet()) {
            if (entry.getValue().ungrantedItems() > 0) {
                demands.add(entry);
            }
        }
        demands.sort(Comparator.comparingLong(entry -> entry.getValue().demand().dueMillis()));
        for (Map.Entry<String, SlotHolder> entry : demands) {
            SlotHolder holder = entry.getValue();
            while (startable > 0
                    && holder.ungrantedItems() > 0
                    && startBatchItem(entry.getKey(), holder, free, now, decisions)) {
                startable--;
            }
        }
    }

    private boolean startBatchItem(
            String ip,
            SlotHolder holder,
            List<TargetSlots> free,
            long now,
            List<SlotDecision> decisions) {
        Optional<TargetSlots> chosen = choice.forBatchItem(free, holder.demand(), now);
        if (chosen.isEmpty()) {
            return false;
        }
        long ticket = nextBatchTicket++;
        long dueMillis = holder.demand().dueMillis();
        int reservedTokens = holder.demand().largestItemTokens();
        add(
                holder,
                new Lease(
                        ip,
                        ticket,
                        chosen.get(),
                        TrafficClass.BATCH,
                        dueMillis,
                        holder.countGrant(now),
                        now,
                        PoolWork.startItem(chosen.get(), reservedTokens)));
        chosen.get().requestGranted(now);
        decisions.add(
                new SlotDecision.BatchGranted(
                        ip,
                        ticket,
                        holder.exchange(),
                        chosen.get().id(),
                        dueMillis,
                        chosen.get().hasRequestLimit(),
                        reservedTokens));
        return true;
    }

    /** Returns how fast waiting requests start if online requests hold all slots. */
    private Pace pace(long now) {
        double slots =
                targets.values().stream()
                        .filter(TargetSlots::isOpen)
                        .mapToDouble(target -> target.slotsForOnline(holdNanos))
                        .sum();
        Duration holdTime = Duration.ofNanos((long) holdNanos);
        return new Pace(now, RequestQueue.timePerRequest(slots, holdTime));
    }
}
