package org.fuchsiaspindle.daemon.agent;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.admission.AdmissionLoad;
import org.fuchsiaspindle.core.admission.AdmissionPolicy;
import org.fuchsiaspindle.core.admission.AdmissionScheduler;
import org.fuchsiaspindle.core.admission.BatchRequest;
import org.fuchsiaspindle.core.admission.Decision;
import org.fuchsiaspindle.core.admission.OnlineRequest;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.wire.proto.BatchItem;
import org.fuchsiaspindle.wire.proto.BatchResult;
import org.fuchsiaspindle.wire.proto.BatchReturn;
import org.fuchsiaspindle.wire.proto.Execute;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Header;
import org.fuchsiaspindle.wire.proto.ReturnedItem;
import org.fuchsiaspindle.wire.proto.Usage;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts work from entries and starts it at the target as the scheduler decides.
 *
 * <p>All methods run on the agent's event loop, except where noted.
 */
final class AdmissionController implements TargetRun.Events {

    private static final Logger LOG = LoggerFactory.getLogger(AdmissionController.class);

    /** Typical size of a token of English text, used to estimate the length of a prompt. */
    private static final int BYTES_PER_TOKEN = 4;

    private static final int BAD_REQUEST = 400;

    /**
     * Statuses with which an engine refuses a stream before it runs: the model is not loaded, or
     * the engine is overloaded or starting. The item can run on another target, or here later.
     */
    private static final ImmutableSet<Integer> NOT_EXECUTED_STATUSES =
            ImmutableSet.of(404, 429, 503);

    private final TargetClient client;
    private final AgentLoop loop;
    private final Clock clock;
    private final AgentTiming timing;
    private final AgentMetrics metrics;
    private final AdmissionScheduler scheduler;
    private final RunCancellation cancellation;
    private final RunStarter starter;
    private final ReplySender replies;
    private final Map<FleetConnection, EntryPeer> peers = new LinkedHashMap<>();
    private final WorkRegistry work = new WorkRegistry();
    private final AttemptLog attempts = new AttemptLog();
    private Runnable changeListener = () -> {};
    private Runnable lossListener = () -> {};
    private Runnable idleListener = () -> {};
    private long nextTickAtNanos = Long.MAX_VALUE;
    private volatile boolean targetUp;
    private boolean leaving;
    private boolean settling;
    private Duration lastPause = Duration.ZERO;

    private AdmissionController(
            AdmissionScheduler scheduler,
            TargetClient client,
            AgentLoop loop,
            Clock clock,
            AgentTiming timing,
            AgentMetrics metrics) {
        this.scheduler = scheduler;
        this.client = client;
        this.loop = loop;
        this.clock = clock;
        this.timing = timing;
        this.metrics = metrics;
        this.cancellation = new RunCancellation(client, loop);
        this.replies = new ReplySender(loop, metrics, this::delivered);
        this.starter = new RunStarter(client, loop, clock, timing.sendTimeout());
        scheduler.setOpen(false, clock.nanoTime());
    }

    /** Creates a controller that accepts no work until the target is reported up. */
    static AdmissionController create(
            AdmissionScheduler scheduler,
            TargetClient client,
            AgentLoop loop,
            Clock clock,
            AgentTiming timing,
            AgentMetrics metrics) {
        return new AdmissionController(
                checkNotNull(scheduler, "scheduler"),
                checkNotNull(client, "client"),
                checkNotNull(loop, "loop"),
                checkNotNull(clock, "clock"),
                checkNotNull(timing, "timing"),
                checkNotNull(metrics, "metrics"));
    }

    /** Sets the listener that is called when the load may have changed. */
    void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Sets the listener that is called when an exchange with the target has failed. */
    void onLoss(Runnable listener) {
        lossListener = listener;
    }

    /** Sets the listener that is called when this agent is leaving and no work is left. */
    void onIdle(Runnable listener) {
        idleListener = listener;
    }

    /** Returns the connected entries. */
    Collection<EntryPeer> peers() {
        return peers.values();
    }

