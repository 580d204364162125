package org.fuchsiaspindle.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against claims without demand and against customers that receive more than their share.
 */
final class ClaimSelectorTest {

    private final CustomerVirtualTimes virtualTimes = new CustomerVirtualTimes();

    @Test
    void next_withoutDemand_isEmpty() {
        assertThat(ClaimSelector.next(List.of(job("a", "one", 0, false)), 0, virtualTimes))
                .isEmpty();
        assertThat(ClaimSelector.next(List.of(job("a", "one", 8, false)), 8, virtualTimes))
                .isEmpty();
    }

    @Test
    void next_withManyItemsOfOneCustomer_claimsForAnotherUpToItsShare() {
        List<ClaimSelector.Candidate> jobs =
                List.of(job("large", "one", 256, false), job("small", "two", 0, false));
        assertThat(ClaimSelector.next(jobs, 8, virtualTimes)).contains("small");
        jobs = List.of(job("large", "one", 256, false), job("small", "two", 4, false));
        assertThat(ClaimSelector.next(jobs, 8, virtualTimes)).isEmpty();
    }

    @Test
    void next_withAJobAtRisk_returnsItFirst() {
        virtualTimes.charge("two", 1, 100);
        List<ClaimSelector.Candidate> jobs =
                List.of(job("calm", "one", 0, false), job("late", "two", 0, true));
        assertThat(ClaimSelector.next(jobs, 8, virtualTimes)).contains("late");
    }

    @Test
    void virtualTime_ofAnIdleCustomer_startsAtTheCurrentTime() {
        virtualTimes.charge("one", 1, 1);
        for (int i = 0; i < 100; i++) {
            virtualTimes.charge("one", 1, 1);
        }
        double start = virtualTimes.virtualTime("two");
        assertThat(virtualTimes.virtualTime("one") - start).isLessThanOrEqualTo(1);
    }

    private static ClaimSelector.Candidate job(
            String job, String customer, int onHand, boolean atRisk) {
        return new ClaimSelector.Candidate(job, customer, 1, onHand, true, atRisk, 0, 0);
    }
}
