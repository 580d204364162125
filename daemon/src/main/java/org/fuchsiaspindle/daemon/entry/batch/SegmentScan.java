package org.fuchsiaspindle.daemon.entry.batch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.LeaseObserver;
import org.fuchsiaspindle.core.batch.SegmentRecord;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.table.Row;

/**
 * Determines which segments of a job are unclaimed, abandoned, held or done. Thread-safe; calls
 * block.
 */
final class SegmentScan {

    private static final int PAGE_SIZE = 500;

    private final SegmentStore store;
    private final Clock clock;
    private final LeaseObserver leases = new LeaseObserver();

    SegmentScan(SegmentStore store, Clock clock) {
        this.store = store;
        this.clock = clock;
    }

    /**
     * Result of a scan.
     *
     * @param done outcomes of the segments that are done
     * @param unclaimed segments without a row
     * @param abandoned rows of segments whose holder's session has ended
     * @param own rows of segments that are held by the session of the scanning entry
     */
    record Result(
            Map<Integer, JobRecord.Outcome> done,
            BitSet unclaimed,
            List<Row> abandoned,
            List<Row> own) {}

    /**
     * Scans a job.
     *
     * @param job the job
     * @param firstNotDone segments before this one are known to be done
     * @param ownSession key of the scanning entry's session
     */
    Result scan(JobRecord job, int firstNotDone, String ownSession) {
        BitSet unclaimed = new BitSet();
        unclaimed.set(firstNotDone, job.source().plan().segments());
        Result result =
                new Result(new HashMap<>(), unclaimed, new ArrayList<>(), new ArrayList<>());
        Map<Row, String> held = new HashMap<>();
        String after = firstNotDone == 0 ? "" : BatchKeys.segment(job.id(), firstNotDone - 1);
        while (true) {
            List<Row> page = store.page(job.id(), after, PAGE_SIZE);
            for (Row row : page) {
                after = row.key();
                int number = BatchKeys.segmentNumber(row.key());
                SegmentRecord segment = BatchJson.read(row.value(), SegmentRecord.class);
                unclaimed.clear(number);
                if (segment.isDone()) {
                    result.done().put(number, segment.outcome());
                } else if (segment.holder().equals(ownSession)) {
                    result.own().add(row);
                } else {
                    held.put(row, segment.holder());
                }
            }
            if (page.size() < PAGE_SIZE) {
                break;
            }
        }
        Set<String> ended = endedSessions(new HashSet<>(held.values()));
        held.forEach(
                (row, holder) -> {
                    if (ended.contains(holder)) {
                        result.abandoned().add(row);
                    }
                });
        return result;
    }

    private Set<String> endedSessions(Set<String> sessions) {
        Set<String> ended = new HashSet<>();
        for (String session : sessions) {
            long sentNanos = clock.nanoTime();
            Optional<Row> row = store.holder(session);
            if (row.isEmpty() || (isExpired(row.get(), sentNanos) && store.endSession(row.get()))) {
                forget(session);
                ended.add(session);
            }
        }
        return ended;
    }

    private synchronized boolean isExpired(Row session, long sentNanos) {
        return leases.isExpired(session.key(), session.version(), sentNanos);
    }

    private synchronized void forget(String session) {
        leases.forget(session);
    }
}
