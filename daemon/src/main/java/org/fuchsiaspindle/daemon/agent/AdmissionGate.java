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
 * The only way to the target: takes work from entries and carries out the scheduler's decisions.
 *
 * <p>All methods run on the agent's loop, except where noted.
 */
final class AdmissionGate implements TargetRun.Events {

    private static final Logger LOG = LoggerFactory.getLogger(AdmissionGate.class);

    /** Usual size of a token in English text, to estimate the length of a prompt. */
    private static final int BYTES_PER_TOKEN = 4;

    private static final int BAD_REQUEST = 400;

    /**
     * Statuses with which an engine refuses a stream before it runs: the model is not loaded, or
     * the engine is overloaded or starting. Another target, or this one later, may run the item.
     */
    private static final ImmutableSet<Integer> REJECTED_UNSEEN = ImmutableSet.of(404, 429, 503);

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
    private final HeldWork held = new HeldWork();
    private final AttemptLog attempts = new AttemptLog();
    private Runnable changeListener = () -> {};
    private Runnable lossListener = () -> {};
    private Runnable idleListener = () -> {};
    private long tickAt = Long.MAX_VALUE;
    private volatile boolean targetUp;
    private boolean leaving;
    private boolean settling;
    private Duration lastPause = Duration.ZERO;

    private AdmissionGate(
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
        this.starter = new RunStarter(client, loop, clock, timing.sendBound());
        scheduler.setOpen(false, clock.nanoTime());
    }

    /** Creates a gate that is closed until the target is reported up. */
    static AdmissionGate create(
            AdmissionScheduler scheduler,
            TargetClient client,
            AgentLoop loop,
            Clock clock,
            AgentTiming timing,
            AgentMetrics metrics) {
        return new AdmissionGate(
                checkNotNull(scheduler, "scheduler"),
                checkNotNull(client, "client"),
                checkNotNull(loop, "loop"),
                checkNotNull(clock, "clock"),
                checkNotNull(timing, "timing"),
                checkNotNull(metrics, "metrics"));
    }

    /** Sets what is called when the load may have changed. */
    void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Sets what is called when an exchange with the target broke. */
    void onLoss(Runnable listener) {
        lossListener = listener;
    }

    /** Sets what is called when no work is left while leaving. */
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

    /** Takes the numbers of a changed configuration. */
    void apply(AdmissionPolicy policy) {
        scheduler.apply(policy);
        scheduler.tick(clock.nanoTime());
        changed();
    }

    /** Takes the length of the target's own queue from its load report. */
    void targetReported(int waitingInTarget) {
        scheduler.targetReported(waitingInTarget, clock.nanoTime());
        carryOut();
    }

