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
    private final WorkRegistry registry = new WorkRegistry();
    private final AttemptLog attempts = new AttemptLog();
    private Runnable changeListener = () -> {};
    private Runnable lossListener = () -> {};
    private Runnable idleListener = () -> {};
    private long nextTickAtNanos = Long.MAX_VALUE;
    private volatile boolean targetUp;
    private boolean leaving;
    private boolean readingBufferedMessages;
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
        this.replies = new ReplySender(loop, metrics, this::onStreamDelivered);
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
        onLoadChanged();
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
        onLoadChanged();
    }

    void execute(FleetConnection connection, Frame frame) {
        EntryPeer peer = peers.get(connection);
        if (peer == null || !peer.acceptStream(frame.getStreamId())) {
            LOG.debug("admit: duplicate stream dropped stream={}", frame.getStreamId());
            return;
        }
        Execute execute = frame.getExecute();
        OnlineWork call = new OnlineWork(registry.nextId(), peer, frame.getStreamId(), execute);
        try {
            checkAcceptable(execute, call);
        } catch (FuchsiaspindleException e) {
            replies.refuse(call, e.code(), e.executed(), e.getMessage());
            return;
        }
        attempts.record(execute.getRequestId(), execute.getAttempt());
        registry.add(call);
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
        onLoadChanged();
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
        onLoadChanged();
    }

    void grantWindow(FleetConnection connection, long streamId, int bytes) {
        EntryPeer peer = peers.get(connection);
        OnlineWork call = peer == null ? null : peer.streams().get(streamId);
        if (call != null) {
            replies.grant(call, bytes);
        }
    }

    void acceptBatchItems(FleetConnection connection, List<BatchItem> items) {
        EntryPeer peer = peers.get(connection);
        if (peer == null) {
            return;
        }
        List<ReturnedItem> returned = new ArrayList<>();
        for (BatchItem item : items) {
            BatchWork work = new BatchWork(registry.nextId(), peer, item);
            if (peer.isKnown(work.key())) {
                LOG.debug("admit: duplicate item dropped key={}", work.key());
            } else if (!targetUp || leaving || !registry.hasRoomFor(work)) {
                returned.add(work.returned(false));
            } else if (scheduler.batchArrived(request(work), clock.nanoTime())) {
                registry.add(work);
                peer.items().put(work.key(), work);
                // The scheduler may have decided to start the item immediately.
                applyDecisions();
            } else {
                returned.add(work.returned(false));
            }
        }
        returnItems(peer, returned);
        onLoadChanged();
    }

    void cancelBatchItems(FleetConnection connection, String job) {
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
        onLoadChanged();
    }

    /** Starts to accept work. */
    void markTargetUp() {
        if (targetUp) {
            return;
        }
        targetUp = true;
        LOG.info("admit: target up");
        updateOpen();
        onLoadChanged();
    }

    /**
     * Stops accepting work and returns all work that has not started.
     *
     * <p>Running work continues: if the target's process has ended, its connections fail anyway,
     * and a slow response to a probe alone must not abort streams.
     */
    void markTargetDown(String reason) {
        if (!targetUp) {
            return;
        }
        targetUp = false;
        LOG.warn("admit: target down reason=\"{}\" running={}", reason, registry.runs().size());
        updateOpen();
        peers.values().forEach(EntryPeer::scheduleCacheReset);
        for (Work work : registry.all()) {
            if (work.run() == null) {
                refuseOrReturn(work, false, reason);
            }
        }
        onLoadChanged();
    }

    /** Stops accepting work and ends all running work, because the target makes no progress. */
    void markTargetHung(String reason) {
        markTargetDown(reason);
        for (TargetRun run : registry.runs()) {
            boolean sent = cancellation.cancel(run);
            run.work().setRun(null);
            refuseOrReturn(run.work(), sent, reason);
        }
        onLoadChanged();
    }

    /** Returns true if streams run but none has received anything within the hang timeout. */
    boolean isTargetHung() {
        return registry.areStreamsSilentSince(clock.nanoTime() - timing.hangTimeout().toNanos());
    }

    /** Stops accepting work and returns all batch work immediately; running requests continue. */
    void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        for (long id : scheduler.waitingOnline()) {
            OnlineWork call = (OnlineWork) registry.find(id).orElseThrow();
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
        onLoadChanged();
    }

    /** Ends all remaining work when the grace period has expired. */
    void abortAll() {
        for (Work work : registry.all()) {
            TargetRun run = work.run();
            boolean sent = run != null && cancellation.cancel(run);
            work.setRun(null);
            refuseOrReturn(work, sent, "the grace period has expired");
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
        // Reads the cancellations that arrived during the pause before any work starts.
        readingBufferedMessages = true;
        lastPause = pause;
        updateOpen();
        loop.after(
                timing.settleTime().toNanos(),
                () -> {
                    readingBufferedMessages = false;
                    lastPause = Duration.ZERO;
                    updateOpen();
                    onLoadChanged();
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
        Work work = run.work();
        if (work.run() != run) {
            return;
        }
        switch (work) {
            case OnlineWork call -> replies.chunk(call, text, count);
            case BatchWork item -> item.append(text, count);
        }
        metrics.countTokens(count);
        scheduler.tokensObserved(work.id(), count, clock.nanoTime());
        applyDecisions();
    }

    @Override
    public void onFinished(TargetRun run, String reason, Usage usage) {
        Work work = run.work();
        if (work.run() != run) {
            return;
        }
        work.setRun(null);
        end(work);
        switch (work) {
            case OnlineWork call -> replies.end(call, Replies.finished(call, reason, usage));
            case BatchWork item -> sendResult(item, item.finished(reason, usage));
        }
        onLoadChanged();
    }

    @Override
    public void onResponse(
            TargetRun run, int status, ImmutableList<Header> headers, ByteString body) {
        Work work = run.work();
        if (work.run() != run) {
            return;
        }
        work.setRun(null);
        end(work);
        switch (work) {
            case OnlineWork call when call.isService() ->
                    replies.end(call, Replies.serviceResponse(call, status, headers, body));
            case OnlineWork call -> replies.refuseFailed(call, status, body);
            case BatchWork item when NOT_EXECUTED_STATUSES.contains(status) -> {
                item.markNotStarted();
                returnItems(item.peer(), List.of(item.returned(false)));
            }
            case BatchWork item ->
                    sendResult(item, item.failed(status, Replies.errorMessage(body)));
        }
        onLoadChanged();
    }

    @Override
    public void onLost(TargetRun run, boolean sent, String reason) {
        Work work = run.work();
        if (work.run() != run) {
            return;
        }
        work.setRun(null);
        refuseOrReturn(work, sent, reason);
        lossListener.run();
        onLoadChanged();
    }

    /** Refuses or returns work that the target did not complete. */
    private void refuseOrReturn(Work work, boolean sent, String reason) {
        end(work);
        switch (work) {
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
        if (!registry.hasRoomFor(call)) {
            throw new FuchsiaspindleException(
                    ResultCode.OVERLOADED, "waiting requests hold " + registry.bytes() + " bytes");
        }
    }

    private long deadline(long timeLeftMs, long now) {
        if (timeLeftMs <= 0) {
            return OnlineRequest.NO_DEADLINE;
        }
        // A message that is read after a pause may have been buffered during the whole pause.
        return now + Duration.ofMillis(timeLeftMs).minus(lastPause).toNanos();
    }

    private BatchRequest request(BatchWork work) {
        BatchItem item = work.item();
        return new BatchRequest(
                work.id(),
                item.getCustomer(),
                Math.max(1, item.getWeight()),
                clock.nanoTime() + Duration.ofMillis(item.getTimeLeftMs()).toNanos(),
                1L + item.getBody().size() / BYTES_PER_TOKEN + item.getMaxTokens(),
                work.tokens(),
                item.getSuspect());
    }

    /**
     * Removes work from the scheduler and its peer's items; streams may still have queued chunks.
     */
    private void end(Work work) {
        if (!registry.remove(work)) {
            return;
        }
        scheduler.ended(work.id(), clock.nanoTime());
        if (work instanceof BatchWork item) {
            item.peer().itemEnded(item.key());
        }
    }

    private <T extends Work> T drop(T work) {
        if (work.run() != null) {
            cancellation.cancel(work.run());
            work.setRun(null);
        }
        end(work);
        if (work instanceof OnlineWork call) {
            call.peer().streams().remove(call.streamId());
        }
        return work;
    }

    private void onStreamDelivered() {
        if (leaving) {
            onLoadChanged();
        }
    }

    private void updateOpen() {
        scheduler.setOpen(targetUp && !readingBufferedMessages, clock.nanoTime());
    }

    private void onLoadChanged() {
        applyDecisions();
        changeListener.run();
        if (leaving && registry.isEmpty() && areAllStreamsDelivered()) {
            idleListener.run();
        }
    }

    private boolean areAllStreamsDelivered() {
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
        onLoadChanged();
    }

    private void applyDecisions(Decision decision) {
        registry.find(decision.id()).ifPresent(work -> applyDecisions(decision, work));
    }

    private void applyDecisions(Decision decision, Work work) {
        metrics.countDecision(decision, work);
        switch (decision) {
            case Decision.Start start -> start(work);
            case Decision.Preempt preempt -> preempt((BatchWork) work);
            case Decision.Refuse refuse -> {
                end(work);
                replies.refuse(
                        (OnlineWork) work,
                        refuse.code(),
                        Executed.NO,
                        refuse.code().description(),
                        refuse.retryAfterNanos());
            }
        }
    }

    private void start(Work work) {
        try {
            starter.start(work, this);
        } catch (FuchsiaspindleException | IllegalArgumentException e) {
            reject(work, e);
        }
    }

    private void preempt(BatchWork item) {
        LOG.info("admit: preempt id={} tokens={}", item.id(), item.tokens());
        if (item.run() != null) {
            cancellation.cancel(item.run());
            item.setRun(null);
        }
    }

    private void reject(Work work, RuntimeException failure) {
        end(work);
        String message = String.valueOf(failure.getMessage());
        switch (work) {
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
