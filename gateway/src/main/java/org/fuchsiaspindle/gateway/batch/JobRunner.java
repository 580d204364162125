package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.job.ItemOutcome;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.gateway.online.OnlineDispatcher;
import org.fuchsiaspindle.gateway.target.CallFailure;
import org.fuchsiaspindle.gateway.target.CallListener;
import org.fuchsiaspindle.gateway.target.CallSort;
import org.fuchsiaspindle.gateway.target.TargetFleet;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViews;
import org.fuchsiaspindle.platform.job.BatchItem;
import org.fuchsiaspindle.platform.job.JobApiCodec;
import org.fuchsiaspindle.platform.store.StoreClock;
import org.fuchsiaspindle.platform.target.EventSplitter;
import org.fuchsiaspindle.platform.target.TargetProtocol;
import org.fuchsiaspindle.platform.target.TargetResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the items of the jobs that this gateway owns, in the slots that online requests leave free.
 *
 * <p>Confined to the event loop of the request path.
 */
public final class JobRunner implements TargetFleet.CapacityListener {

    private static final Logger LOG = LoggerFactory.getLogger(JobRunner.class);

    private static final Duration TICK = Duration.ofMillis(250);

    /**
     * An item that gave way is not started again before this time, so that it does not return to a
     * target that is still full.
     */
    private static final Duration YIELD_PAUSE = Duration.ofMillis(40);

    /** Bounds the work that the loss of a gateway costs, at one write a job each time. */
    private static final Duration CHECKPOINT_INTERVAL = Duration.ofMillis(1500);

    private static final Duration FAILURE_PAUSE = Duration.ofMillis(100);

    /** How long a route may be missing from the configuration before its items are given up. */
    private static final Duration ROUTE_GONE = Duration.ofSeconds(3);

    /** Time that an item may run at one target. */
    private static final Duration MAX_RUN = Duration.ofSeconds(60);

    private final EventLoop loop;
    private final FleetViews views;
    private final TargetFleet fleet;
    private final OnlineDispatcher online;
    private final JobStore store;
    private final JobTable table;
    private final StoreClock storeClock;
    private final JobOwner self;
    private final GatewayMetrics metrics;
    private final JobCommitter committer;
    private final Map<String, OwnedJob> owned = new HashMap<>();
    private final ItemSchedule schedule;
    private final Set<String> loading = new HashSet<>();
    private final Map<String, Long> routeMissingSince = new HashMap<>();
    private boolean yieldScheduled;
    private long lastCheckpointNanos = System.nanoTime();
    private boolean stopping;

    private JobRunner(Parts parts) {
        this.loop = parts.loop();
        this.views = parts.views();
        this.fleet = parts.fleet();
        this.online = parts.online();
        this.store = parts.store();
        this.table = parts.table();
        this.storeClock = parts.storeClock();
        this.self = parts.self();
        this.metrics = parts.metrics();
        this.schedule = new ItemSchedule(parts.views(), parts.storeClock());
        this.committer = new JobCommitter(loop, store, table, self, this::ownershipLost);
    }

    /**
     * What a runner works with.
     *
     * @param loop its event loop
     * @param views the configuration
     * @param fleet the targets
     * @param online the online requests, which go first
     * @param store the stored jobs
     * @param table the known jobs
     * @param storeClock the clock by which jobs age
     * @param self this process as an owner
     * @param metrics counts items
     */
    public record Parts(
            EventLoop loop,
            FleetViews views,
            TargetFleet fleet,
            OnlineDispatcher online,
            JobStore store,
            JobTable table,
            StoreClock storeClock,
            JobOwner self,
            GatewayMetrics metrics) {}