    /** Returns the state of the queues. */
    AdmissionLoad load() {
        return scheduler.load(clock.nanoTime());
    }

    /** Applies the policy of a changed configuration. */
    void apply(AdmissionPolicy policy) {
        scheduler.apply(policy);
        scheduler.tick(clock.nanoTime());
        changed();
    }

    /** Passes the queue length from the target's load report to the scheduler. */
    void reportTargetQueue(int waitingInTarget) {
        scheduler.targetReported(waitingInTarget, clock.nanoTime());
        applyDecisions();
    }

    /** Returns true while any work runs at the target or waits in its queue. */
    boolean isBusy() {
        AdmissionLoad load = load();
        return load.onlineRunning() + load.batchRunning() > 0;
    }

    boolean isTargetUp() {
        return targetUp;
    }

    boolean isLeaving() {
        return leaving;
    }

    void connectionOpened(FleetConnection connection) {
        // A new connection of the same instance means that the entry has abandoned the old one.
        for (EntryPeer old : List.copyOf(peers.values())) {
            if (old.connection().peer().instanceId().equals(connection.peer().instanceId())) {
                connectionClosed(old.connection());
                old.connection().close();
            }
        }
        peers.put(connection, new EntryPeer(connection));
        changeListener.run();
    }

    /** Drops all work of a connection; the lease holder of the batch items schedules them again. */
    void connectionClosed(FleetConnection connection) {
        EntryPeer peer = peers.remove(connection);
        if (peer == null) {
            return;
        }
        for (OnlineWork call : List.copyOf(peer.streams().values())) {
            drop(call);
        }
        for (BatchWork item : List.copyOf(peer.items().values())) {
            drop(item);
        }
        changed();
    }

    void execute(FleetConnection connection, Frame frame) {
        EntryPeer peer = peers.get(connection);
        if (peer == null || !peer.acceptStream(frame.getStreamId())) {
            LOG.debug("admit: duplicate stream dropped stream={}", frame.getStreamId());
            return;
        }
        Execute execute = frame.getExecute();
        OnlineWork call = new OnlineWork(work.nextId(), peer, frame.getStreamId(), execute);
        try {
            checkAcceptable(execute, call);
        } catch (FuchsiaspindleException e) {
            replies.refuse(call, e.code(), e.executed(), e.getMessage());
            return;
        }
        attempts.record(execute.getRequestId(), execute.getAttempt());
        work.add(call);
        peer.streams().put(call.streamId(), call);
        long now = clock.nanoTime();
        scheduler.onlineArrived(
                new OnlineRequest(
                        call.id(),
                        execute.getCustomer(),
                        Math.clamp(execute.getUrgency(), 0, 9),
                        Math.max(1, execute.getWeight()),
                        deadline(execute.getTimeLeftMs(), now),
                        1L + execute.getPromptTokens() + execute.getMaxTokens()),
                now);
        changed();
    }

    void cancel(FleetConnection connection, long streamId) {
        EntryPeer peer = peers.get(connection);
        OnlineWork call = peer == null ? null : peer.streams().get(streamId);
        if (call == null) {
            return;
        }
        boolean sent = call.run() != null && cancellation.cancel(call.run());
        call.setRun(null);
        call.discardQueued();
        end(call);
        replies.refuse(
                call,
                ResultCode.CANCELLED,
                sent ? Executed.UNKNOWN : Executed.NO,
                "cancelled by the entry");
        changed();
    }

    void window(FleetConnection connection, long streamId, int bytes) {
        EntryPeer peer = peers.get(connection);
        OnlineWork call = peer == null ? null : peer.streams().get(streamId);
        if (call != null) {
            replies.grant(call, bytes);
        }
    }

