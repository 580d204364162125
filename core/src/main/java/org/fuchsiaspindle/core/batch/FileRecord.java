package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.List;

/**
 * The row of an uploaded file.
 *
 * @param id the file's identifier
 * @param customer the owner
 * @param name the file name given by the caller
 * @param bytes size of the upload
 * @param createdMs wall-clock time of the upload in milliseconds
 * @param parts number of lines of each part
 * @param url the request path of all lines, empty if there is no valid line
 * @param model the model that all lines use, empty if there is no valid line
 * @param errors the first {@link BatchLimits#MAX_LINE_ERRORS} errors
 * @param errorCount total number of errors
 * @param jobs jobs that read the file's parts
 * @param nonce random value that identifies the write
 */
public record FileRecord(
        String id,
        String customer,
        String name,
        long bytes,
        long createdMs,
        List<Integer> parts,
        String url,
        String model,
        List<LineError> errors,
        int errorCount,
        List<String> jobs,
        String nonce) {

    /** Validates the components. */
    public FileRecord {
        checkNotNull(id, "id");
        checkNotNull(customer, "customer");
        parts = List.copyOf(parts);
        errors = List.copyOf(errors);
        jobs = List.copyOf(jobs);
        checkNotNull(nonce, "nonce");
    }

    /** Returns the number of lines. */
    public int lines() {
        return parts.stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the record with one more job that reads the parts. */
    public FileRecord withJob(String job, String newNonce) {
        List<String> newJobs = new ArrayList<>(jobs);
        newJobs.add(job);
        return withJobs(newJobs, newNonce);
    }

    /** Returns the record without a job. */
    public FileRecord withoutJob(String job, String newNonce) {
        List<String> newJobs = new ArrayList<>(jobs);
        newJobs.remove(job);
        return withJobs(newJobs, newNonce);
    }

    private FileRecord withJobs(List<String> newJobs, String newNonce) {
        return new FileRecord(
                id,
                customer,
                name,
                bytes,
                createdMs,
                parts,
                url,
                model,
                errors,
                errorCount,
                newJobs,
                newNonce);
    }
}
