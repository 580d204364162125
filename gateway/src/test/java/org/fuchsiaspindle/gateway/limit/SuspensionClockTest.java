package org.fuchsiaspindle.gateway.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.fuchsiaspindle.core.time.Clock;
import org.junit.jupiter.api.Test;

/** Guards against permits and slices that outlive a suspension of the instance. */
final class SuspensionClockTest {

    private long nanos = 5;
    private Instant wallTime = Instant.EPOCH;
    private final SuspensionClock clock =
            new SuspensionClock(
                    new Clock() {
                        @Override
                        public Instant wallTime() {
                            return wallTime;
                        }

                        @Override
                        public long nanoTime() {
                            return nanos;
                        }
                    });

    private void pass(Duration monotonic, Duration wall) {
        nanos += monotonic.toNanos();
        wallTime = wallTime.plus(wall);
    }

    @Test
    void suspension_isAdded() {
        long start = clock.nanoTime();
        pass(Duration.ofMillis(10), Duration.ofMillis(510));
        assertThat(clock.nanoTime() - start).isEqualTo(Duration.ofMillis(510).toNanos());
        pass(Duration.ofMillis(10), Duration.ofMillis(10));
        assertThat(clock.nanoTime() - start).isEqualTo(Duration.ofMillis(520).toNanos());
    }

    @Test
    void wallClockSetBack_changesNothing() {
        long start = clock.nanoTime();
        pass(Duration.ofMillis(10), Duration.ofSeconds(-6));
        assertThat(clock.nanoTime() - start).isEqualTo(Duration.ofMillis(10).toNanos());
    }
}
