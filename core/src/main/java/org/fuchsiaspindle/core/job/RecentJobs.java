package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Predicate;

/**
 * The jobs of one workspace on one route that were accepted in the last seconds, by any gateway.
 *
 * <p>Gateways learn of each other's jobs with a delay. A job is accepted only together with a new
 * version of this list that contains it, so an acceptance sees all earlier ones: those of the last
 * seconds here, the others among the jobs that the gateway knows. Immutable.
 *
 * @param jobs the jobs, oldest first
 */
public record RecentJobs(ImmutableList<RecentJob> jobs) {

    /** No jobs. */
    public static final RecentJobs NONE = new RecentJobs(ImmutableList.of());

    /** Time in which each gateway in touch with the store learns of an accepted job. */
    public static final Duration MAX_AGE = Duration.ofSeconds(10);

    /**
     * An accepted job.
     *
     * @param id its identifier, not null
     * @param tokens the tokens of all its items
     * @param acceptedAtMillis when it was accepted, on the store's steady clock, in milliseconds
     */
    public record RecentJob(String id, long tokens, long acceptedAtMillis) {

        /** Validates the components. */
        public RecentJob {
            checkNotNull(id, "id");
            checkArgument(tokens >= 0, "negative tokens of job %s: %s", id, tokens);
        }
    }

    /** Validates the components. */
    public RecentJobs {
        checkNotNull(jobs, "jobs");
    }

    /**
     * Returns the tokens of the jobs that a gateway does not know yet.
     *
     * @param known whether the gateway knows a job, and so counts it already
     * @param nowMillis the time on the store's steady clock
     */
    public long unknownTokens(Predicate<String> known, long nowMillis) {
        return jobs.stream()
                .filter(job -> isRecent(job, nowMillis))
                .filter(job -> !known.test(job.id()))
                .mapToLong(RecentJob::tokens)
                .sum();
    }

    /** Returns the list with a job added, without those that are not recent any more. */
    public RecentJobs with(RecentJob added) {
        ImmutableList.Builder<RecentJob> remaining = ImmutableList.builder();
        jobs.stream()
                .filter(job -> isRecent(job, added.acceptedAtMillis()))
                .forEach(remaining::add);
        return new RecentJobs(remaining.add(added).build());
    }

    private static boolean isRecent(RecentJob job, long nowMillis) {
        return nowMillis - job.acceptedAtMillis() <= MAX_AGE.toMillis();
    }
}
