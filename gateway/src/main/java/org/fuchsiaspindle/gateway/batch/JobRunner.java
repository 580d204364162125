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
import org.fuchsiaspindle.gateway.target.TargetFleet;
import org.fuchsiaspindle.gateway.target.TrafficClass;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.platform.job.BatchItem;
import org.fuchsiaspindle.platform.job.JobApiCodec;
import org.fuchsiaspindle.platform.store.StoreClock;
import org.fuchsiaspindle.platform.target.EventSplitter;
import org.fuchsiaspindle.platform.target.TargetProtocol;
import org.fuchsiaspindle.platform.target.TargetResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the items of the jobs that this gateway owns in slots that online requests leave free.
 *
 * <p>Confined to the event loop of the request path.
 */
public final class JobRunner implements TargetFleet.CapacityListener {

    private static final Logger LOG = LoggerFactory.getLogger(JobRunner.class);

    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(250);

    /**
     * Delay before a preempted or refused item starts again, so that it does not return to a target
     * that is still full.
     */
    private static final Duration REQUEUE_DELAY = Duration.ofMillis(40);

    /** Bounds the work lost with a gateway, at the cost of one write for each job and interval. */
    private static final Duration CHECKPOINT_INTERVAL = Duration.ofMillis(1500);

    private static final Duration FAILURE_RETRY_DELAY = Duration.ofMillis(100);

    /** How long a route may be missing from the configuration before its items fail. */
    private static final Duration MISSING_ROUTE_GRACE = Duration.ofSeconds(3);

    /** Time limit for one run of an item at a target. */
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(60);

    private final EventLoop loop;
    private final FleetViewHolder views;
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
    private boolean preemptionScheduled;
    private long lastCheckpointNanos = System.nanoTime();
    private boolean stopping;

    private JobRunner(Dependencies dependencies) {
        this.loop = dependencies.loop();
        this.views = dependencies.views();
        this.fleet = dependencies.fleet();
        this.online = dependencies.online();
        this.store = dependencies.store();
        this.table = dependencies.table();
        this.storeClock = dependencies.storeClock();
        this.self = dependencies.self();
        this.metrics = dependencies.metrics();
        this.schedule = new ItemSchedule(dependencies.views(), dependencies.storeClock());
        this.committer = new JobCommitter(loop, store, table, self, this::ownershipLost);
    }

    /**
     * The dependencies of a runner.
     *
     * @param loop its event loop
     * @param views the configuration in force
     * @param fleet the targets
     * @param online the online requests; batch items start only if none of them waits
     * @param store the stored jobs
     * @param table the known jobs
     * @param storeClock the clock by which jobs age
     * @param self this process as an owner
     * @param metrics counts items
     */
    public record Dependencies(
            EventLoop loop,
            FleetViewHolder views,
            TargetFleet fleet,
            OnlineDispatcher online,
            JobStore store,
            JobTable table,
            StoreClock storeClock,
            JobOwner self,
            GatewayMetrics metrics) {}

    /** Creates a runner and starts its timers. */
    public static JobRunner start(Dependencies dependencies) {
        JobRunner runner = new JobRunner(checkNotNull(dependencies, "dependencies"));
        dependencies.table().addListener(runner::jobChanged);
        dependencies.fleet().addCapacityListener(runner);
        dependencies.fleet().onOverload(runner::schedulePreemption);
        dependencies.fleet().setBatchUrgency(() -> runner.schedule.urgency(runner.owned.values()));
        dependencies
                .loop()
                .scheduleAtFixedRate(
                        runner::maintain,
                        MAINTENANCE_INTERVAL.toMillis(),
                        MAINTENANCE_INTERVAL.toMillis(),
                        TimeUnit.MILLISECONDS);
        return runner;
    }

    /** Returns the number of jobs that this gateway runs. */
    public int ownedJobs() {
        return owned.size();
    }

    /** Returns whether this process runs a job or is loading it. */
    boolean hasJob(String jobId) {
        return owned.containsKey(jobId) || loading.contains(jobId);
    }

    /**
     * Starts to run a job that this gateway owns, unless it is stopping or runs the job already.
     */
    void run(VersionedJob job, List<BatchItem> items, Map<Integer, ItemProgress> progress) {
        loading.remove(job.job().id());
        if (stopping || !job.job().isOpen() || owned.containsKey(job.job().id())) {
            return;
        }
        owned.put(job.job().id(), new OwnedJob(job, ImmutableList.copyOf(items), progress));
        onCapacity();
    }

    /** Reads the submission and progress of a job that this gateway owns, and starts to run it. */
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

    /** The submission and the progress of a job, as read from the store. */
    private record Loaded(Optional<byte[]> submission, Map<Integer, ItemProgress> progress) {}

