package org.fuchsiaspindle.daemon.entry.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.SegmentRecord;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.platform.table.Row;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Expires jobs, closes the open segments of cancelled and expired jobs, and ends jobs whose
 * segments are all done. Guarded by the worker's lock.
 */
final class JobMaintenance {

    private static final Logger LOG = LoggerFactory.getLogger(JobMaintenance.class);
    private static final long SCAN_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long MIN_JOB_SCAN_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long MAINTAINERS_UPDATE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_CLOSING_SEGMENTS = 16;
    private static final Duration DEFAULT_RETENTION = Duration.ofDays(1);

    private final BatchContext context;
    private final WorkerState state;
    private final JobStore jobStore;
    private final SegmentStore segments;
    private final JobScans scans;
    private final JobMaintainers maintainers;
    private final BatchMetrics metrics;
    private long nextScanNanos;
    private long nextPassNanos;
    private long nextMaintainersUpdateNanos;

    JobMaintenance(
            BatchContext context,
            WorkerState state,
            JobStore jobStore,
            SegmentStore segments,
            JobScans scans,
            BatchMetrics metrics) {
        this.context = context;
        this.state = state;
        this.jobStore = jobStore;
        this.segments = segments;
        this.scans = scans;
        this.metrics = metrics;
        this.maintainers = new JobMaintainers(context.fleet(), context.instanceId());
        this.nextScanNanos = context.clock().nanoTime();
        this.nextPassNanos = nextScanNanos;
        this.nextMaintainersUpdateNanos = nextScanNanos;
    }

    /** Starts the calls that are due for open jobs, apart from claims and segment writes. */
    void plan(long now, long nowMs, boolean directoryFresh, List<Runnable> calls) {
        if (now - nextPassNanos < 0) {
            return;
        }
        nextPassNanos = now + state.passIntervalNanos();
        if (now - nextMaintainersUpdateNanos >= 0) {
            nextMaintainersUpdateNanos = now + MAINTAINERS_UPDATE_INTERVAL_NANOS;
            maintainers.update();
        }
        List<JobState> maintained = new ArrayList<>();
        for (JobState job : state.jobs().values()) {
            if (job.isDone() && job.mayChangeStatus(now)) {
                calls.add(end(job));
            }
            boolean closing = job.active().status().isClosing();
            boolean overdue = nowMs >= job.active().deadlineMs();
            if (!closing && !overdue && now - nextScanNanos < 0) {
                continue;
            }
            if (maintainers.isMaintainer(job.active().id())) {
                maintained.add(job);
                if (closing) {
                    planClosing(job, now, calls);
                } else if (overdue && job.mayChangeStatus(now)) {
                    calls.add(expire(job));
                }
            }
        }
        if (now - nextScanNanos >= 0 && directoryFresh) {
            nextScanNanos = now + SCAN_INTERVAL_NANOS;
            maintained.stream()
                    .filter(job -> job.isScanDue(now))
                    .filter(job -> now - job.lastScanNanos() >= MIN_JOB_SCAN_INTERVAL_NANOS)
                    .min(Comparator.comparingLong(JobState::lastScanNanos))
                    .ifPresent(job -> calls.add(scans.scan(job, now)));
        }
    }

    private void planClosing(JobState job, long now, List<Runnable> calls) {
        if (!job.hasClaimable() && job.isScanDue(now) && !job.isDone()) {
            calls.add(scans.scan(job, now));
            return;
        }
        for (int segmentsClosing = state.heldSegments(job.active().id());
                segmentsClosing < MAX_CLOSING_SEGMENTS && job.hasClaimable();
                segmentsClosing++) {
            int number = job.pickClaimable(context.random()).orElseThrow();
            SegmentKey key = new SegmentKey(job.active().id(), number);
            Row row = job.abandonedRow(number);
            SegmentRecord record =
                    row == null
                            ? segments.claim(key, "").record()
                            : segments.takeOver(key, row, "").record();
            // The segment is not claimed first: the commit is conditional on the row version read.
            state.held()
                    .put(
                            key,
                            new HeldSegment(
                                    key,
                                    job.plan().segment(number).items(),
                                    record,
                                    row == null ? 0 : row.version()));
            job.segmentClaimed(number);
        }
    }

    private Runnable expire(JobState job) {
        job.beginStatusChange();
        String id = job.active().id();
        return state.call(
                "expire",
                () -> {
                    boolean expired = jobStore.expire(id);
                    state.apply(
                            now -> {
                                job.endStatusChange(now);
                                state.refreshAt(now);
                            });
                    LOG.info("batch: deadline passed job={} finalizing={}", id, expired);
                },
                job::endStatusChange);
    }

    private Runnable end(JobState job) {
        job.beginStatusChange();
        String id = job.active().id();
        JobRecord.Outcome outcome = job.outcome();
        Contract contract = context.config().current().contracts().get(job.active().customer());
        Duration retention =
                contract == null ? DEFAULT_RETENTION : contract.batch().resultRetention();
        return state.call(
                "end",
                () -> {
                    Optional<JobRecord> ended = jobStore.end(id, outcome, retention);
                    state.apply(
                            now -> {
                                job.markEnded();
                                state.held().keySet().removeIf(key -> key.job().equals(id));
                                state.refreshAt(now);
                            });
                    ended.ifPresent(this::logEnded);
                },
                job::endStatusChange);
    }

    private void logEnded(JobRecord job) {
        metrics.jobEnded(job.status().wireName());
        LOG.info(
                "batch: job ended job={} status={} completed={} failed={}",
                job.id(),
                job.status().wireName(),
                job.outcome().completed(),
                job.outcome().failed());
    }
}