    void batchItems(FleetConnection connection, List<BatchItem> items) {
        EntryPeer peer = peers.get(connection);
        if (peer == null) {
            return;
        }
        List<ReturnedItem> returned = new ArrayList<>();
        for (BatchItem item : items) {
            BatchWork entry = new BatchWork(work.nextId(), peer, item);
            if (peer.isKnown(entry.key())) {
                LOG.debug("admit: duplicate item dropped key={}", entry.key());
            } else if (!targetUp || leaving || !work.hasRoomFor(entry)) {
                returned.add(entry.returned(false));
            } else if (scheduler.batchArrived(request(entry), clock.nanoTime())) {
                work.add(entry);
                peer.items().put(entry.key(), entry);
                // The scheduler may have decided to start the item immediately.
                applyDecisions();
            } else {
                returned.add(entry.returned(false));
            }
        }
        returnItems(peer, returned);
        changed();
    }

    void batchCancel(FleetConnection connection, String job) {
        EntryPeer peer = peers.get(connection);
        if (peer == null) {
            return;
        }
        List<ReturnedItem> returned = new ArrayList<>();
        for (BatchWork item : List.copyOf(peer.items().values())) {
            if (item.item().getJobId().equals(job)) {
                returned.add(drop(item).returned(false));
            }
        }
        returnItems(peer, returned);
        changed();
    }

    /** Starts to accept work. */
    void markTargetUp() {
        if (targetUp) {
            return;
        }
        targetUp = true;
        LOG.info("admit: target up");
        updateOpen();
        changed();
    }

    /**
     * Stops accepting work and returns all work that has not started.
     *
     * <p>Running work continues: if the target's process has ended, its connections fail anyway,
     * and a slow answer to a probe alone must not abort streams.
     */
    void markTargetDown(String reason) {
        if (!targetUp) {
            return;
        }
        targetUp = false;
        LOG.warn("admit: target down reason=\"{}\" running={}", reason, work.runs().size());
        updateOpen();
        client.closeIdle();
        peers.values().forEach(EntryPeer::scheduleCacheReset);
        for (Work entry : work.all()) {
            if (entry.run() == null) {
                failLost(entry, false, reason);
            }
        }
        changed();
    }

    /** Stops accepting work and ends all running work, because the target makes no progress. */
    void markTargetHung(String reason) {
        markTargetDown(reason);
        for (TargetRun run : work.runs()) {
            boolean sent = cancellation.cancel(run);
            run.work().setRun(null);
            failLost(run.work(), sent, reason);
        }
        changed();
    }

    /** Returns true if streams run but none has received anything within the hang timeout. */
    boolean isTargetHung() {
        return work.areStreamsSilentSince(clock.nanoTime() - timing.hangTimeout().toNanos());
    }

