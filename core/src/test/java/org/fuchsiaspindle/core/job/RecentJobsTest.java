package org.fuchsiaspindle.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import org.fuchsiaspindle.core.job.RecentJobs.RecentJob;
import org.junit.jupiter.api.Test;

/** Tests which accepted jobs count besides those that a gateway knows. */
final class RecentJobsTest {

    private static final long MAX_AGE_MILLIS = RecentJobs.MAX_AGE.toMillis();

    /** Guards against jobs that count twice, or not at all before a gateway knows them. */
    @Test
    void jobCounts_untilItIsKnown() {
        RecentJobs jobs =
                RecentJobs.NONE.with(new RecentJob("a", 10, 0)).with(new RecentJob("b", 5, 1));
        assertThat(jobs.unknownTokens(id -> false, 2)).isEqualTo(15);
        assertThat(jobs.unknownTokens(id -> id.equals("a"), 2)).isEqualTo(5);
    }

    /** Guards against a submission that counts once for each of its attempts. */
    @Test
    void jobThatIsAddedAgain_countsOnce() {
        RecentJobs jobs =
                RecentJobs.NONE.with(new RecentJob("a", 10, 0)).with(new RecentJob("a", 10, 5));
        assertThat(jobs.unknownTokens(id -> false, 6)).isEqualTo(10);
        assertThat(jobs.contains("a", 6)).isTrue();
        assertThat(jobs.contains("a", MAX_AGE_MILLIS)).isFalse();
        assertThat(jobs.contains("b", 6)).isFalse();
    }

    /** Guards against a list that grows without bound, and against jobs that count for ever. */
    @Test
    void oldJob_neitherCountsNorStaysInTheList() {
        RecentJobs jobs = RecentJobs.NONE.with(new RecentJob("a", 10, 0));
        assertThat(jobs.unknownTokens(id -> false, MAX_AGE_MILLIS)).isEqualTo(10);
        assertThat(jobs.unknownTokens(id -> false, MAX_AGE_MILLIS + 1)).isZero();
        RecentJob next = new RecentJob("b", 5, MAX_AGE_MILLIS + 1);
        assertThat(jobs.with(next).jobs()).containsExactly(next);
    }
}
