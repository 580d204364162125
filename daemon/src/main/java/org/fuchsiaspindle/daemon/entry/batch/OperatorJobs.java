package org.fuchsiaspindle.daemon.entry.batch;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fuchsiaspindle.core.batch.ActiveJob;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.daemon.admin.JobOperations;

/** Job operations for operators; unlike the batch API they cover the jobs of all customers. */
final class OperatorJobs implements JobOperations {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final JobDirectory directory;
    private final JobStore jobs;
    private final ResultReader results;
    private final Predicate<String> atRisk;
    private final Consumer<JobRecord> cancelled;

    /**
     * Creates the view.
     *
     * @param atRisk tests by identifier whether a job may miss its deadline
     * @param cancelled called with each job whose cancellation was accepted
     */
    OperatorJobs(
            JobDirectory directory,
            JobStore jobs,
            ResultReader results,
            Predicate<String> atRisk,
            Consumer<JobRecord> cancelled) {
        this.directory = directory;
        this.jobs = jobs;
        this.results = results;
        this.atRisk = atRisk;
        this.cancelled = cancelled;
    }

    @Override
    public ArrayNode list(Optional<String> customer) {
        ArrayNode array = JSON.createArrayNode();
        directory.current().jobs().values().stream()
                .filter(job -> customer.isEmpty() || customer.get().equals(job.customer()))
                .sorted(
                        Comparator.comparingLong(ActiveJob::deadlineMs)
                                .thenComparing(ActiveJob::id))
                .forEach(job -> array.add(listed(job)));
        return array;
    }

    @Override
    public Optional<ObjectNode> show(String id) {
        return jobs.read(id).map(this::view);
    }

    @Override
    public ObjectNode cancel(String id) {
        JobRecord job =
                jobs.read(id)
                        .orElseThrow(
                                () ->
                                        new FuchsiaspindleException(
                                                ResultCode.NOT_FOUND, "no such job: " + id));
        JobRecord changed = jobs.cancel(job.customer(), id);
        cancelled.accept(changed);
        return view(changed);
    }

    @Override
    public ArrayNode atRisk() {
        ArrayNode array = JSON.createArrayNode();
        directory.current().jobs().values().stream()
                .filter(job -> atRisk.test(job.id()))
                .forEach(job -> array.add(listed(job)));
        return array;
    }

    private ObjectNode view(JobRecord job) {
        JobRecord.Outcome progress =
                job.status().isFinal() ? job.outcome() : results.progress(job.id());
        return BatchViews.job(job, progress)
                .put("customer", job.customer())
                .put("model", job.source().model())
                .put("at_risk", atRisk.test(job.id()));
    }

    private ObjectNode listed(ActiveJob job) {
        ObjectNode view =
                JSON.createObjectNode()
                        .put("id", job.id())
                        .put("customer", job.customer())
                        .put("status", job.status().wireName())
                        .put("model", job.model())
                        .put("expires_at", TimeUnit.MILLISECONDS.toSeconds(job.deadlineMs()))
                        .put("at_risk", atRisk.test(job.id()));
        view.putObject("request_counts").put("total", job.items());
        return view;
    }
}
