package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The table row that makes an open job known to all entries.
 *
 * @param id the job's identifier
 * @param customer the owner
 * @param status its state
 * @param model the model that its items use
 * @param items number of items
 * @param createdMs wall-clock time of its acceptance in milliseconds
 * @param deadlineMs wall-clock time by which it must be done in milliseconds
 * @param nonce random value that identifies the write
 */
public record ActiveJob(
        String id,
        String customer,
        JobStatus status,
        String model,
        int items,
        long createdMs,
        long deadlineMs,
        String nonce) {

    /** Validates the components. */
    public ActiveJob {
        checkNotNull(id, "id");
        checkNotNull(customer, "customer");
        checkNotNull(status, "status");
        checkNotNull(model, "model");
    }

    /** Returns the row of a job. */
    public static ActiveJob of(JobRecord job) {
        return new ActiveJob(
                job.id(),
                job.customer(),
                job.status(),
                job.source().model(),
                job.source().parts().stream().mapToInt(Integer::intValue).sum(),
                job.times().created(),
                job.times().deadline(),
                job.nonce());
    }
}
