package org.fuchsiaspindle.daemon.entry.batch;

import org.fuchsiaspindle.core.batch.BatchKeys;

/** Identifies a segment of a job. */
record SegmentKey(String job, int number) {

    String row() {
        return BatchKeys.segment(job, number);
    }
}