    /** Stops accepting work and returns all batch work immediately; running requests continue. */
    void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        for (long id : scheduler.waitingOnline()) {
            OnlineWork call = (OnlineWork) work.find(id).orElseThrow();
            end(call);
            replies.refuse(call, ResultCode.TARGET_LEAVING, Executed.NO, "the target is leaving");
        }
        for (EntryPeer peer : peers.values()) {
            List<ReturnedItem> returned = new ArrayList<>();
            for (BatchWork item : List.copyOf(peer.items().values())) {
                returned.add(drop(item).returned(false));
            }
            returnItems(peer, returned);
        }
        changed();
    }

    /** Ends all remaining work when the grace period is over. */
    void abortAll() {
        for (Work entry : work.all()) {
            TargetRun run = entry.run();
            boolean sent = run != null && cancellation.cancel(run);
            entry.setRun(null);
            failLost(entry, sent, "the grace period is over");
        }
    }

    /** Handles a pause of the whole process. */
    void onPause(Duration pause) {
        if (pause.compareTo(timing.longPauseThreshold()) >= 0) {
            // The entries have closed their connections and may have sent the work elsewhere.
            for (FleetConnection connection : List.copyOf(peers.keySet())) {
                connectionClosed(connection);
                connection.close();
            }
        }
        // Cancellations that arrived during the pause are read before anything starts.
        settling = true;
        lastPause = pause;
        updateOpen();
        loop.after(
                timing.settleTime().toNanos(),
                () -> {
                    settling = false;
                    lastPause = Duration.ZERO;
                    updateOpen();
                    changed();
                });
    }

    @Override
    public void onSending(TargetRun run) {
        switch (run.work()) {
            case OnlineWork call -> call.sendStarted();
            case BatchWork item -> item.markStarted();
        }
    }

    @Override
    public void onTokens(TargetRun run, String text, int count) {
        Work entry = run.work();
        if (entry.run() != run) {
            return;
        }
        switch (entry) {
            case OnlineWork call -> replies.chunk(call, text, count);
            case BatchWork item -> item.append(text, count);
        }
        metrics.countTokens(count);
        scheduler.tokensObserved(entry.id(), count, clock.nanoTime());
        applyDecisions();
    }

    @Override
    public void onFinished(TargetRun run, String reason, Usage usage) {
        Work entry = run.work();
        if (entry.run() != run) {
            return;
        }
        entry.setRun(null);
        end(entry);
        switch (entry) {
            case OnlineWork call -> replies.end(call, Replies.finished(call, reason, usage));
            case BatchWork item -> sendResult(item, item.finished(reason, usage));
        }
        changed();
    }

    @Override
    public void onAnswer(
            TargetRun run, int status, ImmutableList<Header> headers, ByteString body) {
        Work entry = run.work();
        if (entry.run() != run) {
            return;
        }
        entry.setRun(null);
        end(entry);
        switch (entry) {
            case OnlineWork call when call.isService() ->
                    replies.end(call, Replies.answered(call, status, headers, body));
            case OnlineWork call -> replies.refuseFailed(call, status, body);
            case BatchWork item when NOT_EXECUTED_STATUSES.contains(status) -> {
                item.markNotStarted();
                returnItems(item.peer(), List.of(item.returned(false)));
            }
            case BatchWork item -> sendResult(item, item.failed(status, Replies.shortText(body)));
        }
        changed();
    }

    @Override
    public void onLost(TargetRun run, boolean sent, String reason) {
        Work entry = run.work();
        if (entry.run() != run) {
            return;
        }
        entry.setRun(null);
        failLost(entry, sent, reason);
        lossListener.run();
        changed();
    }

    /** Refuses or returns work that the target did not complete. */
    private void failLost(Work entry, boolean sent, String reason) {
        end(entry);
        switch (entry) {
            case OnlineWork call ->
                    replies.refuse(
                            call,
                            leaving ? ResultCode.TARGET_LEAVING : ResultCode.TARGET_LOST,
                            sent ? Executed.UNKNOWN : Executed.NO,
                            reason);
            case BatchWork item -> returnItems(item.peer(), List.of(item.returned(sent)));
        }
    }

    /** Throws if the request is refused without asking the scheduler. */
    private void checkAcceptable(Execute execute, OnlineWork call) {
        attempts.check(execute.getRequestId(), execute.getAttempt());
        if (leaving) {
            throw new FuchsiaspindleException(ResultCode.TARGET_LEAVING, "the target is leaving");
        }
        if (!targetUp) {
            throw new FuchsiaspindleException(ResultCode.TARGET_LOST, "the target is down")
                    .withExecuted(Executed.NO);
        }
        if (!work.hasRoomFor(call)) {
            throw new FuchsiaspindleException(
                    ResultCode.OVERLOADED, "waiting requests hold " + work.bytes() + " bytes");
        }
    }

    private long deadline(long timeLeftMs, long now) {
        if (timeLeftMs <= 0) {
            return OnlineRequest.NO_DEADLINE;
        }
        // A message that is read after a pause may have been buffered during the whole pause.
        return now + Duration.ofMillis(timeLeftMs).minus(lastPause).toNanos();
    }

    private BatchRequest request(BatchWork entry) {
        BatchItem item = entry.item();
        return new BatchRequest(
                entry.id(),
                item.getCustomer(),
                Math.max(1, item.getWeight()),
                clock.nanoTime() + Duration.ofMillis(item.getTimeLeftMs()).toNanos(),
                1L + item.getBody().size() / BYTES_PER_TOKEN + item.getMaxTokens(),
                entry.tokens(),
                item.getSuspect());
    }

    /**
     * Removes work from the scheduler and its peer's items; streams may still have queued chunks.
     */
    private void end(Work entry) {
        if (!work.remove(entry)) {
            return;
        }
        scheduler.ended(entry.id(), clock.nanoTime());
        if (entry instanceof BatchWork item) {
            item.peer().itemEnded(item.key());
        }
    }

    private <T extends Work> T drop(T entry) {
        if (entry.run() != null) {
            cancellation.cancel(entry.run());
            entry.setRun(null);
        }
        end(entry);
        if (entry instanceof OnlineWork call) {
            call.peer().streams().remove(call.streamId());
        }
        return entry;
    }

    private void delivered() {
        if (leaving) {
            changed();
        }
    }

    private void updateOpen() {
        scheduler.setOpen(targetUp && !settling, clock.nanoTime());
    }

    private void changed() {
        applyDecisions();
        changeListener.run();
        if (leaving && work.isEmpty() && isDelivered()) {
            idleListener.run();
        }
    }

    private boolean isDelivered() {
        return peers.values().stream().allMatch(peer -> peer.streams().isEmpty());
    }

    /** Carries out the scheduler's decisions and schedules its next tick. */
    private void applyDecisions() {
        List<Decision> decisions = scheduler.decisions();
        while (!decisions.isEmpty()) {
            decisions.forEach(this::applyDecisions);
            decisions = scheduler.decisions();
        }
        long next = scheduler.nextTickNanos();
        if (next < nextTickAtNanos) {
            nextTickAtNanos = next;
            loop.after(Math.max(0, next - clock.nanoTime()), () -> tick(next));
        }
    }

    private void tick(long scheduledAtNanos) {
        if (nextTickAtNanos == scheduledAtNanos) {
            nextTickAtNanos = Long.MAX_VALUE;
        }
        scheduler.tick(clock.nanoTime());
        changed();
    }

    private void applyDecisions(Decision decision) {
        work.find(decision.id()).ifPresent(entry -> applyDecisions(decision, entry));
    }

    private void applyDecisions(Decision decision, Work entry) {
        metrics.countDecision(decision, entry);
        switch (decision) {
            case Decision.Start start -> start(entry);
            case Decision.Preempt preempt -> preempt((BatchWork) entry);
            case Decision.Refuse refuse -> {
                end(entry);
                replies.refuse(
                        (OnlineWork) entry,
                        refuse.code(),
                        Executed.NO,
                        refuse.code().description(),
                        refuse.retryAfterNanos());
            }
        }
    }

    private void start(Work entry) {
        try {
            starter.start(entry, this);
        } catch (FuchsiaspindleException | IllegalArgumentException e) {
            reject(entry, e);
        }
    }

    private void preempt(BatchWork item) {
        LOG.info("admit: preempt id={} tokens={}", item.id(), item.tokens());
        if (item.run() != null) {
            cancellation.cancel(item.run());
            item.setRun(null);
        }
    }

    private void reject(Work entry, RuntimeException failure) {
        end(entry);
        String message = String.valueOf(failure.getMessage());
        switch (entry) {
            case OnlineWork call ->
                    replies.refuse(call, ResultCode.MALFORMED_REQUEST, Executed.NO, message);
            case BatchWork item -> sendResult(item, item.failed(BAD_REQUEST, message));
        }
    }

    private void sendResult(BatchWork item, BatchResult result) {
        item.peer().send(Frame.newBuilder().setBatchResult(result));
    }

    private void returnItems(EntryPeer peer, List<ReturnedItem> items) {
        if (items.isEmpty()) {
            return;
        }
        items.forEach(
                item ->
                        peer.itemReturned(
                                new BatchWork.Key(
                                        item.getJobId(),
                                        item.getItem(),
                                        item.getEpoch(),
                                        item.getAttempt())));
        peer.send(Frame.newBuilder().setBatchReturn(BatchReturn.newBuilder().addAllItems(items)));
    }
}
