package org.fuchsiaspindle.daemon.entry.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open jobs and held segments of a worker, with the lock that guards them. Calls to the table
 * and the object store are made without the lock and apply their outcome under it.
 */
final class WorkerState {

    private static final Logger LOG = LoggerFactory.getLogger(WorkerState.class);

    private static final long MIN_PASS_INTERVAL_NANOS = 10_000_000L;
    private static final long PASS_INTERVAL_PER_JOB_NANOS = 20_000L;

    private final Object lock = new Object();
    private final Clock clock;
    private final Map<String, JobState> jobs = new LinkedHashMap<>();
    private final Map<SegmentKey, HeldSegment> held = new LinkedHashMap<>();
    private long nextRefreshNanos;
    private int pendingClaims;

    WorkerState(Clock clock) {
        this.clock = clock;
        this.nextRefreshNanos = clock.nanoTime();
    }

    Object lock() {
        return lock;
    }

    /** Returns the open jobs by identifier. */
    Map<String, JobState> jobs() {
        return jobs;
    }

    /** Returns the held segments in the order in which they were claimed. */
    Map<SegmentKey, HeldSegment> held() {
        return held;
    }

    /** Schedules the next refresh of the job directory for a monotonic time. */
    void refreshAt(long nanos) {
        nextRefreshNanos = nanos;
    }

    boolean isRefreshDue(long now) {
        return now - nextRefreshNanos >= 0;
    }

    long unsavedBytes() {
        return held.values().stream()
                .filter(segment -> segment.work() != null)
                .mapToLong(segment -> segment.work().unsavedBytes())
                .sum();
    }

    /**
     * Returns the segments whose items may be sent.
     *
     * <p>Once unsaved results reach the limit, nothing may be sent while complete segments wait for
     * the object store. If none is complete, only the oldest segment of a dispatchable job
     * continues, because memory is freed only when a segment is completed.
     */
    Collection<HeldSegment> dispatchable(long maxUnsavedBytes) {
        if (unsavedBytes() < maxUnsavedBytes) {
            return held.values();
        }
        List<HeldSegment> loaded = held.values().stream().filter(s -> !s.needsLines()).toList();
        if (loaded.stream().anyMatch(segment -> segment.work().isComplete())) {
            return List.of();
        }
        return loaded.stream()
                .filter(segment -> jobs.get(segment.key().job()).isDispatchable())
                .limit(1)
                .toList();
    }

    long inputBytes() {
        return held.values().stream()
                .filter(segment -> segment.work() != null)
                .mapToLong(segment -> segment.work().inputBytes())
                .sum();
    }

    /** Returns for each job the number of unfinished items in held segments and pending claims. */
    Map<String, Integer> unfinishedItems() {
        Map<String, Integer> items = new HashMap<>();
        held.values().forEach(s -> items.merge(s.key().job(), s.openItems(), Integer::sum));
        jobs.forEach((id, job) -> items.merge(id, job.itemsBeingClaimed(), Integer::sum));
        return items;
    }

    /** Returns the number of held segments of a job. */
    int heldSegments(String job) {
        return (int) held.keySet().stream().filter(key -> key.job().equals(job)).count();
    }

    /**
     * Returns the minimum time between two passes over all open jobs. It grows with the number of
     * jobs, which bounds the share of time spent on passes.
     */
    long passIntervalNanos() {
        return Math.max(MIN_PASS_INTERVAL_NANOS, jobs.size() * PASS_INTERVAL_PER_JOB_NANOS);
    }

    void beginClaim(JobState job, int number) {
        job.beginClaim(number);
        pendingClaims++;
    }

    void endClaim(JobState job, int number) {
        job.endClaim(number);
        pendingClaims--;
    }

    /** Returns true while a claim is under way or its outcome is unknown. */
    boolean hasClaims() {
        return pendingClaims > 0;
    }

    /** Changes the state under the lock; the change receives the monotonic time. */
    void apply(LongConsumer change) {
        synchronized (lock) {
            change.accept(clock.nanoTime());
        }
    }

    /**
     * Wraps a call to the table or the object store so that a failure is logged and passed to
     * {@code onFailure}, which schedules the retry.
     */
    Runnable call(String name, Runnable action, LongConsumer onFailure) {
        return () -> {
            try {
                action.run();
            } catch (FuchsiaspindleException e) {
                apply(onFailure);
                LOG.debug("batch: call failed call={} code={}", name, e.code(), e);
            } catch (RuntimeException e) {
                apply(onFailure);
                LOG.error("batch: call failed call={}", name, e);
            }
        };
    }
}
