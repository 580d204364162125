package org.fuchsiaspindle.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.fuchsiaspindle.core.serving.RequestQueue.Entry;
import org.fuchsiaspindle.core.slot.RejectionPolicy.Rejection;
import org.fuchsiaspindle.core.slot.SlotDecision.Refusal;
import org.fuchsiaspindle.core.work.RequestSize;
import org.junit.jupiter.api.Test;

/**
 * Load: waves of 2 s every 4 s, in one of which a request can only be late. Guards against callers
 * who wait for a late response although they would be served at once after the wave, and against
 * callers who are sent away without a better moment to come back.
 */
final class RejectionPolicyTest {

    private static final Duration ON_TIME = Duration.ofMillis(200);
    private static final Duration TIME_PER_REQUEST = Duration.ofMillis(10);

    private final OnlineWaves waves = new OnlineWaves();
    private final RejectionPolicy policy = new RejectionPolicy(waves);
    private long now = Duration.ofSeconds(100).toNanos();

    @Test
    void surelyLateRequest_isRefusedUntilTheWaveHasPassed() {
        enterWave();
        Duration first = rejected("a", Duration.ofMillis(400)).orElseThrow().retryAfter();
        assertThat(first).isBetween(Duration.ofMillis(700), Duration.ofMillis(1300));
        Rejection second = rejected("a", Duration.ofMillis(400)).orElseThrow();
        assertThat(second.reason()).isEqualTo(Refusal.POSTPONED);
        assertThat(second.retryAfter()).isEqualTo(first.plus(TIME_PER_REQUEST.multipliedBy(2)));
    }

    @Test
    void requestThatMayBeOnTime_waits() {
        enterWave();
        assertThat(rejected("a", Duration.ofMillis(250))).isEmpty();
    }

    @Test
    void withoutAKnownWave_requestsWait() {
        assertThat(rejected("a", Duration.ofSeconds(2))).isEmpty();
    }

    @Test
    void requestWithoutAWorkspace_waits() {
        enterWave();
        assertThat(rejected("", Duration.ofSeconds(2))).isEmpty();
    }

    /** Guards against a refusal after which the caller has lost the time that it waited. */
    @Test
    void requestThatHasWaited_keepsWaiting() {
        enterWave();
        Entry<SlotRequest> entry = entry("a");
        now += ON_TIME.dividedBy(3).toNanos();
        assertThat(policy.ifBetterAfterWave(entry, Duration.ofSeconds(1), TIME_PER_REQUEST, now))
                .isEmpty();
    }

    private Optional<Rejection> rejected(String workspace, Duration expectedWait) {
        return policy.ifBetterAfterWave(entry(workspace), expectedWait, TIME_PER_REQUEST, now);
    }

    private Entry<SlotRequest> entry(String workspace) {
        SlotRequest request =
                new SlotRequest(
                        "g",
                        1,
                        true,
                        0,
                        workspace,
                        RequestSize.UNKNOWN,
                        now + ON_TIME.toNanos(),
                        now + Duration.ofSeconds(5).toNanos(),
                        ImmutableSet.of(),
                        false);
        return new Entry<>(
                request,
                0,
                workspace,
                1,
                request.onTimeUntilNanos(),
                request.startUntilNanos(),
                now);
    }

    /** Passes three waves and half of the next one. */
    private void enterWave() {
        for (int i = 0; i < 3; i++) {
            demand(8, Duration.ofSeconds(2));
            demand(40, Duration.ofSeconds(2));
        }
        demand(8, Duration.ofSeconds(2));
        demand(40, Duration.ofSeconds(1));
    }

    private void demand(int slots, Duration time) {
        Duration step = Duration.ofMillis(20);
        for (long end = now + time.toNanos(); now < end; now += step.toNanos()) {
            waves.record(slots, now);
        }
    }
}
