package org.fuchsiaspindle.daemon.entry.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.junit.jupiter.api.Test;

/** Guards against a heap that is exhausted by the bodies of concurrent requests. */
final class BodyBudgetTest {

    @Test
    void bodiesBeyondTheBudget_areRefusedUntilOthersAreReleased() {
        BodyBudget budget = BodyBudget.ofBytes(100);
        budget.acquire(60);
        budget.acquire(40);
        assertThatThrownBy(() -> budget.acquire(1))
                .isInstanceOfSatisfying(
                        FuchsiaspindleException.class,
                        e -> {
                            assertThat(e.code()).isEqualTo(ResultCode.OVERLOADED);
                            assertThat(e.executed()).isEqualTo(Executed.NO);
                        });
        budget.release(60);
        budget.acquire(60);
        budget.release(60);
        budget.release(40);
        budget.acquire(500);
    }
}
