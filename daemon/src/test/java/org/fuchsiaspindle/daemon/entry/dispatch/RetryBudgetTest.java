package org.fuchsiaspindle.daemon.entry.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against retries that amplify an overload. */
final class RetryBudgetTest {

    private final RetryBudget budget = new RetryBudget();

    @Test
    void retries_areATenthOfTheRequestsOnceTheReserveIsUsed() {
        while (budget.tryRetry()) {
            // Exhausts the reserve.
        }
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.countRequest();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isEqualTo(100);
    }

    @Test
    void reserve_doesNotGrowWithoutBound() {
        for (int i = 0; i < 100_000; i++) {
            budget.countRequest();
        }
        int retries = 0;
        while (budget.tryRetry()) {
            retries++;
        }
        assertThat(retries).isEqualTo(100);
    }
}
