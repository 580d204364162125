package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.fuchsiaspindle.core.batch.ActiveJob;

/** A cached list of the open jobs. Thread-safe. */
public interface JobDirectory {

    /** Returns the newest list; never blocks. */
    Snapshot current();

    /**
     * Refreshes the list; blocks. Called about every second while the component runs.
     *
     * @throws org.fuchsiaspindle.core.error.FuchsiaspindleException if the table does not respond;
     *     the current list is then kept and its age grows
     */
    void refresh();

    /**
     * The list at one version.
     *
     * @param version the version of {@code active/head}, 0 before the first job
     * @param confirmedNanos monotonic time at which the read that confirmed the list was sent
     * @param confirmed false until the table has responded for the first time
     * @param jobs the open jobs by identifier
     */
    record Snapshot(
            long version,
            long confirmedNanos,
            boolean confirmed,
            ImmutableMap<String, ActiveJob> jobs) {

        /** Validates the components. */
        public Snapshot {
            checkNotNull(jobs, "jobs");
        }

        /** Returns the time since the list was confirmed. */
        public Duration age(long nowNanos) {
            return Duration.ofNanos(nowNanos - confirmedNanos);
        }
    }
}
