package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.fuchsiaspindle.core.job.ItemOutcome;
import org.fuchsiaspindle.core.job.JobLoadQueue;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.StallLimit;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.workspace.TargetIdentity;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.gateway.prompt.PromptGuard;
import org.fuchsiaspindle.gateway.slot.BatchDemands;
import org.fuchsiaspindle.gateway.slot.SlotLease;
import org.fuchsiaspindle.gateway.target.CallDescription;
import org.fuchsiaspindle.gateway.target.CallFailure;
import org.fuchsiaspindle.gateway.target.CallListener;
import org.fuchsiaspindle.gateway.target.TargetFleet;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.platform.job.BatchItem;
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
public final class JobRunner {

    private static final Logger LOG = LoggerFactory.getLogger(JobRunner.class);

    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(250);

    /** Delay before an item that a target refused starts again. */
    private static final Duration REQUEUE_DELAY = Duration.ofMillis(40);

    /** Bounds the work lost if a gateway fails, at the cost of one write per job and interval. */
    private static final Duration CHECKPOINT_INTERVAL = Duration.ofMillis(1500);

    private static final Duration FAILURE_RETRY_DELAY = Duration.ofMillis(100);

    /** How long a route may be missing from the configuration before its items are abandoned. */
    private static final Duration MISSING_ROUTE_GRACE = Duration.ofSeconds(3);

    /** Maximum size of the text of an item; a larger one does not fit into a transaction. */
    private static final int MAX_TEXT_BYTES = JobStore.MAX_COMMIT_BYTES;

    /** Maximum size of the body of a failure, which is not used. */
    private static final long MAX_IGNORED_BYTES = 256 * 1024;

    /** Time limit for one run of an item on a target. */
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(60);

    /**
     * Largest size of the bodies of one job; above the size of a submission that clients may send.
     */
    private static final long MAX_JOB_BYTES = 4L << 20;

    private static final int MAX_CONCURRENT_LOADS = 4;

    private final EventLoop loop;
    private final FleetViewHolder viewHolder;
    private final TargetFleet fleet;
    private final BatchDemands batchDemands;
    private final JobStore jobStore;
    private final JobTable jobTable;
    private final StoreClock storeClock;
    private final JobOwner self;
    private final GatewayMetrics metrics;
    private final JobCommitter committer;
    private final Map<String, OwnedJob> ownedJobs = new HashMap<>();
    private final ItemSchedule schedule;
    private final JobLoader loader;
    private final Map<String, Long> routeMissingSinceNanos = new HashMap<>();
    private final ItemTrials trials;
    private final StartableItems startableItems;
    private boolean demandUpdateScheduled;
    private long lastCheckpointNanos = System.nanoTime();
    private boolean stopping;

    private JobRunner(Dependencies dependencies) {
        this.loop = dependencies.loop();
        this.viewHolder = dependencies.viewHolder();
        this.fleet = dependencies.fleet();
        this.batchDemands = dependencies.batchDemands();
        this.jobStore = dependencies.jobStore();
        this.jobTable = dependencies.jobTable();
        this.storeClock = dependencies.storeClock();
        this.self = dependencies.self();
        this.metrics = dependencies.metrics();
        this.schedule = new ItemSchedule(dependencies.viewHolder(), dependencies.storeClock());
        this.trials =
                new ItemTrials(dependencies.promptGuard(), dependencies.timeSinceOnlineRequest());
        this.startableItems =
                new StartableItems(viewHolder, schedule, dependencies.promptGuard(), trials);
        this.loader =
                new JobLoader(
                        loop,
                        jobStore,
                        jobTable,
                        self,
                        JobLoadQueue.create(
                                dependencies.itemMemoryBytes(),
                                MAX_JOB_BYTES,
                                MAX_CONCURRENT_LOADS),
                        this::start);
        this.committer = new JobCommitter(loop, jobStore, jobTable, self, this::ownershipLost);
    }

    /**
     * The dependencies of a runner.
     *
     * @param loop its event loop
     * @param viewHolder the configuration in force
     * @param fleet the targets
     * @param batchDemands requests slots for the items
     * @param promptGuard knows the prompts that crash targets
     * @param jobStore the stored jobs
     * @param jobTable the known jobs
     * @param storeClock the clock that measures the age of jobs
     * @param self this process as an owner
     * @param metrics counts the items by outcome
     * @param timeSinceOnlineRequest returns the time since the last online request of a service
     * @param itemMemoryBytes how many bytes of items may be in memory
     */
    public record Dependencies(
            EventLoop loop,
            FleetViewHolder viewHolder,
            TargetFleet fleet,
            BatchDemands batchDemands,
            PromptGuard promptGuard,
            JobStore jobStore,
            JobTable jobTable,
            StoreClock storeClock,
            JobOwner self,
            GatewayMetrics metrics,
            Function<String, Duration> timeSinceOnlineRequest,
            long itemMemoryBytes) {}