    /** Creates a runner and starts its timers. */
    public static JobRunner start(Parts parts) {
        JobRunner runner = new JobRunner(checkNotNull(parts, "parts"));
        parts.table().addListener(runner::jobChanged);
        parts.fleet().addCapacityListener(runner);
        parts.fleet().onExcess(runner::yieldLater);
        parts.fleet().batchUrgency(() -> runner.schedule.urgency(runner.owned.values()));
        parts.loop()
                .scheduleAtFixedRate(
                        runner::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
        return runner;
    }

    /** Returns the number of jobs that this gateway runs. */
    public int ownedJobs() {
        return owned.size();
    }

    /** Returns whether this process runs or is about to run a job. */
    boolean holds(String jobId) {
        return owned.containsKey(jobId) || loading.contains(jobId);
    }

    /** Runs a job that this gateway owns as of a version of its row. */
    void adopt(VersionedJob job, List<BatchItem> items, Map<Integer, ItemProgress> progress) {
        loading.remove(job.job().id());
        if (stopping || !job.job().isOpen() || owned.containsKey(job.job().id())) {
            return;
        }
        owned.put(job.job().id(), new OwnedJob(job, ImmutableList.copyOf(items), progress));
        onCapacity();
    }

    /** Reads the submission of a job that this gateway took over, and runs it. */
    void load(VersionedJob job) {
        if (!loading.add(job.job().id())) {
            return;
        }
        readSubmission(job.job().id());
    }

    private void readSubmission(String jobId) {
        store.submission(jobId)
                .thenCombine(store.progress(jobId), Loaded::new)
                .whenCompleteAsync((loaded, failure) -> loaded(jobId, loaded, failure), loop);
    }

    /** What was read of a job that was taken over. */
    private record Loaded(Optional<byte[]> submission, Map<Integer, ItemProgress> progress) {}

    private void loaded(String jobId, Loaded loaded, Throwable failure) {
        Optional<VersionedJob> now = table.job(jobId).filter(job -> isOwn(job.job()));
        if (now.isEmpty() || !now.get().job().isOpen()) {
            loading.remove(jobId);
        } else if (failure != null || loaded.submission().isEmpty()) {
            LOG.warn("batch: submission not read job={} reason={}", jobId, String.valueOf(failure));
            loop.schedule(
                    () -> readSubmission(jobId), FAILURE_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            adopt(now.get(), JobApiCodec.items(loaded.submission().get()), loaded.progress());
        }
    }

    /** Stops all items and hands the jobs back. */
    public void handOver() {
        stopping = true;
        for (OwnedJob job : List.copyOf(owned.values())) {
            job.runs().stream().filter(ItemRun::isRunning).forEach(ItemRun::stop);
            committer.commit(job);
            committer.release(job);
        }
    }

    private boolean isOwn(JobRecord job) {
        return job.owner().equals(self);
    }

    private void jobChanged(VersionedJob newer) {
        OwnedJob job = owned.get(newer.job().id());
        if (job == null) {
            return;
        }
        if (!isOwn(newer.job())) {
            ownershipLost(job);
        } else if (!newer.job().isOpen()) {
            drop(job, newer.job().ended() ? "ended" : "complete");
        } else if (!job.isCommitting() && newer.version() > job.stored().version()) {
            job.rebase(newer);
        }
    }

    private void ownershipLost(OwnedJob job) {
        drop(job, "handed over");
    }

    private void drop(OwnedJob job, String reason) {
        if (owned.remove(job.id(), job)) {
            job.stopAll();
            DecisionLog.batch(job.id(), "-", "dropped", reason);
        }
    }

    private void tick() {
        long now = System.nanoTime();
        boolean checkpointDue = now - lastCheckpointNanos > CHECKPOINT_INTERVAL.toNanos();
        for (OwnedJob job : List.copyOf(owned.values())) {
            for (ItemRun run : List.copyOf(job.runs())) {
                if (run.isRunning() && run.call().isTargetSilent()) {
                    run.call().cancel();
                    again(run, now, "silent target");
                }
            }
            giveUpIfDue(job, now);
            committer.commit(job);
            if (checkpointDue) {
                committer.checkpoint(job);
            }
        }
        if (checkpointDue) {
            lastCheckpointNanos = now;
        }
        fleet.shareUrgency();
        onCapacity();
    }

    private void giveUpIfDue(OwnedJob job, long now) {
        Optional<Route> route = schedule.route(job.job());
        if (route.isEmpty()) {
            long since = routeMissingSince.computeIfAbsent(job.id(), id -> now);
            if (views.view().config().isPresent() && now - since > ROUTE_GONE.toNanos()) {
                giveUpWaiting(job, "route removed");
            }
            return;
        }
        routeMissingSince.remove(job.id());
        OptionalLong storeNow = storeClock.nowMillis();
        if (storeNow.isEmpty()) {
            return;
        }
        Duration age = Duration.ofMillis(storeNow.getAsLong() - job.job().acceptedAtMillis());
        Duration retention = route.get().batch().orElseThrow().retention();
        if (ItemOutcome.byAge(age, retention) == ItemOutcome.GIVE_UP) {
            giveUpWaiting(job, "retention over");
        }
    }

    private void giveUpWaiting(OwnedJob job, String reason) {
        for (ItemRun run : job.runs()) {
            if (!run.isFinished()) {
                run.stop();
                finish(run, false, reason);
            }
        }
    }

    @Override
    public void onCapacity() {
        if (stopping) {
            return;
        }
        long now = System.nanoTime();
        List<ItemRun> waiting = new ArrayList<>();
        for (OwnedJob job : owned.values()) {
            job.runs().stream().filter(run -> run.mayStart(now)).forEach(waiting::add);
        }
        Set<String> full = new HashSet<>();
        for (ItemRun run : schedule.byUrgency(waiting)) {
            schedule.route(run.job().job()).ifPresent(route -> startIfPossible(run, route, full));
        }
    }

    private void startIfPossible(ItemRun run, Route route, Set<String> full) {
        String service = route.chooseService(ThreadLocalRandom.current().nextDouble());
        if (full.contains(service) || online.hasWaiting(service)) {
            return;
        }
        Optional<TargetInstance> target = fleet.choose(service, CallSort.BATCH, List.of());
        if (target.isEmpty()) {
            full.add(service);
        } else {
            startItem(run, target.get(), route);
        }
    }

    private void startItem(ItemRun run, TargetInstance target, Route route) {
        BatchItem item = run.item();
        run.started(
                fleet.call(
                        target,
                        CallSort.BATCH,
                        true,
                        item.id(),
                        () ->
                                TargetProtocol.itemRequest(
                                        item.id(),
                                        item.path(),
                                        route.host(),
                                        item.headers(),
                                        item.body(),
                                        target,
                                        MAX_RUN,
                                        run.lastEvent()),
                        new Attempt(run, route)));
    }

    private void finish(ItemRun run, boolean completed, String reason) {
        run.finish(completed);
        metrics.item(completed ? "completed" : "given_up");
        DecisionLog.batch(
                run.job().id(), run.item().id(), completed ? "completed" : "given_up", reason);
        committer.commit(run.job());
    }

    private void again(ItemRun run, long now, String reason) {
        run.interrupted(now + FAILURE_PAUSE.toNanos());
        DecisionLog.batch(run.job().id(), run.item().id(), "again", reason);
    }

    private void yieldLater() {
        if (!yieldScheduled) {
            yieldScheduled = true;
            loop.execute(this::yieldExcess);
        }
    }

    /** Stops own items at targets that have more work than slots, those due last first. */
    private void yieldExcess() {
        yieldScheduled = false;
        Map<String, Integer> excess = fleet.batchExcess();
        if (excess.isEmpty()) {
            return;
        }
        long now = System.nanoTime();
        List<ItemRun> running = new ArrayList<>();
        for (OwnedJob job : owned.values()) {
            job.runs().stream().filter(ItemRun::isRunning).forEach(running::add);
        }
        for (ItemRun run : schedule.byUrgency(running).reversed()) {
            int left = excess.getOrDefault(run.targetId(), 0);
            if (left > 0) {
                excess.put(run.targetId(), left - 1);
                run.call().cancel();
                run.interrupted(now + YIELD_PAUSE.toNanos());
                metrics.item("gave_way");
            }
        }
    }

    /** One run of an item at a target. */
    private final class Attempt implements CallListener {

        private final ItemRun run;
        private final Route route;
        private final EventSplitter events;
        private TargetResponse answer;

        Attempt(ItemRun run, Route route) {
            this.run = run;
            this.route = route;
            this.events = EventSplitter.to(run::add);
        }

        @Override
        public void onAnswer(TargetResponse newAnswer) {
            answer = newAnswer;
        }

        @Override
        public void onData(ByteBuf data) {
            if (answer.meaning() == TargetResponse.Meaning.SUCCESS) {
                events.add(data);
            }
        }

        @Override
        public void onComplete() {
            long now = System.nanoTime();
            switch (answer.meaning()) {
                case SUCCESS -> completed(now);
                case IMPOSSIBLE -> finish(run, false, "impossible");
                case FAILED -> failed(now);
                case NOT_RUN -> refused(now);
                case OTHER_TARGET -> again(run, now, "address reused");
                case UNTRUSTED -> again(run, now, "untrusted answer");
                default -> throw new AssertionError(answer.meaning());
            }
        }

        private void refused(long now) {
            run.interrupted(now + YIELD_PAUSE.toNanos());
            DecisionLog.batch(
                    run.job().id(),
                    run.item().id(),
                    "refused_by_target",
                    run.targetId() + " status " + answer.status().code());
        }

        private void completed(long now) {
            if (events.hasPartialEvent() || !answer.events()) {
                again(run, now, "incomplete stream");
            } else {
                schedule.completed(run, now);
                finish(run, true, "");
            }
        }

        private void failed(long now) {
            int failures = run.job().addFailure(run.index());
            if (ItemOutcome.afterFailure(failures, route.maxAttempts()) == ItemOutcome.GIVE_UP) {
                finish(run, false, "failed " + failures + " times");
            } else {
                again(run, now, "status " + answer.status().code());
                committer.commit(run.job());
            }
        }

        @Override
        public void onFailure(CallFailure failure) {
            again(run, System.nanoTime(), failure.name());
        }
    }
}
