package org.fuchsiaspindle.core.prompt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against long streams that are blamed for crashes, and short responses that hide one. */
final class CrashSuspicionTest {

    private static final long SURVIVAL_NANOS = CrashSuspicion.SURVIVAL_TIME.toNanos();

    private final CrashSuspicion suspicion = new CrashSuspicion();

    @Test
    void requestWithoutData_isSuspect() {
        assertThat(suspicion.isSuspect()).isTrue();
    }

    @Test
    void streamThatHasJustStarted_isSuspect() {
        assertThat(suspicion.recordData(0)).isFalse();
        assertThat(suspicion.recordData(SURVIVAL_NANOS)).isFalse();
        assertThat(suspicion.isSuspect()).isTrue();
    }

    @Test
    void streamThatGoesOn_isClearedOnce() {
        suspicion.recordData(0);
        assertThat(suspicion.recordData(SURVIVAL_NANOS + 1)).isTrue();
        assertThat(suspicion.isSuspect()).isFalse();
        assertThat(suspicion.recordData(2 * SURVIVAL_NANOS)).isFalse();
        assertThat(suspicion.recordSuccess()).isFalse();
    }

    @Test
    void completeResponse_isCleared() {
        assertThat(suspicion.recordSuccess()).isTrue();
        assertThat(suspicion.isSuspect()).isFalse();
    }
}
