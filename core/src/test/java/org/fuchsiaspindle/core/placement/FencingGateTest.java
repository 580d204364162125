package org.fuchsiaspindle.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.junit.jupiter.api.Test;

/** Guards against executing orders of a former holder of the placement lease. */
final class FencingGateTest {

    private final FencingGate gate = FencingGate.create();

    @Test
    void check_beforeTheLeaseIsRead_isRefused() {
        assertRefused(5, ResultCode.FENCE_UNKNOWN);
    }

    @Test
    void check_belowTheLeasesEpoch_isRefused() {
        gate.recordLeaseEpoch(7);
        assertRefused(6, ResultCode.STALE_FENCING_NUMBER);
        gate.check(7);
    }

    @Test
    void check_belowAnAcceptedOrder_isRefusedEvenAfterAStaleLeaseRead() {
        gate.recordLeaseEpoch(7);
        gate.check(9);
        gate.recordLeaseEpoch(8);
        assertRefused(8, ResultCode.STALE_FENCING_NUMBER);
        assertThat(gate.highest()).isEqualTo(9);
    }

    private void assertRefused(long number, ResultCode code) {
        assertThatThrownBy(() -> gate.check(number))
                .isInstanceOfSatisfying(
                        FuchsiaspindleException.class, e -> assertThat(e.code()).isEqualTo(code));
    }
}
