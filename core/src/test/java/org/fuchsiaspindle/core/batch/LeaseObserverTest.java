package org.fuchsiaspindle.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against the takeover of a lease that its holder renews or cannot renew while the table
 * service is down.
 */
final class LeaseObserverTest {

    private final LeaseObserver observer = new LeaseObserver();

    @Test
    void isExpired_after30SecondsWithoutAChange_isTrue() {
        assertThat(observer.isExpired("h", 1, seconds(0))).isFalse();
        assertThat(observer.isExpired("h", 1, seconds(15))).isFalse();
        assertThat(observer.isExpired("h", 1, seconds(29))).isFalse();
        assertThat(observer.isExpired("h", 1, seconds(30))).isTrue();
    }

    @Test
    void isExpired_afterARenewal_restartsTheObservation() {
        observer.isExpired("h", 1, seconds(0));
        observer.isExpired("h", 1, seconds(15));
        assertThat(observer.isExpired("h", 2, seconds(30))).isFalse();
        assertThat(observer.isExpired("h", 2, seconds(45))).isFalse();
    }

    @Test
    void isExpired_afterAGapWithoutReads_isFalse() {
        observer.isExpired("h", 1, seconds(0));
        assertThat(observer.isExpired("h", 1, seconds(3600))).isFalse();
    }

    private static long seconds(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
