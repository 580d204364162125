package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.SegmentRecord;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;

/**
 * Assembles the result files of jobs from the result objects of their segments, in segment order.
 * Thread-safe; calls block.
 */
final class ResultReader {

    private static final int PAGE_SIZE = 500;

    private final TableService table;
    private final ObjectStore objects;

    ResultReader(TableService table, ObjectStore objects) {
        this.table = checkNotNull(table, "table");
        this.objects = checkNotNull(objects, "objects");
    }

    /** Writes a result file to a stream; holds one result object in memory at a time. */
    void copy(ResultFile file, OutputStream out) throws IOException {
        String after = "";
        while (true) {
            List<Row> page =
                    table.readPrefix(BatchKeys.segments(file.job().id()), after, PAGE_SIZE);
            for (Row row : page) {
                SegmentRecord segment = BatchJson.read(row.value(), SegmentRecord.class);
                for (String name : segment.result()) {
                    copyLines(object(name), file.kind().tag(), out);
                }
                after = row.key();
            }
            if (page.size() < PAGE_SIZE) {
                return;
            }
        }
    }

    /** Returns the sum of the outcomes of the segments that are done. */
    JobRecord.Outcome progress(String job) {
        JobRecord.Outcome sum = JobRecord.Outcome.NONE;
        String after = "";
        while (true) {
            List<Row> page = table.readPrefix(BatchKeys.segments(job), after, PAGE_SIZE);
            for (Row row : page) {
                sum = sum.plus(BatchJson.read(row.value(), SegmentRecord.class).outcome());
                after = row.key();
            }
            if (page.size() < PAGE_SIZE) {
                return sum;
            }
        }
    }

    private byte[] object(String name) {
        return objects.read(name)
                .orElseThrow(
                        () ->
                                new FuchsiaspindleException(
                                        ResultCode.NOT_FOUND,
                                        "result object " + name + " is missing"));
    }

    private static void copyLines(byte[] data, char tag, OutputStream out) throws IOException {
        int start = 0;
        for (int end = 0; end < data.length; end++) {
            if (data[end] == '\n') {
                if (data[start] == tag) {
                    out.write(data, start + 1, end - start);
                }
                start = end + 1;
            }
        }
    }
}