    /** Creates a runner and starts its timers. */
    public static JobRunner start(Dependencies dependencies) {
        JobRunner runner = new JobRunner(checkNotNull(dependencies, "dependencies"));
        dependencies.jobTable().addListener(runner::jobChanged);
        dependencies.batchDemands().setListener(runner::onSlot);
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
    public int ownedJobCount() {
        return ownedJobs.size();
    }

    /** Returns the size of the items in memory, in bytes. */
    public long itemBytes() {
        return loader.itemBytes();
    }

    /** Returns the number of own jobs that wait until there is memory for them. */
    public int waitingJobCount() {
        return loader.waitingCount();
    }

    /** Returns whether this process runs a job, is loading it or will load it. */
    boolean hasJob(String jobId) {
        return ownedJobs.containsKey(jobId) || loader.isPending(jobId);
    }

    /**
     * Starts to run a new job that this gateway owns, unless it is stopping or has the job already.
     * A job for which there is no memory now is loaded later.
     */
    void run(VersionedJob job, List<BatchItem> items) {
        if (stopping || !job.job().isOpen() || hasJob(job.job().id())) {
            return;
        }
        if (loader.tryHold(job, items)) {
            start(job, ImmutableList.copyOf(items), Map.of());
        } else {
            load(job);
        }
    }

    /** Loads a job that this gateway owns when there is memory for it, and starts to run it. */
    void load(VersionedJob job) {
        loader.load(job, schedule.dueMillis(job.job()));
    }

    private void start(
            VersionedJob job, ImmutableList<BatchItem> items, Map<Integer, ItemProgress> progress) {
        if (stopping) {
            return;
        }
        ownedJobs.put(job.job().id(), new OwnedJob(job, items, progress));
        scheduleDemandUpdate();
    }

    /** Stops all items and releases the jobs to other gateways. */
    public void releaseJobs() {
        stopping = true;
        for (OwnedJob job : List.copyOf(ownedJobs.values())) {
            job.runs().stream().filter(ItemRun::isRunning).forEach(ItemRun::stop);
            committer.commit(job);
            committer.release(job);
        }
    }

    private boolean isOwn(JobRecord job) {
        return job.owner().equals(self);
    }

    private void jobChanged(VersionedJob newJob) {
        OwnedJob job = ownedJobs.get(newJob.job().id());
        if (job == null) {
            removeIfNotToRun(newJob.job());
            return;
        }
        if (!isOwn(newJob.job())) {
            ownershipLost(job);
        } else if (!newJob.job().isOpen()) {
            dropJob(job, newJob.job().ended() ? "ended" : "complete");
        } else if (!job.isCommitting() && newJob.version() > job.stored().version()) {
            job.rebase(newJob);
        }
    }

    private void removeIfNotToRun(JobRecord job) {
        if (loader.isPending(job.id()) && !(isOwn(job) && job.isOpen())) {
            loader.remove(job.id());
        }
    }

    private void ownershipLost(OwnedJob job) {
        dropJob(job, "handed over");
    }

    private void dropJob(OwnedJob job, String reason) {
        if (ownedJobs.remove(job.id(), job)) {
            job.stopAll();
            routeMissingSinceNanos.remove(job.id());
            loader.remove(job.id());
            scheduleDemandUpdate();
            DecisionLog.batch(job.id(), "-", "dropped", reason);
        }
    }

    private void maintain() {
        long now = System.nanoTime();
        boolean checkpointDue = now - lastCheckpointNanos > CHECKPOINT_INTERVAL.toNanos();
        for (OwnedJob job : List.copyOf(ownedJobs.values())) {
            for (ItemRun run : List.copyOf(job.runs())) {
                if (run.isRunning() && run.call().isInVain()) {
                    run.call().cancel();
                    run.recordStall();
                    retryLater(run, now, "silent target");
                } else if (run.isRunning() && run.timeOfThisRun(now).compareTo(RUN_TIMEOUT) > 0) {
                    run.call().fail();
                    retryLater(run, now, "run timeout");
                }
            }
            abandonIfExpired(job, now);
            committer.commit(job);
            if (checkpointDue) {
                committer.checkpoint(job);
            }
        }
        if (checkpointDue) {
            lastCheckpointNanos = now;
        }
        updateDemand();
    }

    private void abandonIfExpired(OwnedJob job, long now) {
        Optional<Route> route = schedule.route(job.job());
        if (route.isEmpty()) {
            long sinceNanos =
                    routeMissingSinceNanos.computeIfAbsent(
                            job.id(), id -> logMissingRoute(job.job(), now));
            if (viewHolder.view().config().isPresent()
                    && now - sinceNanos > MISSING_ROUTE_GRACE.toNanos()) {
                abandonUnfinishedItems(job, "route removed");
            }
            return;
        }
        routeMissingSinceNanos.remove(job.id());
        OptionalLong storeNow = storeClock.nowMillis();
        if (storeNow.isEmpty()) {
            return;
        }
        Duration age = Duration.ofMillis(storeNow.getAsLong() - job.job().acceptedAtMillis());
        Duration retention = route.get().batch().orElseThrow().retention();
        if (ItemOutcome.byAge(age, retention) == ItemOutcome.GIVE_UP) {
            abandonUnfinishedItems(job, "retention over");
        }
    }

    /** Logs that a job has no route in the current configuration, and returns the given time. */
    private long logMissingRoute(JobRecord job, long now) {
        LOG.warn(
                "batch: route missing job={} route={} path={} configVersion={}",
                job.id(),
                job.route(),
                job.path(),
                viewHolder
                        .view()
                        .config()
                        .map(config -> String.valueOf(config.version()))
                        .orElse("-"));
        return now;
    }

    private void abandonUnfinishedItems(OwnedJob job, String reason) {
        for (ItemRun run : job.runs()) {
            if (!run.isFinished()) {
                run.stop();
                finish(run, false, reason);
            }
        }
    }

    /** Updates the demand after the current event, which also covers later changes in it. */
    private void scheduleDemandUpdate() {
        if (!demandUpdateScheduled) {
            demandUpdateScheduled = true;
            loop.execute(
                    () -> {
                        demandUpdateScheduled = false;
                        updateDemand();
                    });
        }
    }

    /** Updates the demand when an item that waits for some time may start. */
    private void scheduleDemandUpdate(Duration delay) {
        loop.schedule(this::updateDemand, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Requests slots for all items that may start now. */
    private void updateDemand() {
        Map<String, List<ItemRun>> startable = new HashMap<>();
        if (!stopping) {
            startableItems
                    .of(ownedJobs.values(), System.nanoTime())
                    .forEach(
                            (run, service) ->
                                    startable
                                            .computeIfAbsent(service, key -> new ArrayList<>())
                                            .add(run));
        }
        for (String service : Sets.union(batchDemands.services(), startable.keySet())) {
            List<ItemRun> runs = startable.getOrDefault(service, List.of());
            int largestTokens = runs.stream().mapToInt(ItemRun::maxTokens).max().orElse(0);
            batchDemands.set(service, runs.size(), schedule.earliestDueMillis(runs), largestTokens);
        }
    }

    /** Starts the most urgent item of a service in a granted slot, if there is one. */
    private boolean onSlot(SlotLease lease, TargetInstance target) {
        if (stopping) {
            return false;
        }
        List<ItemRun> startable = new ArrayList<>();
        startableItems
                .of(ownedJobs.values(), System.nanoTime())
                .forEach(
                        (run, service) -> {
                            if (service.equals(target.service())) {
                                startable.add(run);
                            }
                        });
        if (!fleet.isIdle(target.id()) && startable.removeIf(ItemRun::isQuarantined)) {
            // A trial may crash the target, so it must not run beside others.
            trials.postpone(System.nanoTime());
        }
        Optional<ItemRun> first = schedule.mostUrgent(startable);
        first.ifPresent(
                run ->
                        schedule.route(run.job().job())
                                .ifPresent(route -> startItem(run, lease, target, route)));
        scheduleDemandUpdate();
        return first.isPresent();
    }

    private void startItem(ItemRun run, SlotLease lease, TargetInstance target, Route route) {
        BatchItem item = run.item();
        if (run.isQuarantined()) {
            trials.started(run, System.nanoTime());
            DecisionLog.batch(run.job().id(), item.id(), "trial", "target " + target.id());
        }
        lease.onRevocation(() -> preempt(run));
        run.start(
                fleet.call(
                        target,
                        lease,
                        new CallDescription(
                                item.id(),
                                true,
                                StallLimit.after(run.stalledRuns()),
                                run.promptParts(),
                                run.needsNewConnection()),
                        () ->
                                TargetProtocol.itemRequest(
                                        item.id(),
                                        item.path(),
                                        route.host(),
                                        item.headers(),
                                        targetIdentity(run.job().job()),
                                        item.body(),
                                        target,
                                        RUN_TIMEOUT,
                                        run.lastEvent()),
                        new Attempt(run, route)));
    }

    private TargetIdentity targetIdentity(JobRecord job) {
        return TargetIdentity.ofJob(viewHolder.view().workspaces(), job.workspace());
    }

    private void finish(ItemRun run, boolean completed, String reason) {
        run.finish(completed);
        metrics.countItem(completed ? "completed" : "given_up");
        DecisionLog.batch(
                run.job().id(), run.item().id(), completed ? "completed" : "given_up", reason);
        committer.commit(run.job());
    }

    private void retryLater(ItemRun run, long now, String reason) {
        run.interrupt(now + FAILURE_RETRY_DELAY.toNanos());
        scheduleDemandUpdate(FAILURE_RETRY_DELAY);
        DecisionLog.batch(run.job().id(), run.item().id(), "again", reason);
    }

    /** Stops an item whose slot was given to an online request; it resumes in another slot. */
    private void preempt(ItemRun run) {
        run.call().cancel();
        run.interrupt(System.nanoTime());
        scheduleDemandUpdate();
        metrics.countItem("preempted");
    }

    /** One run of an item on a target. */
    private final class Attempt implements CallListener {

        private final ItemRun run;
        private final Route route;
        private final EventSplitter eventSplitter;
        private TargetResponse response;
        private long ignoredBytes;

        Attempt(ItemRun run, Route route) {
            this.run = run;
            this.route = route;
            this.eventSplitter = EventSplitter.to(this::onEvent);
        }

        @Override
        public void onResponse(TargetResponse newResponse) {
            response = newResponse;
        }

        @Override
        public void onData(ByteBuf data) {
            if (response.meaning() != TargetResponse.Meaning.SUCCESS || !response.isEventStream()) {
                ignoredBytes += data.readableBytes();
                if (ignoredBytes > MAX_IGNORED_BYTES) {
                    run.call().fail();
                    retryLater(run, System.nanoTime(), "oversized answer");
                }
            } else if (!eventSplitter.add(data) || run.textBytes() > MAX_TEXT_BYTES) {
                // The text so far cannot be trusted, because the target does not end the stream.
                run.call().fail();
                run.discardProgress();
                retryLater(run, System.nanoTime(), "oversized answer");
            }
        }

        private void onEvent(EventSplitter.Event event) {
            run.call().countEvent();
            run.add(event);
        }

        @Override
        public void onComplete() {
            long now = System.nanoTime();
            switch (response.meaning()) {
                case SUCCESS -> completed(now);
                case IMPOSSIBLE -> finish(run, false, "impossible");
                case FAILED -> failed(now, "status " + response.status().code());
                case NOT_RUN -> refused(now);
                case OTHER_TARGET -> retryLater(run, now, "address reused");
                case UNTRUSTED -> retryLater(run, now, "untrusted answer");
                default -> throw new AssertionError(response.meaning());
            }
        }

        private void refused(long now) {
            run.interrupt(now + REQUEUE_DELAY.toNanos());
            scheduleDemandUpdate(REQUEUE_DELAY);
            DecisionLog.batch(
                    run.job().id(),
                    run.item().id(),
                    "refused_by_target",
                    run.targetId() + " status " + response.status().code());
        }

        private void completed(long now) {
            if (eventSplitter.hasPartialEvent() || !response.isEventStream()) {
                retryLater(run, now, "incomplete stream");
            } else {
                schedule.completed(run, now);
                finish(run, true, "");
            }
        }

        private void failed(long now, String reason) {
            int failures = run.job().addFailure(run.index());
            if (ItemOutcome.afterFailure(failures, route.maxAttempts()) == ItemOutcome.GIVE_UP) {
                finish(run, false, "failed " + failures + " times");
            } else {
                retryLater(run, now, reason);
                committer.commit(run.job());
            }
        }

        @Override
        public void onFailure(CallFailure failure) {
            long now = System.nanoTime();
            if (failure == CallFailure.FAILURE_REPORTED) {
                failed(now, "failure without identifier");
            } else {
                if (failure == CallFailure.UNATTRIBUTED) {
                    run.requireNewConnection();
                }
                retryLater(run, now, failure.name());
            }
        }
    }
}
