package org.fuchsiaspindle.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against callers who are told to come back at a moment that is no better. */
final class OnlineWavesTest {

    private static final Duration STEP = Duration.ofMillis(20);

    private final OnlineWaves waves = new OnlineWaves();
    private long now = Duration.ofSeconds(100).toNanos();

    @Test
    void regularWaves_endWhenExpected() {
        for (int i = 0; i < 3; i++) {
            demand(8, Duration.ofSeconds(3));
            demand(60, Duration.ofSeconds(2));
        }
        assertThat(waves.timeUntilWaveEnd(now)).isPresent();
        demand(8, Duration.ofSeconds(3));
        assertThat(waves.timeUntilWaveEnd(now)).isEmpty();
        demand(60, Duration.ofMillis(500));
        assertThat(waves.timeUntilWaveEnd(now))
                .hasValueSatisfying(
                        calm ->
                                assertThat(calm)
                                        .isBetween(
                                                Duration.ofMillis(1300), Duration.ofMillis(1700)));
    }

    /** Guards against an end that has passed already. */
    @Test
    void waveThatLastsLongerThanTheOthers_hasNoExpectedEnd() {
        for (int i = 0; i < 3; i++) {
            demand(8, Duration.ofSeconds(3));
            demand(60, Duration.ofSeconds(2));
        }
        demand(60, Duration.ofSeconds(1));
        assertThat(waves.timeUntilWaveEnd(now)).isEmpty();
    }

    /** Guards against waves that are seen in requests which arrive at random. */
    @Test
    void randomDemandAtAConstantRate_hasNoWaves() {
        Random random = new Random(1);
        double demand = 40;
        for (int i = 0; i < 5_000; i++) {
            // Keeps the variance of the number of requests in service at its mean.
            demand += (40 - demand) * 0.03 + random.nextGaussian() * Math.sqrt(2 * 40 * 0.03);
            demand((int) Math.max(0, demand), STEP);
            assertThat(waves.timeUntilWaveEnd(now)).isEqualTo(Optional.empty());
        }
    }

    private void demand(int slots, Duration time) {
        for (long end = now + time.toNanos(); now < end; now += STEP.toNanos()) {
            waves.record(slots, now);
        }
    }
}
