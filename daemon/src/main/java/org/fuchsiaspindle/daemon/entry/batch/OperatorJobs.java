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
    private final Predicate<String> isAtRisk;
    private final Consumer<JobRecord> onCancelled;

    /**
     * Creates the operations.
     *
     * @param isAtRisk tests by identifier whether a job may miss its deadline
     * @param onCancelled called with each job whose cancellation was accepted
     */
    OperatorJobs(
            JobDirectory directory,
            JobStore jobs,
            ResultReader results,
            Predicate<String> isAtRisk,
            Consumer<JobRecord> onCancelled) {
        this.directory = directory;
        this.jobs = jobs;
        this.results = results;
        this.isAtRisk = isAtRisk;
        this.onCancelled = onCancelled;
    }

    @Override
    public ArrayNode list(Optional<String> customer) {
        ArrayNode array = JSON.createArrayNode();
        directory.current().jobs().values().stream()
                .filter(job -> customer.isEmpty() || customer.get().equals(job.customer()))
                .sorted(
                        Comparator.comparingLong(ActiveJob::deadlineMs)
                                .thenComparing(ActiveJob::id))
                .forEach(job -> array.add(summary(job)));
        return array;
    }

    @Override
    public Optional<ObjectNode> show(String id) {
        return jobs.read(id).map(this::details);
    }

    @Override
    public ObjectNode cancel(String id) {
        JobRecord job =
                jobs.read(id)
                        .orElseThrow(
                                () ->
                                        new FuchsiaspindleException(
                                                ResultCode.NOT_FOUND, "no such job: " + id));
        JobRecord cancelledJob = jobs.cancel(job.customer(), id);
        onCancelled.accept(cancelledJob);
        return details(cancelledJob);
    }

    @Override
    public ArrayNode atRisk() {
        ArrayNode array = JSON.createArrayNode();
        directory.current().jobs().values().stream()
                .filter(job -> isAtRisk.test(job.id()))
                .forEach(job -> array.add(summary(job)));
        return array;
    }

    private ObjectNode details(JobRecord job) {
        JobRecord.Outcome progress =
                job.status().isFinal() ? job.outcome() : results.progress(job.id());
        return BatchViews.job(job, progress)
                .put("customer", job.customer())
                .put("model", job.source().model())
                .put("at_risk", isAtRisk.test(job.id()));
    }

    private ObjectNode summary(ActiveJob job) {
        ObjectNode view =
                JSON.createObjectNode()
                        .put("id", job.id())
                        .put("customer", job.customer())
                        .put("status", job.status().wireName())
                        .put("model", job.model())
                        .put("expires_at", TimeUnit.MILLISECONDS.toSeconds(job.deadlineMs()))
                        .put("at_risk", isAtRisk.test(job.id()));
        view.putObject("request_counts").put("total", job.items());
        return view;
    }
}
