package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against late items that delay items which can still finish on time. */
final class BatchDueTest {

    @Test
    void lateItems_areOrderedAfterItemsThatCanFinishOnTime() {
        assertThat(BatchDue.ordered(5_000, 5_100)).isGreaterThan(BatchDue.ordered(20_000, 19_000));
        assertThat(BatchDue.ordered(5_000, 4_900)).isLessThan(BatchDue.ordered(20_000, 19_000));
    }
}