    /** Returns true while any work runs or waits at the target. */
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
        // A new connection of the same instance means that the entry has given up the old one.
        for (EntryPeer old : List.copyOf(peers.values())) {
            if (old.connection().peer().instanceId().equals(connection.peer().instanceId())) {
                connectionClosed(old.connection());
                old.connection().close();
            }
        }
        peers.put(connection, new EntryPeer(connection));
        changeListener.run();
    }

    /** Drops all work of a connection; the holder of the items' lease runs them again. */
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
            LOG.debug("admit: repeated stream dropped stream={}", frame.getStreamId());
            return;
        }
        Execute execute = frame.getExecute();
        OnlineWork call = new OnlineWork(held.nextId(), peer, frame.getStreamId(), execute);
        try {
            checkAcceptable(execute, call);
        } catch (FuchsiaspindleException e) {
            replies.refuse(call, e.code(), e.executed(), e.getMessage());
            return;
        }
        attempts.record(execute.getRequestId(), execute.getAttempt());
        held.add(call);
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
        call.discardHeld();
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
            BatchWork entry = new BatchWork(held.nextId(), peer, item);
            if (peer.knows(entry.key())) {
                LOG.debug("admit: repeated item dropped key={}", entry.key());
            } else if (!targetUp || leaving || !held.hasRoomFor(entry)) {
                returned.add(entry.returned(false));
            } else if (scheduler.batchArrived(request(entry), clock.nanoTime())) {
                held.add(entry);
                peer.items().put(entry.key(), entry);
                // The scheduler may have decided to start it at once.
                carryOut();
            } else {
                returned.add(entry.returned(false));
            }
        }
        giveBack(peer, returned);
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
        giveBack(peer, returned);
        changed();
    }

    /** Opens the gate. */
    void targetUp() {
        if (targetUp) {
            return;
        }
        targetUp = true;
        LOG.info("admit: target up");
        updateOpen();
        changed();
    }

    /**
     * Closes the gate and gives back all work that has not started.
     *
     * <p>Running work goes on: if the target's process has ended, its connections break by
     * themselves, and a slow answer to a probe alone must not cut off streams.
     */
    void targetDown(String reason) {
        if (!targetUp) {
            return;
        }
        targetUp = false;
        LOG.warn("admit: target down reason=\"{}\" running={}", reason, held.runs().size());
        updateOpen();
        client.closeIdle();
        peers.values().forEach(EntryPeer::planCacheReset);
        for (Work entry : held.all()) {
            if (entry.run() == null) {
                lose(entry, false, reason);
            }
        }
        changed();
    }

    /** Closes the gate and ends all running work, because the target no longer advances it. */
    void targetHung(String reason) {
        targetDown(reason);
        for (TargetRun run : held.runs()) {
            boolean sent = cancellation.cancel(run);
            run.work().setRun(null);
            lose(run.work(), sent, reason);
        }
        changed();
    }

    /** Returns true if streams run but none has shown a sign of life within the bound. */
    boolean isTargetHung() {
        return held.areStreamsSilentSince(clock.nanoTime() - timing.hangBound().toNanos());
    }

    /** Takes no new work from now on, and returns batch work at once. */
    void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        for (long id : scheduler.waitingOnline()) {
            OnlineWork call = (OnlineWork) held.find(id).orElseThrow();
            end(call);
            replies.refuse(call, ResultCode.TARGET_LEAVING, Executed.NO, "the target is leaving");
        }
        for (EntryPeer peer : peers.values()) {
            List<ReturnedItem> returned = new ArrayList<>();
            for (BatchWork item : List.copyOf(peer.items().values())) {
                returned.add(drop(item).returned(false));
            }
            giveBack(peer, returned);
        }
        changed();
    }

    /** Ends the streams that are still running when the grace period is over. */
    void cutOff() {
        for (Work entry : held.all()) {
            TargetRun run = entry.run();
            boolean sent = run != null && cancellation.cancel(run);
            entry.setRun(null);
            lose(entry, sent, "the grace period is over");
        }
    }

    /** Reacts to a pause of the whole process. */
    void paused(Duration pause) {
        if (pause.compareTo(timing.longPause()) >= 0) {
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
                timing.settle().toNanos(),
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
        metrics.tokensRead(count);
        scheduler.tokensObserved(entry.id(), count, clock.nanoTime());
        carryOut();
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
            case BatchWork item when REJECTED_UNSEEN.contains(status) -> {
                item.markNotStarted();
                giveBack(item.peer(), List.of(item.returned(false)));
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
        lose(entry, sent, reason);
        lossListener.run();
        changed();
    }

    /** Answers work that the target does not complete. */
    private void lose(Work entry, boolean sent, String reason) {
        end(entry);
        switch (entry) {
            case OnlineWork call ->
                    replies.refuse(
                            call,
                            leaving ? ResultCode.TARGET_LEAVING : ResultCode.TARGET_LOST,
                            sent ? Executed.UNKNOWN : Executed.NO,
                            reason);
            case BatchWork item -> giveBack(item.peer(), List.of(item.returned(sent)));
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
        if (!held.hasRoomFor(call)) {
            throw new FuchsiaspindleException(
                    ResultCode.OVERLOADED, "waiting requests hold " + held.bytes() + " bytes");
        }
    }

    private long deadline(long timeLeftMs, long now) {
        if (timeLeftMs <= 0) {
            return OnlineRequest.NO_DEADLINE;
        }
        // A message that was read after a pause may have waited for the whole pause.
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

    /** Removes work from the scheduler and from its peer's items; streams may still hold chunks. */
    private void end(Work entry) {
        if (!held.remove(entry)) {
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
        carryOut();
        changeListener.run();
        if (leaving && held.isEmpty() && isDelivered()) {
            idleListener.run();
        }
    }

    private boolean isDelivered() {
        return peers.values().stream().allMatch(peer -> peer.streams().isEmpty());
    }

    /** Carries out the scheduler's decisions and plans its next tick. */
    private void carryOut() {
        List<Decision> decisions = scheduler.decisions();
        while (!decisions.isEmpty()) {
            decisions.forEach(this::carryOut);
            decisions = scheduler.decisions();
        }
        long next = scheduler.nextTickNanos();
        if (next < tickAt) {
            tickAt = next;
            loop.after(Math.max(0, next - clock.nanoTime()), () -> tick(next));
        }
    }

    private void tick(long plannedAt) {
        if (tickAt == plannedAt) {
            tickAt = Long.MAX_VALUE;
        }
        scheduler.tick(clock.nanoTime());
        changed();
    }

    private void carryOut(Decision decision) {
        held.find(decision.id()).ifPresent(entry -> carryOut(decision, entry));
    }

    private void carryOut(Decision decision, Work entry) {
        metrics.decided(decision, entry);
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

    private void giveBack(EntryPeer peer, List<ReturnedItem> items) {
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
