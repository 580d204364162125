package org.fuchsiaspindle.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Guards against unused capacity and against a demand for more items than an agent can queue. */
final class BatchDemandTest {

    @Test
    void divide_withOneActiveEntry_assignsItTheWholeTotal() {
        assertThat(BatchDemand.divide(64, new int[] {0, 10, 0})).containsExactly(4, 64, 4);
    }

    @Test
    void divide_betweenManyEntries_exceedsTheTotalOnlyByTheInitialShares() {
        int[] outstanding = new int[100];
        Arrays.fill(outstanding, 0, 50, 3);
        int[] shares = BatchDemand.divide(60, outstanding);
        assertThat(Arrays.stream(shares).sum()).isLessThanOrEqualTo(60 + 100);
        assertThat(shares).doesNotContain(0);
    }

    @Test
    void divide_withZeroTotal_returnsZeroShares() {
        assertThat(BatchDemand.divide(0, new int[] {3, 0})).containsExactly(0, 0);
    }

    @Test
    void total_duringABurst_isHeldAndThenFollowsTheCapacity() {
        BatchDemand demand = BatchDemand.create();
        assertThat(demand.total(load(0, 32), 0)).isEqualTo(64);
        long burst = Duration.ofSeconds(2).toNanos();
        assertThat(demand.total(load(32, 32), burst)).isEqualTo(64);
        long later = Duration.ofSeconds(9).toNanos();
        assertThat(demand.total(load(32, 32), later)).isEqualTo(4);
    }

    private static AdmissionLoad load(int online, int limit) {
        return new AdmissionLoad(online, 0, 0, 0, limit, 0, 0, 0);
    }
}
