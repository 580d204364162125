package org.fuchsiaspindle.daemon.entry.batch;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.FileRecord;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.JobStatus;
import org.fuchsiaspindle.core.batch.LineError;

/** Renders files and jobs in the JSON formats of the batch API. */
final class BatchViews {

    private static final int MS_PER_SECOND = 1000;

    private BatchViews() {}

    static ObjectNode file(FileRecord file) {
        return file(file.id(), file.bytes(), file.createdMs(), file.name(), "batch");
    }

    static ObjectNode file(ResultFile file) {
        return file(
                file.id().orElseThrow(),
                file.bytes(),
                file.job().times().ended(),
                file.name(),
                "batch_output");
    }

    static ObjectNode deleted(String id) {
        return object("file").put("id", id).put("deleted", true);
    }

    static ObjectNode job(JobRecord job, JobRecord.Outcome progress) {
        ObjectNode view =
                object("batch")
                        .put("id", job.id())
                        .put("endpoint", job.source().endpoint())
                        .put("input_file_id", job.source().fileId())
                        .put("completion_window", job.submission().completionWindow())
                        .put("status", job.status().wireName());
        errors(view, job.errors());
        putId(view, "output_file_id", new ResultFile(job, ResultFile.Kind.OUTPUT));
        putId(view, "error_file_id", new ResultFile(job, ResultFile.Kind.ERROR));
        times(view, job);
        view.putObject("request_counts")
                .put("total", job.source().plan().items())
                .put("completed", progress.completed())
                .put("failed", progress.failed());
        ObjectNode metadata = view.putObject("metadata");
        job.submission().metadata().forEach(metadata::put);
        return view;
    }

    static ObjectNode list(List<ObjectNode> data, boolean hasMore) {
        ObjectNode view = object("list");
        ArrayNode array = view.putArray("data");
        data.forEach(array::add);
        if (data.isEmpty()) {
            view.putNull("first_id").putNull("last_id");
        } else {
            view.put("first_id", data.getFirst().path("id").textValue());
            view.put("last_id", data.getLast().path("id").textValue());
        }
        return view.put("has_more", hasMore);
    }

    private static ObjectNode file(
            String id, long bytes, long createdMs, String name, String purpose) {
        return object("file")
                .put("id", id)
                .put("bytes", bytes)
                .put("created_at", createdMs / MS_PER_SECOND)
                .put("filename", name)
                .put("purpose", purpose)
                .put("status", "processed");
    }

    private static void errors(ObjectNode view, List<LineError> errors) {
        if (errors.isEmpty()) {
            view.putNull("errors");
            return;
        }
        ObjectNode list = view.putObject("errors").put("object", "list");
        ArrayNode data = list.putArray("data");
        for (LineError error : errors) {
            ObjectNode entry =
                    data.addObject().put("code", error.code()).put("message", error.message());
            if (error.param().isEmpty()) {
                entry.putNull("param");
            } else {
                entry.put("param", error.param());
            }
            if (error.line() > 0) {
                entry.put("line", error.line());
            } else {
                entry.putNull("line");
            }
        }
    }

    private static void times(ObjectNode view, JobRecord job) {
        JobRecord.Times times = job.times();
        JobStatus status = job.status();
        putTime(view, "created_at", times.created());
        putTime(view, "in_progress_at", status == JobStatus.FAILED ? 0 : times.created());
        putTime(view, "expires_at", times.deadline());
        putTime(view, "finalizing_at", times.finalizing());
        putTime(view, "completed_at", status == JobStatus.COMPLETED ? times.ended() : 0);
        putTime(view, "failed_at", status == JobStatus.FAILED ? times.ended() : 0);
        putTime(view, "expired_at", status == JobStatus.EXPIRED ? times.ended() : 0);
        putTime(view, "cancelling_at", times.cancelling());
        putTime(view, "cancelled_at", status == JobStatus.CANCELLED ? times.ended() : 0);
    }

    private static void putTime(ObjectNode view, String field, long ms) {
        if (ms == 0) {
            view.putNull(field);
        } else {
            view.put(field, ms / MS_PER_SECOND);
        }
    }

    private static void putId(ObjectNode view, String field, ResultFile file) {
        if (file.job().status().isFinal() && file.id().isPresent()) {
            view.put(field, file.id().get());
        } else {
            view.putNull(field);
        }
    }

    private static ObjectNode object(String type) {
        return BatchJson.MAPPER.createObjectNode().put("object", type);
    }
}
