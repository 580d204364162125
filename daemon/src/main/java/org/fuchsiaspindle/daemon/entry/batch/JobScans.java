package org.fuchsiaspindle.daemon.entry.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.platform.table.Row;

/** Scans jobs for claimable and done segments. Guarded by the worker's lock. */
final class JobScans {

    private final WorkerState state;
    private final JobStore jobStore;
    private final SegmentScan scanner;
    private final HolderSession session;

    JobScans(WorkerState state, JobStore jobStore, SegmentScan scanner, HolderSession session) {
        this.state = state;
        this.jobStore = jobStore;
        this.scanner = scanner;
        this.session = session;
    }

    /** Returns the call that scans a job. */
    Runnable scan(JobState job, long now) {
        job.beginScan(now);
        String id = job.active().id();
        String ownSession = session.key();
        JobRecord knownRecord = job.record();
        int firstNotDone = knownRecord == null ? 0 : job.firstNotDone();
        return state.call(
                "scan",
                () -> {
                    Optional<JobRecord> record =
                            knownRecord == null ? jobStore.read(id) : Optional.of(knownRecord);
                    if (record.isEmpty()) {
                        state.apply(t -> job.endScan(t, false));
                        return;
                    }
                    SegmentScan.Result result =
                            scanner.scan(record.get(), firstNotDone, ownSession);
                    state.apply(t -> applyScan(job, record.get(), result, t));
                },
                t -> job.endScan(t, false));
    }

    private void applyScan(JobState job, JobRecord record, SegmentScan.Result result, long now) {
        if (job.record() == null) {
            job.setRecord(record);
        }
        result.done().forEach(job::segmentDone);
        List<Row> abandoned = new ArrayList<>(result.abandoned());
        for (Row row : result.own()) {
            // The row names this entry's session, but the worker does not hold the segment; it
            // is taken over again.
            if (!state.held()
                    .containsKey(new SegmentKey(record.id(), BatchKeys.segmentNumber(row.key())))) {
                abandoned.add(row);
            }
        }
        job.applyScan(result.unclaimed(), abandoned, now);
        job.endScan(now, job.hasClaimable());
    }
}
