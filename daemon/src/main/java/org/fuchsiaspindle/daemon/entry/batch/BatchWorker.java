package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import org.fuchsiaspindle.core.batch.ActiveJob;
import org.fuchsiaspindle.core.batch.BatchLimits;
import org.fuchsiaspindle.core.batch.ClaimSelector;
import org.fuchsiaspindle.core.batch.CustomerVirtualTimes;
import org.fuchsiaspindle.core.batch.JobStatus;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.wire.proto.BatchCancel;
import org.fuchsiaspindle.wire.proto.BatchResult;
import org.fuchsiaspindle.wire.proto.BatchReturn;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs this entry's share of the open jobs: claims segments, dispatches their items and stores the
 * results. Thread-safe.
 *
 * <p>Each {@link #tick} decides under one lock what to do and passes every call to the table and
 * the object store to an executor; the outcome is applied under the lock. No such call is made
 * while the lock is held. With an executor that runs tasks in the calling thread, a tick is one
 * deterministic step.
 */
final class BatchWorker {

    private static final Logger LOG = LoggerFactory.getLogger(BatchWorker.class);
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long REFRESH_INTERVAL_NANOS = NANOS_PER_SECOND;
    private static final long RISK_UPDATE_INTERVAL_NANOS = NANOS_PER_SECOND;
    private static final long RETRY_DELAY_NANOS = NANOS_PER_SECOND;
    private static final long SESSION_IDLE_TIMEOUT_NANOS = 60 * NANOS_PER_SECOND;
    private static final int MAX_CLAIMS_PER_TICK = 16;

    private final BatchContext context;
    private final ObservedTable table;
    private final SegmentStore segments;
    private final HolderSession session;
    private final JobDirectory directory;
    private final WorkerState state;
    private final SegmentWrites writes;
    private final JobScans scans;
    private final JobMaintenance maintenance;
    private final BatchMetrics metrics;
    private final Executor executor;
    private final long maxUnsavedBytes;
    private final List<UnresolvedClaim> unresolvedClaims = new ArrayList<>();
    private final Set<String> hintedCancellations = new HashSet<>();
    private final OutstandingItems outstandingItems = new OutstandingItems();
    private final CustomerVirtualTimes virtualTimes = new CustomerVirtualTimes();
    private final ItemDispatcher dispatcher;
    private final AgentEvents events;
    private final CapacityEstimate capacity = new CapacityEstimate();
    private JobDirectory.Snapshot syncedSnapshot;
    private boolean refreshing;
    private boolean sessionCallRunning;
    private boolean closingSession;
    private boolean draining;
    private long nextRenewNanos;
    private long nextClaimNanos;
    private long nextRiskUpdateNanos;
    private volatile ImmutableSet<String> jobsAtRisk = ImmutableSet.of();
    private long lastSessionUseNanos;

    /** A claim whose outcome is unknown; it is retried until the outcome is known. */
    private record UnresolvedClaim(
            JobState job, SegmentStore.Write write, String holder, long retryNanos) {}

    /**
     * Creates a worker.
     *
     * @param maxUnsavedBytes bytes of results not yet in the object store at which dispatch pauses
     */
    BatchWorker(
            BatchContext context,
            ObservedTable table,
            JobStore jobStore,
            JobDirectory directory,
            BatchMetrics metrics,
            Executor executor,
            long maxUnsavedBytes) {
        this.context = checkNotNull(context, "context");
        this.table = checkNotNull(table, "table");
        this.directory = checkNotNull(directory, "directory");
        this.metrics = checkNotNull(metrics, "metrics");
        this.executor = checkNotNull(executor, "executor");
        this.maxUnsavedBytes = maxUnsavedBytes;
        this.segments = new SegmentStore(table, context.objects(), context.random());
        this.session =
                new HolderSession(
                        table,
                        context.clock(),
                        context.random(),
                        context.instanceId(),
                        context.incarnation());
        this.state = new WorkerState(context.clock());
        this.writes = new SegmentWrites(state, segments, metrics);
        this.scans =
                new JobScans(state, jobStore, new SegmentScan(segments, context.clock()), session);
        this.maintenance = new JobMaintenance(context, state, jobStore, segments, scans, metrics);
        this.dispatcher = new ItemDispatcher(context, outstandingItems, virtualTimes, metrics);
        this.events = new AgentEvents(state.held(), outstandingItems, metrics);
        this.syncedSnapshot = directory.current();
        long now = context.clock().nanoTime();
        nextRenewNanos = now;
        nextClaimNanos = now;
        nextRiskUpdateNanos = now;
        lastSessionUseNanos = now;
    }

    /**
     * Dispatches the items that may be sent now and starts the calls to the table and the object
     * store that are due.
     */
    void tick() {
        List<Runnable> calls = new ArrayList<>();
        synchronized (state.lock()) {
            long now = context.clock().nanoTime();
            long nowMs = context.clock().wallTime().toEpochMilli();
            syncJobs(now);
            failRemainingItems();
            dispatcher.agentsWithLostItems(now).forEach(events::itemsLost);
            if (mayDispatch(now)) {
                dispatcher.dispatch(state.dispatchable(maxUnsavedBytes), state.jobs(), now, nowMs);
            }
            planRefresh(now, calls);
            planSession(now, calls);
            writes.plan(now, calls);
            planUnresolvedClaims(now, calls);
            planClaims(now, nowMs, calls);
            maintenance.plan(now, nowMs, isDirectoryFresh(now), calls);
            updateRisks(now, nowMs);
        }
        calls.forEach(executor::execute);
    }

    /**
     * Dispatches items to one agent up to the number that it requested. Makes no call to the table
     * or the object store, so that it can be called for every load report.
     */
    void dispatchTo(FleetConnection agent) {
        synchronized (state.lock()) {
            long now = context.clock().nanoTime();
            if (mayDispatch(now)) {
                dispatcher.dispatchTo(
                        agent,
                        state.dispatchable(maxUnsavedBytes),
                        state.jobs(),
                        now,
                        context.clock().wallTime().toEpochMilli());
            }
        }
    }

    void onResult(FleetConnection connection, BatchResult result) {
        synchronized (state.lock()) {
            long now = context.clock().nanoTime();
            events.result(connection, result, now, context.clock().wallTime().toEpochMilli())
                    .ifPresent(sent -> capacity.observe(now - sent.sentNanos()));
        }
    }

    void onReturn(FleetConnection connection, BatchReturn items) {
        synchronized (state.lock()) {
            events.returned(connection, items);
        }
    }

    void onAgentLost(FleetConnection connection) {
        synchronized (state.lock()) {
            events.agentLost(connection);
        }
    }

    /** Stops dispatch of a cancelled job before the job directory shows the cancellation. */
    void onCancelled(String job) {
        synchronized (state.lock()) {
            hintedCancellations.add(job);
            JobState cancelled = state.jobs().get(job);
            if (cancelled != null) {
                stop(cancelled);
            }
            state.refreshAt(context.clock().nanoTime());
        }
    }

    /** Schedules a refresh of the job directory after a job was accepted at this entry. */
    void onAccepted() {
        synchronized (state.lock()) {
            state.refreshAt(context.clock().nanoTime());
        }
    }

    /** Stops claims and dispatch; results of items at agents are still accepted. */
    void drain() {
        synchronized (state.lock()) {
            draining = true;
        }
    }

    /** Returns true while items are outstanding at agents or segment rows must be written. */
    boolean hasWork() {
        synchronized (state.lock()) {
            return outstandingItems.total() > 0
                    || state.held().values().stream().anyMatch(HeldSegment::needsWrite);
        }
    }

    /** Releases all leases. */
    void close() {
        try {
            session.close();
        } catch (FuchsiaspindleException e) {
            LOG.warn("batch: leases not released, they will expire reason={}", e.getMessage());
        }
    }

    /** Returns why a job cannot meet its deadline, empty if no reason is known. */
    Optional<String> infeasibilityReason(String model, int items, Duration window) {
        synchronized (state.lock()) {
            long deadlineMs = context.clock().wallTime().plus(window).toEpochMilli();
            long backlog =
                    state.jobs().values().stream()
                            .filter(job -> job.active().model().equals(model))
                            .filter(job -> job.active().deadlineMs() <= deadlineMs)
                            .mapToLong(JobState::remaining)
                            .sum();
            return capacity.infeasibilityReason(backlog, items, dispatcher.capacity(model), window);
        }
    }

    int estimatedTargets(String model) {
        return dispatcher.estimatedTargets(model);
    }

    private void syncJobs(long now) {
        JobDirectory.Snapshot snapshot = directory.current();
        if (snapshot == syncedSnapshot || !snapshot.confirmed()) {
            return;
        }
        syncedSnapshot = snapshot;
        state.jobs().keySet().removeIf(id -> !snapshot.jobs().containsKey(id));
        state.held().keySet().removeIf(key -> !state.jobs().containsKey(key.job()));
        hintedCancellations.removeIf(
                id -> {
                    ActiveJob job = snapshot.jobs().get(id);
                    return job == null || !job.status().isDispatchable();
                });
        for (ActiveJob active : snapshot.jobs().values()) {
            JobState job =
                    state.jobs().computeIfAbsent(active.id(), id -> new JobState(active, now));
            job.setActive(active);
            if (hintedCancellations.contains(active.id()) || !active.status().isDispatchable()) {
                stop(job);
            }
        }
    }

    private void stop(JobState job) {
        if (job.isStopped()) {
            return;
        }
        job.stop();
        job.requestScan(context.clock().nanoTime());
        Frame cancel =
                Frame.newBuilder()
                        .setBatchCancel(BatchCancel.newBuilder().setJobId(job.active().id()))
                        .build();
        List<FleetConnection> agents = outstandingItems.removeJob(job.active().id());
        agents.forEach(agent -> agent.send(cancel));
        LOG.info(
                "batch: dispatch stopped job={} status={} agents={}",
                job.active().id(),
                job.active().status().wireName(),
                agents.size());
    }

    /** Adds error records for the unfinished items of cancelled and expired jobs. */
    private void failRemainingItems() {
        for (HeldSegment segment : state.held().values()) {
            JobState job = state.jobs().get(segment.key().job());
            if (job != null && job.active().status().isClosing() && segment.work() != null) {
                segment.work().failRemaining(closingCode(job.active().status()));
            }
        }
    }

    private static ResultCode closingCode(JobStatus status) {
        return status == JobStatus.CANCELLING ? ResultCode.ITEM_CANCELLED : ResultCode.ITEM_EXPIRED;
    }

    private boolean mayDispatch(long now) {
        boolean hasLease = session.isValid(now) && isDirectoryFresh(now);
        return !draining && (hasLease || (session.isOpen() && isTableDown(now)));
    }

    private boolean isDirectoryFresh(long now) {
        return syncedSnapshot.confirmed()
                && syncedSnapshot.age(now).compareTo(BatchLimits.MAX_DIRECTORY_AGE) <= 0;
    }

    /**
     * Returns true if the table does not respond to this entry and at least half of its peers
     * report the same. Dispatch then continues without a valid lease: while no entry reaches the
     * table, no cancellation is accepted and no lease is taken over.
     */
    private boolean isTableDown(long now) {
        ObservedTable.Observation last = table.last();
        return !last.responded()
                && now - last.nanos() <= BatchLimits.MAX_DIRECTORY_AGE.toNanos()
                && context.outage().isReportedByPeers();
    }

    private void planRefresh(long now, List<Runnable> calls) {
        if (!refreshing && state.isRefreshDue(now)) {
            refreshing = true;
            state.refreshAt(now + REFRESH_INTERVAL_NANOS);
            calls.add(
                    state.call(
                            "refresh",
                            () -> {
                                directory.refresh();
                                state.apply(t -> refreshing = false);
                            },
                            t -> refreshing = false));
        }
    }

    private void planSession(long now, List<Runnable> calls) {
        boolean inUse = !state.held().isEmpty() || state.hasClaims();
        if (inUse) {
            lastSessionUseNanos = now;
        }
        if (session.isOpen() && inUse && session.isRenewalDue(now)) {
            planRenewal(now, calls);
        } else if (session.isOpen()
                && now - lastSessionUseNanos > SESSION_IDLE_TIMEOUT_NANOS
                && !sessionCallRunning) {
            sessionCallRunning = true;
            closingSession = true;
            calls.add(
                    state.call(
                            "close session",
                            () -> {
                                session.close();
                                state.apply(this::sessionClosed);
                            },
                            this::sessionClosed));
        }
    }

    private void sessionClosed(long now) {
        sessionCallRunning = false;
        closingSession = false;
    }

    private void planRenewal(long now, List<Runnable> calls) {
        if (sessionCallRunning || now - nextRenewNanos < 0) {
            return;
        }
        sessionCallRunning = true;
        nextRenewNanos = now + RETRY_DELAY_NANOS;
        calls.add(
                state.call(
                        "renew session",
                        () -> {
                            boolean kept = session.renew();
                            state.apply(
                                    t -> {
                                        sessionCallRunning = false;
                                        lastSessionUseNanos = t;
                                        if (!kept) {
                                            LOG.warn(
                                                    "batch: session lost segments={}",
                                                    state.held().size());
                                            state.held().clear();
                                        }
                                    });
                        },
                        t -> sessionCallRunning = false));
    }

    private void planClaims(long now, long nowMs, List<Runnable> calls) {
        // A segment claimed under a session that is being closed could be taken over at once.
        if (draining
                || closingSession
                || now - nextClaimNanos < 0
                || !isDirectoryFresh(now)
                || state.unsavedBytes() >= maxUnsavedBytes
                || state.inputBytes() >= BatchLimits.MAX_INPUT_BYTES) {
            return;
        }
        nextClaimNanos = now + state.passIntervalNanos();
        Map<String, Integer> unfinishedItems = state.unfinishedItems();
        Set<String> exhausted = new HashSet<>();
        for (Map.Entry<String, Integer> request : dispatcher.requestedItems(now).entrySet()) {
            // Claims 1.5 times the requested items, because agents finish items during a claim.
            int demand = request.getValue() + Math.ceilDiv(request.getValue(), 2);
            for (int i = 0; i < MAX_CLAIMS_PER_TICK; i++) {
                Optional<String> next =
                        ClaimSelector.next(
                                candidates(
                                        request.getKey(), unfinishedItems, exhausted, now, nowMs),
                                demand,
                                virtualTimes);
                if (next.isEmpty()) {
                    break;
                }
                if (!session.isValid(now)) {
                    planRenewal(now, calls);
                    return;
                }
                int claimed = claimOrScan(state.jobs().get(next.get()), now, calls);
                if (claimed == 0) {
                    exhausted.add(next.get());
                }
                unfinishedItems.merge(next.get(), claimed, Integer::sum);
            }
        }
    }

    private List<ClaimSelector.Candidate> candidates(
            String model,
            Map<String, Integer> unfinishedItems,
            Set<String> exhausted,
            long now,
            long nowMs) {
        List<ClaimSelector.Candidate> candidates = new ArrayList<>();
        for (JobState job : state.jobs().values()) {
            ActiveJob active = job.active();
            if (active.model().equals(model) && job.isDispatchable()) {
                candidates.add(
                        new ClaimSelector.Candidate(
                                active.id(),
                                active.customer(),
                                dispatcher.weight(active.customer()),
                                unfinishedItems.getOrDefault(active.id(), 0),
                                !exhausted.contains(active.id())
                                        && (job.hasClaimable() || job.isScanDue(now)),
                                job.isAtRisk(),
                                job.slackSeconds(nowMs, now),
                                active.deadlineMs()));
            }
        }
        return candidates;
    }

    /**
     * Starts a claim, or a scan if no claimable segment is known.
     *
     * @return the number of items in the claimed segment, 0 if none was claimed
     */
    private int claimOrScan(JobState job, long now, List<Runnable> calls) {
        OptionalInt claimable =
                job.hasClaimable() ? job.pickClaimable(context.random()) : OptionalInt.empty();
        if (claimable.isEmpty()) {
            if (job.isScanDue(now)) {
                calls.add(scans.scan(job, now));
            }
            return 0;
        }
        int number = claimable.getAsInt();
        SegmentKey key = new SegmentKey(job.active().id(), number);
        Row row = job.abandonedRow(number);
        String holder = session.key();
        state.beginClaim(job, number);
        SegmentStore.Write write =
                row == null ? segments.claim(key, holder) : segments.takeOver(key, row, holder);
        calls.add(claim(job, write, holder));
        return job.plan().segment(number).items();
    }

    private Runnable claim(JobState job, SegmentStore.Write write, String holder) {
        return () -> {
            try {
                OptionalLong version = segments.send(write);
                state.apply(now -> applyClaim(job, write, holder, version));
            } catch (FuchsiaspindleException e) {
                boolean unknown = e.code() == ResultCode.WRITE_OUTCOME_UNKNOWN;
                state.apply(now -> claimFailed(job, write, holder, unknown, now));
                LOG.debug("batch: claim failed segment={}", write.key(), e);
            } catch (RuntimeException e) {
                state.apply(now -> claimFailed(job, write, holder, false, now));
                LOG.error("batch: claim failed segment={}", write.key(), e);
            }
        };
    }

    private void claimFailed(
            JobState job, SegmentStore.Write write, String holder, boolean unknown, long now) {
        nextClaimNanos = now + RETRY_DELAY_NANOS;
        if (unknown) {
            unresolvedClaims.add(new UnresolvedClaim(job, write, holder, now + RETRY_DELAY_NANOS));
        } else {
            state.endClaim(job, write.key().number());
        }
    }

    private void planUnresolvedClaims(long now, List<Runnable> calls) {
        for (UnresolvedClaim claim : List.copyOf(unresolvedClaims)) {
            if (now - claim.retryNanos() >= 0) {
                unresolvedClaims.remove(claim);
                calls.add(claim(claim.job(), claim.write(), claim.holder()));
            }
        }
    }

    private void applyClaim(
            JobState job, SegmentStore.Write write, String holder, OptionalLong version) {
        boolean won = version.isPresent();
        SegmentKey key = write.key();
        state.endClaim(job, key.number());
        job.segmentClaimed(key.number());
        boolean takeover = write.expectedVersion() > 0;
        metrics.claim(won ? (takeover ? "takeover" : "claimed") : "collision");
        LOG.info(
                "batch: {} job={} segment={} epoch={} won={}",
                takeover ? "takeover" : "claim",
                key.job(),
                key.number(),
                write.record().epoch(),
                won);
        // A segment claimed under a session that has ended since may be taken over by any entry.
        if (won && holder.equals(session.key()) && state.jobs().containsKey(key.job())) {
            state.held()
                    .put(
                            key,
                            new HeldSegment(
                                    key,
                                    job.plan().segment(key.number()).items(),
                                    write.record(),
                                    version.getAsLong()));
        }
    }

    /** Returns the identifiers of the jobs that may miss their deadline, as last computed. */
    ImmutableSet<String> jobsAtRisk() {
        return jobsAtRisk;
    }

    private void updateRisks(long now, long nowMs) {
        if (now - nextRiskUpdateNanos < 0) {
            return;
        }
        nextRiskUpdateNanos = now + RISK_UPDATE_INTERVAL_NANOS;
        ImmutableSet.Builder<String> risks = ImmutableSet.builder();
        for (JobState job : state.jobs().values()) {
            if (job.updateRisk(nowMs, now)) {
                LOG.warn(
                        "batch: job at risk job={} customer={} remaining={} slack_s={}",
                        job.active().id(),
                        job.active().customer(),
                        job.remaining(),
                        Math.round(job.slackSeconds(nowMs, now)));
            }
            if (job.isAtRisk()) {
                risks.add(job.active().id());
            }
        }
        jobsAtRisk = risks.build();
        double age = syncedSnapshot.age(now).toMillis() / 1000.0;
        metrics.observe(
                state.held().size(),
                outstandingItems.total(),
                state.unsavedBytes(),
                jobsAtRisk.size(),
                age);
    }
}
