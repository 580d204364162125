package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.fuchsiaspindle.core.batch.ActiveJob;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;

/**
 * Reads the open jobs from the table. Thread-safe.
 *
 * <p>A refresh reads only the head row while nothing has changed. The list is read after the head,
 * so it may contain changes newer than its version; the next refresh then reads it again.
 */
public final class TableJobDirectory implements JobDirectory {

    private static final int PAGE_SIZE = 1000;

    private final TableService table;
    private final Clock clock;
    private final AtomicReference<Snapshot> current;

    private TableJobDirectory(TableService table, Clock clock) {
        this.table = checkNotNull(table, "table");
        this.clock = checkNotNull(clock, "clock");
        this.current =
                new AtomicReference<>(new Snapshot(0, clock.nanoTime(), false, ImmutableMap.of()));
    }

    /** Creates a directory that is empty and not confirmed until its first refresh. */
    public static TableJobDirectory create(TableService table, Clock clock) {
        return new TableJobDirectory(table, clock);
    }

    @Override
    public Snapshot current() {
        return current.get();
    }

    @Override
    public void refresh() {
        long sentNanos = clock.nanoTime();
        long version = table.read(BatchKeys.ACTIVE_HEAD).map(Row::version).orElse(0L);
        Snapshot last = current.get();
        ImmutableMap<String, ActiveJob> jobs =
                last.confirmed() && last.version() == version ? last.jobs() : readJobs();
        Snapshot next = new Snapshot(version, sentNanos, true, jobs);
        // Refreshes may overlap; an older one must not replace a newer one.
        current.accumulateAndGet(
                next,
                (present, candidate) ->
                        candidate.version() < present.version()
                                        || candidate.confirmedNanos() < present.confirmedNanos()
                                ? present
                                : candidate);
    }

    private ImmutableMap<String, ActiveJob> readJobs() {
        ImmutableMap.Builder<String, ActiveJob> jobs = ImmutableMap.builder();
        String after = "";
        while (true) {
            List<Row> page = table.readPrefix(BatchKeys.ACTIVE, after, PAGE_SIZE);
            for (Row row : page) {
                after = row.key();
                if (!after.equals(BatchKeys.ACTIVE_HEAD)) {
                    ActiveJob job = BatchJson.read(row.value(), ActiveJob.class);
                    jobs.put(job.id(), job);
                }
            }
            if (page.size() < PAGE_SIZE) {
                return jobs.buildKeepingLast();
            }
        }
    }
}
