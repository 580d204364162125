package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The table row of the idempotency key of a job submission.
 *
 * @param job the job that the key belongs to
 * @param request digest of the submission
 */
public record JobKey(String job, String request) {

    /** Validates the components. */
    public JobKey {
        checkNotNull(job, "job");
        checkNotNull(request, "request");
    }
}
