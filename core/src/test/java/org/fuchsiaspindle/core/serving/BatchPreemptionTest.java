package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against preempting too many or too few batch items at a full target. */
final class BatchPreemptionTest {

    @Test
    void targetWithFreeSlots_preemptsNothing() {
        assertThat(BatchPreemption.itemsToPreempt(8, new TargetLoad(3, 5), 5, 0)).isZero();
    }

    @Test
    void excess_isDividedOverTheGatewaysExactly() {
        int[] batch = {2, 0, 3, 3};
        for (int online = 0; online <= 8; online++) {
            int preempted = 0;
            int batchOfEarlierPeers = 0;
            for (int own : batch) {
                preempted +=
                        BatchPreemption.itemsToPreempt(
                                8, new TargetLoad(online, 8), own, batchOfEarlierPeers);
                batchOfEarlierPeers += own;
            }
            assertThat(preempted).isEqualTo(online);
        }
    }

    /**
     * Guards against jobs of one gateway that wait while jobs of others with later due times run.
     */
    @Test
    void earlierDueItems_fillSlotsFirstAndArePreemptedLast() {
        BatchUrgency early = new BatchUrgency(100, 100);
        BatchUrgency late = new BatchUrgency(200, 200);
        assertThat(late.fillsSlotsAfter(early, false)).isTrue();
        assertThat(early.fillsSlotsAfter(late, true)).isFalse();
        assertThat(early.isPreemptedAfter(late, false)).isTrue();
        assertThat(late.isPreemptedAfter(early, true)).isFalse();
        assertThat(late.fillsSlotsAfter(BatchUrgency.IDLE, true)).isFalse();
        assertThat(SlotFillDelay.forGatewaysAhead(0)).isZero();
        assertThat(SlotFillDelay.forGatewaysAhead(2))
                .isGreaterThan(SlotFillDelay.forGatewaysAhead(1));
    }

    /** Guards against two gateways of equal urgency that both take precedence, or neither. */
    @Test
    void equallyUrgentGateways_areOrderedByTheirAddresses() {
        BatchUrgency urgency = new BatchUrgency(100, 100);
        assertThat(urgency.fillsSlotsAfter(urgency, true)).isTrue();
        assertThat(urgency.fillsSlotsAfter(urgency, false)).isFalse();
        assertThat(urgency.isPreemptedAfter(urgency, true)).isTrue();
    }

    /** Guards against late items that delay items which can still finish on time. */
    @Test
    void lateItems_areOrderedAfterItemsThatCanFinishOnTime() {
        assertThat(BatchUrgency.orderedDue(5_000, 5_100))
                .isGreaterThan(BatchUrgency.orderedDue(20_000, 19_000));
        assertThat(BatchUrgency.orderedDue(5_000, 4_900))
                .isLessThan(BatchUrgency.orderedDue(20_000, 19_000));
    }
}
