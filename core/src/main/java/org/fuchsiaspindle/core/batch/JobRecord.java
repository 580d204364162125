package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Map;

/**
 * The table row of a batch job.
 *
 * @param id the job's identifier
 * @param customer the owner
 * @param status its state
 * @param source the input and its division into segments; never changes
 * @param submission parameters of the submission; never changes
 * @param times wall-clock times in milliseconds
 * @param outcome counts and sizes of the results, known after the end
 * @param errors line errors of a failed job
 * @param createdNonce random value that identifies the write that created the row
 * @param nonce random value that identifies the last write
 */
public record JobRecord(
        String id,
        String customer,
        JobStatus status,
        Source source,
        Submission submission,
        Times times,
        Outcome outcome,
        List<LineError> errors,
        String createdNonce,
        String nonce) {

    /** Validates the components. */
    public JobRecord {
        checkNotNull(id, "id");
        checkNotNull(customer, "customer");
        checkNotNull(status, "status");
        checkNotNull(source, "source");
        checkNotNull(submission, "submission");
        checkNotNull(times, "times");
        checkNotNull(outcome, "outcome");
        errors = List.copyOf(errors);
        checkNotNull(createdNonce, "createdNonce");
        checkNotNull(nonce, "nonce");
    }

    /**
     * The input of a job.
     *
     * @param fileId the input file
     * @param endpoint the request path of the items
     * @param model the model of the items
     * @param segmentItems items of a full segment
     * @param parts number of lines of each part of the file
     */
    public record Source(
            String fileId, String endpoint, String model, int segmentItems, List<Integer> parts) {

        /** Validates the components. */
        public Source {
            parts = List.copyOf(parts);
        }

        /** Returns the segments of the job. */
        public SegmentPlan plan() {
            return SegmentPlan.of(segmentItems, parts);
        }
    }

    /**
     * Parameters of a submission.
     *
     * @param completionWindow the completion window as sent by the caller
     * @param metadata the caller's metadata
     * @param keyDigest digest of the idempotency key, empty if none
     */
    public record Submission(
            String completionWindow, Map<String, String> metadata, String keyDigest) {

        /** Validates the components. */
        public Submission {
            metadata = Map.copyOf(metadata);
        }
    }

    /**
     * Wall-clock times in milliseconds, 0 for events that have not happened.
     *
     * @param created acceptance
     * @param deadline time by which the job must be done
     * @param cancelling acceptance of the cancellation
     * @param finalizing time at which the passed deadline was detected
     * @param ended time of the final state
     * @param retainedUntil time until which the results are kept
     */
    public record Times(
            long created,
            long deadline,
            long cancelling,
            long finalizing,
            long ended,
            long retainedUntil) {}

    /**
     * Counts and sizes of the results.
     *
     * @param completed items with a result
     * @param failed items with an error record
     * @param outputBytes size of the output file
     * @param errorBytes size of the error file
     */
    public record Outcome(int completed, int failed, long outputBytes, long errorBytes) {

        /** The outcome of a job without results. */
        public static final Outcome NONE = new Outcome(0, 0, 0, 0);

        /** Returns the sum of two outcomes. */
        public Outcome plus(Outcome other) {
            return new Outcome(
                    completed + other.completed,
                    failed + other.failed,
                    outputBytes + other.outputBytes,
                    errorBytes + other.errorBytes);
        }
    }

    /** Returns the job after its cancellation was accepted. */
    public JobRecord cancelling(long nowMs, String newNonce) {
        return with(
                JobStatus.CANCELLING,
                new Times(times.created, times.deadline, nowMs, times.finalizing, 0, 0),
                outcome,
                newNonce);
    }

    /** Returns the job after its deadline passed. */
    public JobRecord finalizing(long nowMs, String newNonce) {
        return with(
                JobStatus.FINALIZING,
                new Times(times.created, times.deadline, 0, nowMs, 0, 0),
                outcome,
                newNonce);
    }

    /**
     * Returns the job in the final state that follows its current state.
     *
     * @param result the sum over all segments
     * @param nowMs wall-clock time in milliseconds
     * @param retentionMs time in milliseconds that the results are kept
     * @param newNonce identifies the write
     */
    public JobRecord ended(Outcome result, long nowMs, long retentionMs, String newNonce) {
        JobStatus end =
                switch (status) {
                    case CANCELLING -> JobStatus.CANCELLED;
                    case FINALIZING -> JobStatus.EXPIRED;
                    case VALIDATING, IN_PROGRESS -> JobStatus.COMPLETED;
                    case COMPLETED, FAILED, CANCELLED, EXPIRED ->
                            throw new IllegalStateException("job has ended: " + id);
                };
        return with(
                end,
                new Times(
                        times.created,
                        times.deadline,
                        times.cancelling,
                        times.finalizing,
                        nowMs,
                        nowMs + retentionMs),
                result,
                newNonce);
    }

    private JobRecord with(
            JobStatus newStatus, Times newTimes, Outcome newOutcome, String newNonce) {
        return new JobRecord(
                id,
                customer,
                newStatus,
                source,
                submission,
                newTimes,
                newOutcome,
                errors,
                createdNonce,
                newNonce);
    }
}
