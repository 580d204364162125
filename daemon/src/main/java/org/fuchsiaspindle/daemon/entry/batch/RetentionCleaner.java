package org.fuchsiaspindle.daemon.entry.batch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.table.Row;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes ended jobs after their retention time, and the session rows of failed entries.
 * Thread-safe.
 *
 * <p>Every step of a deletion is idempotent, so an interrupted deletion is completed by a later
 * pass. The interval between passes is long because retention times are days.
 */
final class RetentionCleaner {

    private static final Logger LOG = LoggerFactory.getLogger(RetentionCleaner.class);
    private static final long INTERVAL_NANOS = Duration.ofMinutes(5).toNanos();
    private static final int MAX_JOBS_PER_PASS = 10;

    private final JobDeletion deletion;
    private final AbandonedSessions sessions;
    private final JobMaintainers maintainers;
    private final Clock clock;
    private final Executor executor;
    private final AtomicBoolean running = new AtomicBoolean();
    private long nextPassNanos;

    RetentionCleaner(
            BatchContext context,
            ObservedTable table,
            FileStore files,
            JobStore jobs,
            Executor executor) {
        this.deletion = new JobDeletion(table, context.objects(), files, jobs, context.random());
        this.sessions = new AbandonedSessions(table);
        this.maintainers = new JobMaintainers(context.fleet(), context.instanceId());
        this.clock = context.clock();
        this.executor = executor;
        this.nextPassNanos = clock.nanoTime() + INTERVAL_NANOS;
    }

    /** Starts a cleaning pass if one is due. */
    void tick() {
        long now = clock.nanoTime();
        if (now - nextPassNanos < 0) {
            return;
        }
        nextPassNanos = now + INTERVAL_NANOS;
        maintainers.update();
        if (maintainers.isMaintainer(BatchKeys.RETAINED) && running.compareAndSet(false, true)) {
            executor.execute(this::pass);
        }
    }

    private void pass() {
        try {
            sessions.deleteUnchanged();
            long nowMs = clock.wallTime().toEpochMilli();
            List<Row> due = deletion.due(nowMs, MAX_JOBS_PER_PASS);
            for (Row row : due) {
                Optional<String> job = deletion.delete(row);
                job.ifPresent(id -> LOG.info("batch: job deleted job={}", id));
            }
        } catch (FuchsiaspindleException e) {
            LOG.warn("batch: deletion postponed reason={}", e.getMessage());
        } finally {
            running.set(false);
        }
    }
}