    private void loaded(String jobId, Loaded loaded, Throwable failure) {
        Optional<VersionedJob> current = table.job(jobId).filter(job -> isOwn(job.job()));
        if (current.isEmpty() || !current.get().job().isOpen()) {
            loading.remove(jobId);
        } else if (failure != null || loaded.submission().isEmpty()) {
            LOG.warn("batch: submission not read job={} reason={}", jobId, String.valueOf(failure));
            loop.schedule(
                    () -> readSubmission(jobId),
                    FAILURE_RETRY_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
        } else {
            run(current.get(), JobApiCodec.items(loaded.submission().get()), loaded.progress());
        }
    }

    /** Stops all items and releases the jobs to other gateways. */
    public void releaseJobs() {
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
            remove(job, newer.job().ended() ? "ended" : "complete");
        } else if (!job.isCommitting() && newer.version() > job.stored().version()) {
            job.rebase(newer);
        }
    }

    private void ownershipLost(OwnedJob job) {
        remove(job, "handed over");
    }

    private void remove(OwnedJob job, String reason) {
        if (owned.remove(job.id(), job)) {
            job.stopAll();
            DecisionLog.batch(job.id(), "-", "dropped", reason);
        }
    }

    private void maintain() {
        long now = System.nanoTime();
        boolean checkpointDue = now - lastCheckpointNanos > CHECKPOINT_INTERVAL.toNanos();
        for (OwnedJob job : List.copyOf(owned.values())) {
            for (ItemRun run : List.copyOf(job.runs())) {
                if (run.isRunning() && run.call().isTargetSilent()) {
                    run.call().cancel();
                    retryLater(run, now, "silent target");
                }
            }
            giveUpIfExpired(job, now);
            committer.commit(job);
            if (checkpointDue) {
                committer.checkpoint(job);
            }
        }
        if (checkpointDue) {
            lastCheckpointNanos = now;
        }
        fleet.broadcastUrgency();
        onCapacity();
    }

    private void giveUpIfExpired(OwnedJob job, long now) {
        Optional<Route> route = schedule.route(job.job());
        if (route.isEmpty()) {
            long since = routeMissingSince.computeIfAbsent(job.id(), id -> now);
            if (views.view().config().isPresent() && now - since > MISSING_ROUTE_GRACE.toNanos()) {
                giveUpUnfinished(job, "route removed");
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
            giveUpUnfinished(job, "retention over");
        }
    }

    private void giveUpUnfinished(OwnedJob job, String reason) {
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
        Set<String> fullServices = new HashSet<>();
        for (ItemRun run : schedule.byUrgency(waiting)) {
            schedule.route(run.job().job())
                    .ifPresent(route -> startIfFree(run, route, fullServices));
        }
    }

    private void startIfFree(ItemRun run, Route route, Set<String> fullServices) {
        String service = route.chooseService(ThreadLocalRandom.current().nextDouble());
        if (fullServices.contains(service) || online.hasWaitingRequests(service)) {
            return;
        }
        Optional<TargetInstance> target = fleet.choose(service, TrafficClass.BATCH, List.of());
        if (target.isEmpty()) {
            fullServices.add(service);
        } else {
            startItem(run, target.get(), route);
        }
    }

    private void startItem(ItemRun run, TargetInstance target, Route route) {
        BatchItem item = run.item();
        run.started(
                fleet.call(
                        target,
                        TrafficClass.BATCH,
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
                                        RUN_TIMEOUT,
                                        run.lastEvent()),
                        new Attempt(run, route)));
    }

    private void finish(ItemRun run, boolean completed, String reason) {
        run.finish(completed);
        metrics.countItem(completed ? "completed" : "given_up");
        DecisionLog.batch(
                run.job().id(), run.item().id(), completed ? "completed" : "given_up", reason);
        committer.commit(run.job());
    }

    private void retryLater(ItemRun run, long now, String reason) {
        run.interrupted(now + FAILURE_RETRY_DELAY.toNanos());
        DecisionLog.batch(run.job().id(), run.item().id(), "again", reason);
    }

    private void schedulePreemption() {
        if (!preemptionScheduled) {
            preemptionScheduled = true;
            loop.execute(this::preemptExcess);
        }
    }

    /**
     * Preempts items of this gateway at targets with more calls than slots, those due last first.
     */
    private void preemptExcess() {
        preemptionScheduled = false;
        Map<String, Integer> excess = fleet.batchItemsToPreempt();
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
                run.interrupted(now + REQUEUE_DELAY.toNanos());
                metrics.countItem("gave_way");
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
        public void onResponse(TargetResponse newAnswer) {
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
                case OTHER_TARGET -> retryLater(run, now, "address reused");
                case UNTRUSTED -> retryLater(run, now, "untrusted answer");
                default -> throw new AssertionError(answer.meaning());
            }
        }

        private void refused(long now) {
            run.interrupted(now + REQUEUE_DELAY.toNanos());
            DecisionLog.batch(
                    run.job().id(),
                    run.item().id(),
                    "refused_by_target",
                    run.targetId() + " status " + answer.status().code());
        }

        private void completed(long now) {
            if (events.hasPartialEvent() || !answer.isEventStream()) {
                retryLater(run, now, "incomplete stream");
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
                retryLater(run, now, "status " + answer.status().code());
                committer.commit(run.job());
            }
        }

        @Override
        public void onFailure(CallFailure failure) {
            retryLater(run, System.nanoTime(), failure.name());
        }
    }
}
