package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Predicate;

/**
 * The jobs of one workspace on one route that any gateway reserved room for in the last seconds.
 *
 * <p>Gateways learn of each other's jobs with a delay. A job is stored only after a new version of
 * this list that contains it, so a gateway that adds a job sees all earlier ones: those of the last
 * seconds here, the others among the jobs that it knows. A job that was not stored after all counts
 * until it is not recent any more. Immutable.
 *
 * @param jobs the jobs, oldest first
 */
public record RecentJobs(ImmutableList<RecentJob> jobs) {

    /** No jobs. */
    public static final RecentJobs NONE = new RecentJobs(ImmutableList.of());

    /** Time in which each gateway in touch with the store learns of an accepted job. */
    public static final Duration MAX_AGE = Duration.ofSeconds(10);

    /**
     * A job for which there is room.
     *
     * @param id its identifier, not null
     * @param tokens the tokens of all its items
     * @param reservedAtMillis when it was added, on the store's steady clock, in milliseconds
     */
    public record RecentJob(String id, long tokens, long reservedAtMillis) {

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

    /** Returns whether a job is in the list, and will be for the time in which it is stored. */
    public boolean contains(String id, long nowMillis) {
        return jobs.stream()
                .filter(job -> nowMillis - job.reservedAtMillis() <= MAX_AGE.toMillis() / 2)
                .anyMatch(job -> job.id().equals(id));
    }

    /**
     * Returns the list with a job added in place of an earlier entry of it, without those that are
     * not recent any more.
     */
    public RecentJobs with(RecentJob added) {
        ImmutableList.Builder<RecentJob> remaining = ImmutableList.builder();
        jobs.stream()
                .filter(job -> isRecent(job, added.reservedAtMillis()))
                .filter(job -> !job.id().equals(added.id()))
                .forEach(remaining::add);
        return new RecentJobs(remaining.add(added).build());
    }

    private static boolean isRecent(RecentJob job, long nowMillis) {
        return nowMillis - job.reservedAtMillis() <= MAX_AGE.toMillis();
    }
}
