package org.fuchsiaspindle.daemon.entry.batch;

import java.util.List;
import java.util.OptionalLong;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.SegmentWork;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the lines of held segments and writes their rows. Guarded by the worker's lock. */
final class SegmentWrites {

    private static final Logger LOG = LoggerFactory.getLogger(SegmentWrites.class);

    private final WorkerState state;
    private final SegmentStore segments;
    private final BatchMetrics metrics;

    SegmentWrites(WorkerState state, SegmentStore segments, BatchMetrics metrics) {
        this.state = state;
        this.segments = segments;
        this.metrics = metrics;
    }

    /** Starts the reads and writes that are due for held segments. */
    void plan(long now, List<Runnable> calls) {
        for (HeldSegment segment : state.held().values()) {
            if (!segment.mayCall(now)) {
                continue;
            }
            if (segment.needsLines()) {
                segment.beginCall(now);
                calls.add(loadLines(segment, state.jobs().get(segment.key().job()).record()));
            } else if (segment.needsWrite()) {
                segment.beginCall(now);
                calls.add(write(segment, segment.nextWrite(segments)));
            }
        }
    }

    private Runnable loadLines(HeldSegment segment, JobRecord job) {
        return state.call(
                "read lines",
                () -> {
                    SegmentWork work =
                            SegmentWork.of(
                                    job.id(),
                                    job.source().plan().segment(segment.key().number()),
                                    segments.items(
                                            job,
                                            job.source().plan().segment(segment.key().number())),
                                    segment.record());
                    state.apply(
                            now -> {
                                segment.setWork(work);
                                segment.endCall();
                            });
                },
                segment::endFailedCall);
    }

    private Runnable write(HeldSegment segment, SegmentStore.Write write) {
        SegmentWork work = segment.work();
        return state.call(
                "write segment",
                () -> {
                    if (write.record().isDone()) {
                        segments.putResults(write, work);
                    }
                    OptionalLong version = segments.send(write);
                    state.apply(now -> applyWrite(segment, write, version, now));
                    if (version.isEmpty() && write.record().isDone()) {
                        segments.deleteResults(write);
                    }
                },
                segment::endFailedCall);
    }

    private void applyWrite(
            HeldSegment segment, SegmentStore.Write write, OptionalLong version, long now) {
        SegmentKey key = segment.key();
        segment.endCall();
        JobState job = state.jobs().get(key.job());
        if (version.isEmpty()) {
            state.held().remove(key, segment);
            metrics.commit("lost");
            LOG.warn(
                    "batch: lease lost job={} segment={} epoch={}",
                    key.job(),
                    key.number(),
                    write.record().epoch());
            return;
        }
        segment.writeSucceeded(write, version.getAsLong());
        if (write.record().isDone()) {
            state.held().remove(key, segment);
            metrics.commit("done");
            LOG.info(
                    "batch: segment committed job={} segment={} epoch={} completed={} failed={}",
                    key.job(),
                    key.number(),
                    write.record().epoch(),
                    write.record().outcome().completed(),
                    write.record().outcome().failed());
            if (job != null) {
                job.segmentDone(key.number(), write.record().outcome());
                if (!job.hasClaimable() && state.heldSegments(key.job()) == 0) {
                    job.requestScan(now);
                }
            }
        }
    }
}
