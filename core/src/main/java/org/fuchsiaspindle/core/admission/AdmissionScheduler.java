package org.fuchsiaspindle.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Schedules online requests and batch items at one target.
 *
 * <p>A pure state machine: each method is one input with its monotonic time, and {@link #decisions}
 * returns what to do. Not thread-safe. An input costs O(log n) in the number of waiting items, plus
 * the work that it starts or refuses.
 */
public final class AdmissionScheduler {

    /**
     * Time over which batch starts refill free slots, within the bound of 100 ms. Starting all at
     * once would put many prefills into one step and delay the tokens of running online streams.
     */
    private static final long REFILL_SPREAD_NANOS = 80_000_000L;

    /** Longest time between two batch starts while slots are free and no online stream runs. */
    private static final long MAX_START_GAP_NANOS = 10_000_000L;

    /** Batch starts wait this long after an online start, whose prefill they would slow down. */
    private static final long ONLINE_PREFILL_NANOS = 25_000_000L;

    /** Batch starts are never withheld longer than this in total while a slot is free. */
    private static final long MAX_START_DELAY_NANOS = 60_000_000L;

    /** The headroom decays with time, without any event, so it is recomputed at this interval. */
    private static final long HEADROOM_RECHECK_NANOS = 100_000_000L;

    /** Batch items with less time than this to their deadline start ahead of the fair order. */
    private static final long AT_RISK_NANOS = 60_000_000_000L;

    /** Weight of a new sample in the moving average of the online service time. */
    private static final double SERVICE_TIME_SAMPLE_WEIGHT = 0.1;

    /** Running streams may exceed a lowered limit by one more than the limit divided by this. */
    private static final int EXCESS_DIVISOR = 8;

    /**
     * A stream without a token after this many steps is assumed to wait in the target's own queue.
     */
    private static final long MAX_FIRST_TOKEN_STEPS = 6;

    /** Engines that split long prompts take one more step for each chunk of this size. */
    private static final long PREFILL_TOKENS_PER_STEP = 256;

    private static final Comparator<Running> FEWEST_TOKENS_FIRST =
            Comparator.comparingLong((Running running) -> running.tokens)
                    .thenComparing(running -> running.id, Comparator.reverseOrder());

    private static final Comparator<Running> FIRST_TOKEN_DUE_FIRST =
            Comparator.comparingLong((Running running) -> running.firstTokenDueStep)
                    .thenComparingLong(running -> running.id);

    private static final class Running {
        private final long id;
        private final BatchRequest batch;
        private final long startNanos;
        private final long firstTokenDueStep;
        private long tokens;
        private long lastTokenNanos;
        private boolean hasToken;

        private Running(long id, BatchRequest batch, long startNanos, long firstTokenDueStep) {
            this.id = id;
            this.batch = batch;
            this.startNanos = startNanos;
            this.firstTokenDueStep = firstTokenDueStep;
            this.tokens = batch == null ? 0 : batch.tokens();
        }
    }

    private record Waiting(WaitingQueue queue, WaitingQueue.Entry entry, BatchRequest batch) {}

    private AdmissionPolicy policy;
    private final ConcurrencyLimit limit;
    private final BurstHeadroom headroom;
    private final WaitingQueue[] online = new WaitingQueue[Contract.MAX_URGENCY + 1];
    private final WaitingQueue batch;
    private final WaitingQueue suspects;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Map<Long, Running> running = new HashMap<>();
    private final TreeSet<Running> preemptable = new TreeSet<>(FEWEST_TOKENS_FIRST);
    private final TreeSet<Running> awaitingFirstToken = new TreeSet<>(FIRST_TOKEN_DUE_FIRST);
    private List<Decision> decisions = new ArrayList<>();
    private int onlineWaiting;
    private int onlineRunning;
    private int suspectsRunning;
    private boolean open = true;
    private double onlineServiceNanos;
    private long nextBatchStartNanos;
    private long refillDueNanos;
    private long refillGapNanos;
    private long nextHeadroomCheckNanos = Long.MAX_VALUE;
    private long targetSteps;
    private Running stepReference;
    private int targetWaiting;
    private boolean refilling;

    private AdmissionScheduler(AdmissionPolicy policy, long nowNanos) {
        this.policy = policy;
        limit = new ConcurrencyLimit(policy, nowNanos);
        headroom = new BurstHeadroom(policy, nowNanos);
        for (int urgency = 0; urgency < online.length; urgency++) {
            online[urgency] = new WaitingQueue();
        }
        batch = new WaitingQueue();
        suspects = new WaitingQueue();
        nextBatchStartNanos = nowNanos;
    }

    /**
     * Creates a scheduler with empty queues.
     *
     * @param policy the parameters, not null
     * @param nowNanos the monotonic time
     */
    public static AdmissionScheduler create(AdmissionPolicy policy, long nowNanos) {
        return new AdmissionScheduler(checkNotNull(policy, "policy"), nowNanos);
    }

    /**
     * Applies the policy of a changed configuration; queues and learned limits are kept.
     *
     * @param newPolicy the new parameters, not null
     */
    public void apply(AdmissionPolicy newPolicy) {
        policy = checkNotNull(newPolicy, "newPolicy");
        limit.apply(newPolicy);
        headroom.apply(newPolicy);
    }

    /**
     * Returns the decisions since the last call, in the order in which they must be carried out.
     */
    public List<Decision> decisions() {
        if (decisions.isEmpty()) {
            return List.of();
        }
        List<Decision> pending = decisions;
        decisions = new ArrayList<>();
        return pending;
    }

    /** Starts, queues or refuses a new online request. */
    public void onlineArrived(OnlineRequest request, long nowNanos) {
        checkUnused(request.id());
        headroom.arrived(nowNanos);
        if (onlineWaiting >= policy.maxWaitingOnline()) {
            decisions.add(
                    new Decision.Refuse(request.id(), ResultCode.OVERLOADED, expectedWaitNanos()));
            return;
        }
        WaitingQueue queue = online[request.urgency()];
        WaitingQueue.Entry entry =
                new WaitingQueue.Entry(
                        request.id(),
                        request.customer(),
                        request.weight(),
                        request.deadlineNanos(),
                        request.cost(),
                        false);
        if (request.deadlineNanos() != OnlineRequest.NO_DEADLINE
                && expectedWaitNanos(request.urgency()) > request.deadlineNanos() - nowNanos) {
            decisions.add(
                    new Decision.Refuse(
                            request.id(), ResultCode.DEADLINE_UNREACHABLE, expectedWaitNanos()));
            return;
        }
        queue.add(entry);
        waiting.put(request.id(), new Waiting(queue, entry, null));
        onlineWaiting++;
        dispatch(nowNanos);
    }

    /**
     * Adds a batch item to the local queue.
     *
     * @return false if the queue is full and the item was not added
     */
    public boolean batchArrived(BatchRequest request, long nowNanos) {
        checkUnused(request.id());
        if (batch.size() + suspects.size() >= policy.maxWaitingBatch()) {
            return false;
        }
        addBatch(request, false);
        dispatch(nowNanos);
        return true;
    }

    /** Records output tokens of a running stream; unknown identifiers are ignored. */
    public void tokensObserved(long id, long tokens, long nowNanos) {
        Running stream = running.get(id);
        if (stream == null || tokens <= 0) {
            return;
        }
        if (stream.hasToken) {
            limit.observe((nowNanos - stream.lastTokenNanos) / tokens, running.size(), nowNanos);
        } else {
            awaitingFirstToken.remove(stream);
        }
        countSteps(stream, tokens);
        stream.hasToken = true;
        stream.lastTokenNanos = nowNanos;
        if (stream.batch != null) {
            preemptable.remove(stream);
            stream.tokens += tokens;
            preemptable.add(stream);
        } else {
            stream.tokens += tokens;
        }
        preemptForTargetQueue(nowNanos);
        dispatch(nowNanos);
    }

    /** Records the length of the target's own queue, which the target reports with a delay. */
    public void targetReported(int waitingInTarget, long nowNanos) {
        checkArgument(waitingInTarget >= 0, "negative queue length: %s", waitingInTarget);
        targetWaiting = waitingInTarget;
        if (waitingInTarget == 0) {
            limit.targetQueueEmpty();
        }
        dispatch(nowNanos);
    }

    /**
     * Removes a request or item that ended for any reason, whether it was waiting or running;
     * unknown identifiers are ignored.
     */
    public void ended(long id, long nowNanos) {
        Waiting entry = waiting.remove(id);
        if (entry != null) {
            entry.queue().remove(entry.entry());
            if (entry.batch() == null) {
                onlineWaiting--;
            }
        }
        Running stream = running.remove(id);
        if (stream != null) {
            release(stream);
            if (stream.batch == null) {
                observeServiceTime(nowNanos - stream.startNanos);
            }
        }
        dispatch(nowNanos);
    }

    /**
     * Refuses online requests whose deadline has passed and starts batch items that were delayed.
     */
    public void tick(long nowNanos) {
        dispatch(nowNanos);
    }

    /** Allows or suspends starts, for example while the target does not respond. */
    public void setOpen(boolean value, long nowNanos) {
        open = value;
        dispatch(nowNanos);
    }

    /** Returns the identifiers of all online requests that wait. */
    public List<Long> waitingOnline() {
        return waiting.entrySet().stream()
                .filter(entry -> entry.getValue().batch() == null)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the time of the next useful tick, or {@code Long.MAX_VALUE} if none is needed. */
    public long nextTickNanos() {
        long next =
                refilling ? Math.min(nextBatchStartNanos, refillDueNanos) : nextHeadroomCheckNanos;
        if (onlineWaiting > 0) {
            for (WaitingQueue queue : online) {
                if (!queue.isEmpty()) {
                    next = Math.min(next, queue.earliest().deadlineNanos());
                }
            }
        }
        return next;
    }

    /** Returns the load at the given monotonic time. */
    public AdmissionLoad load(long nowNanos) {
        return new AdmissionLoad(
                onlineRunning,
                onlineWaiting,
                running.size() - onlineRunning,
                batch.size() + suspects.size(),
                limit.limit(),
                headroom.slots(limit.limit(), nowNanos),
                expectedWaitNanos(),
                limit.stepNanos());
    }

    private void dispatch(long nowNanos) {
        if (onlineWaiting > 0) {
            refuseOverdue(nowNanos);
        }
        if (!open) {
            refilling = false;
            nextHeadroomCheckNanos = Long.MAX_VALUE;
            return;
        }
        while (onlineWaiting > 0 && freeOnlineSlot()) {
            startOnline(nowNanos);
        }
        if (onlineRunning > 0) {
            preemptExcess();
        }
        startBatch(nowNanos);
    }

    private void refuseOverdue(long nowNanos) {
        for (WaitingQueue queue : online) {
            WaitingQueue.Entry first = queue.earliest();
            while (first != null && first.deadlineNanos() <= nowNanos) {
                queue.remove(first);
                waiting.remove(first.id());
                onlineWaiting--;
                decisions.add(
                        new Decision.Refuse(
                                first.id(), ResultCode.DEADLINE_UNREACHABLE, expectedWaitNanos()));
                first = queue.earliest();
            }
        }
    }

    /**
     * Preempts batch items until a slot is free; returns false if online requests hold all slots.
     */
    private boolean freeOnlineSlot() {
        // If the limit fell below the number of running streams, one preemption is not enough.
        while (running.size() >= limit.limit() && !preemptable.isEmpty()) {
            preempt(preemptable.first());
        }
        return running.size() < limit.onlineLimit();
    }

    /**
     * Preempts batch items if the limit fell well below the number of running streams; a small
     * excess disappears as streams finish.
     */
    private void preemptExcess() {
        int maxStreams = limit.limit();
        if (running.size() > maxStreams + 1 + maxStreams / EXCESS_DIVISOR) {
            while (running.size() > maxStreams && !preemptable.isEmpty()) {
                preempt(preemptable.first());
            }
        }
    }

    /**
     * Counts the target's steps by the tokens of one reference stream, so that tokens of other
     * streams in the same step are not counted again.
     */
    private void countSteps(Running stream, long tokens) {
        if (stepReference == stream) {
            targetSteps += tokens;
        } else if (stepReference == null) {
            stepReference = stream;
        }
    }

    /**
     * Preempts batch items that wait in the target's own queue, or that keep an online stream
     * waiting there.
     *
     * <p>A missing first token counts only while the target reports a queue: on an overloaded
     * machine the token may be late for other reasons, and lowering the limit each time would leave
     * most of the target idle.
     */
    private void preemptForTargetQueue(long nowNanos) {
        if (targetWaiting == 0) {
            return;
        }
        while (!awaitingFirstToken.isEmpty()
                && awaitingFirstToken.first().firstTokenDueStep < targetSteps) {
            Running queued = awaitingFirstToken.pollFirst();
            limit.targetQueued(running.size() - 1, nowNanos);
            if (queued.batch != null) {
                preempt(queued);
            } else if (!preemptable.isEmpty()) {
                preempt(preemptable.first());
            }
        }
    }

    private void preempt(Running stream) {
        running.remove(stream.id);
        release(stream);
        addBatch(stream.batch.withTokens(stream.tokens), true);
        decisions.add(new Decision.Preempt(stream.id));
    }

    private Running run(WaitingQueue.Entry entry, BatchRequest item, long nowNanos) {
        long steps = MAX_FIRST_TOKEN_STEPS + entry.cost() / PREFILL_TOKENS_PER_STEP;
        Running stream = new Running(entry.id(), item, nowNanos, targetSteps + steps);
        running.put(entry.id(), stream);
        awaitingFirstToken.add(stream);
        decisions.add(new Decision.Start(entry.id()));
        return stream;
    }

    private void startOnline(long nowNanos) {
        for (WaitingQueue queue : online) {
            WaitingQueue.Entry entry = queue.next();
            if (entry != null) {
                queue.take(entry);
                waiting.remove(entry.id());
                onlineWaiting--;
                onlineRunning++;
                run(entry, null, nowNanos);
                nextBatchStartNanos =
                        Math.max(nextBatchStartNanos, nowNanos + ONLINE_PREFILL_NANOS);
                return;
            }
        }
    }

    private void startBatch(long nowNanos) {
        nextHeadroomCheckNanos = Long.MAX_VALUE;
        while (true) {
            int maxStreams = limit.limit();
            int reserved = headroom.slots(maxStreams, nowNanos);
            int free = maxStreams - reserved - running.size();
            WaitingQueue.Entry entry = free > 0 && onlineWaiting == 0 ? nextBatch(nowNanos) : null;
            if (entry == null) {
                refilling = false;
                if (reserved > 0 && !batch.isEmpty()) {
                    nextHeadroomCheckNanos = nowNanos + HEADROOM_RECHECK_NANOS;
                }
                return;
            }
            long gapNanos = startGapNanos(free);
            if (!refilling) {
                refilling = true;
                refillDueNanos = nowNanos + MAX_START_DELAY_NANOS;
                refillGapNanos = gapNanos;
            }
            // The gap grows as slots fill up; keep the smallest, so that the last starts are not
            // delayed.
            refillGapNanos = Math.min(refillGapNanos, gapNanos);
            if (nowNanos < nextBatchStartNanos && nowNanos < refillDueNanos) {
                return;
            }
            Waiting item = waiting.remove(entry.id());
            item.queue().take(entry);
            preemptable.add(run(entry, item.batch(), nowNanos));
            if (item.batch().suspect()) {
                suspectsRunning++;
            }
            nextBatchStartNanos = nowNanos + refillGapNanos;
            refillDueNanos = nowNanos + MAX_START_DELAY_NANOS;
        }
    }

    /**
     * Returns the time between two batch starts; up to one step while online streams run, so that
     * prefills fall into different steps.
     */
    private long startGapNanos(int free) {
        long longestGapNanos =
                onlineRunning > 0
                        ? Math.max(MAX_START_GAP_NANOS, limit.stepNanos())
                        : MAX_START_GAP_NANOS;
        return Math.min(longestGapNanos, REFILL_SPREAD_NANOS / free);
    }

    /**
     * Returns the batch item to start next, or null; at most one item that is suspected of crashing
     * the target runs at a time.
     */
    private WaitingQueue.Entry nextBatch(long nowNanos) {
        if (suspectsRunning == 0 && !suspects.isEmpty()) {
            return suspects.next();
        }
        WaitingQueue.Entry earliest = batch.earliest();
        if (earliest != null && earliest.deadlineNanos() - nowNanos < AT_RISK_NANOS) {
            return earliest;
        }
        return batch.next();
    }

    private void addBatch(BatchRequest request, boolean resumed) {
        WaitingQueue queue = request.suspect() ? suspects : batch;
        WaitingQueue.Entry entry =
                new WaitingQueue.Entry(
                        request.id(),
                        request.customer(),
                        request.weight(),
                        request.deadlineNanos(),
                        request.cost(),
                        resumed);
        queue.add(entry);
        waiting.put(request.id(), new Waiting(queue, entry, request));
    }

    private void release(Running stream) {
        awaitingFirstToken.remove(stream);
        if (stepReference == stream) {
            stepReference = null;
        }
        if (stream.batch == null) {
            onlineRunning--;
            return;
        }
        preemptable.remove(stream);
        if (stream.batch.suspect()) {
            suspectsRunning--;
        }
    }

    private void observeServiceTime(long nanos) {
        onlineServiceNanos =
                onlineServiceNanos == 0
                        ? nanos
                        : onlineServiceNanos
                                + SERVICE_TIME_SAMPLE_WEIGHT * (nanos - onlineServiceNanos);
    }

    /** Estimates the wait of a new online request of the least urgency. */
    private long expectedWaitNanos() {
        return expectedWaitNanos(Contract.MAX_URGENCY);
    }

    /**
     * Estimates the wait of a new request of an urgency; 0 while a slot is free or held by a batch
     * item.
     */
    private long expectedWaitNanos(int urgency) {
        int maxStreams = limit.onlineLimit();
        if (onlineRunning + onlineWaiting < maxStreams) {
            return 0;
        }
        int ahead = 0;
        for (int i = 0; i <= urgency; i++) {
            ahead += online[i].size();
        }
        return (long) (onlineServiceNanos * (ahead + 1) / maxStreams);
    }

    private void checkUnused(long id) {
        checkArgument(
                !waiting.containsKey(id) && !running.containsKey(id),
                "duplicate request or item id: %s",
                id);
    }
}
