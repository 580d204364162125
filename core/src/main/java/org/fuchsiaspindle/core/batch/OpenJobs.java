package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.List;

/**
 * The table row of a customer's open jobs. Every creation and end of a job writes it conditionally,
 * so the contract's limit holds even if two entries accept jobs concurrently.
 *
 * @param jobs identifiers of the open jobs
 * @param nonce random value that identifies the write
 */
public record OpenJobs(List<String> jobs, String nonce) {

    /** Validates the components. */
    public OpenJobs {
        jobs = List.copyOf(jobs);
        checkNotNull(nonce, "nonce");
    }

    /** Returns the row with one more job. */
    public OpenJobs with(String job, String newNonce) {
        List<String> newJobs = new ArrayList<>(jobs);
        newJobs.add(job);
        return new OpenJobs(newJobs, newNonce);
    }

    /** Returns the row without a job. */
    public OpenJobs without(String job, String newNonce) {
        List<String> newJobs = new ArrayList<>(jobs);
        newJobs.remove(job);
        return new OpenJobs(newJobs, newNonce);
    }
}
