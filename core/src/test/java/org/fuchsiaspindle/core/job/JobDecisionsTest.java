package org.fuchsiaspindle.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against wrong takeovers of jobs and wrong handling of failed items. */
final class JobDecisionsTest {

    private static final JobOwner OWNER = new JobOwner("10.0.0.1", "incarnation-1");
    private final OwnerLiveness liveness = new OwnerLiveness();

    /** Guards against taking a job from a live owner. */
    @Test
    void ownerThatRenews_isNotLost() {
        for (int second = 0; second < 20; second++) {
            liveness.update(rows("incarnation-1", second), seconds(second));
        }
        assertThat(liveness.isLost(OWNER)).isFalse();
        assertThat(liveness.liveIps()).containsExactly("10.0.0.1");
    }

    @Test
    void ownerThatStopsRenewing_isLostAfterItsLease() {
        liveness.update(rows("incarnation-1", 5), seconds(0));
        liveness.update(rows("incarnation-1", 5), seconds(2));
        assertThat(liveness.isLost(OWNER)).isFalse();
        liveness.update(rows("incarnation-1", 5), seconds(4));
        assertThat(liveness.isLost(OWNER)).isTrue();
    }

    /** Guards against a reader that was paused and takes its own pause for missing renewals. */
    @Test
    void gapBetweenReads_doesNotExpireTheLease() {
        liveness.update(rows("incarnation-1", 5), seconds(0));
        liveness.update(rows("incarnation-1", 5), seconds(60));
        assertThat(liveness.isLost(OWNER)).isFalse();
    }

    @Test
    void restartedOwner_isLostAtOnce() {
        liveness.update(rows("incarnation-2", 6), seconds(0));
        assertThat(liveness.isLost(OWNER)).isTrue();
        assertThat(liveness.isLost(JobOwner.NONE)).isTrue();
    }

    @Test
    void beforeTheFirstRead_noOwnerIsLost() {
        assertThat(liveness.isLost(OWNER)).isFalse();
    }

    /**
     * Guards against jobs that all processes take over at once, and jobs that no process takes
     * over.
     */
    @Test
    void takeover_isDueAtOneProcessFirstAndAtAllInTheEnd() {
        List<String> liveIps = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
        long first =
                liveIps.stream()
                        .filter(ip -> Takeover.isDue("job", ip, liveIps, Duration.ZERO))
                        .count();
        assertThat(first).isEqualTo(1);
        assertThat(liveIps)
                .allSatisfy(
                        ip ->
                                assertThat(
                                                Takeover.isDue(
                                                        "job", ip, liveIps, Duration.ofSeconds(5)))
                                        .isTrue());
    }

    @Test
    void failingItem_isAbandonedAfterMaxAttempts() {
        assertThat(ItemOutcome.afterFailure(2, 3)).isEqualTo(ItemOutcome.RUN_AGAIN);
        assertThat(ItemOutcome.afterFailure(3, 3)).isEqualTo(ItemOutcome.GIVE_UP);
        assertThat(ItemOutcome.byAge(Duration.ofSeconds(61), Duration.ofSeconds(60)))
                .isEqualTo(ItemOutcome.GIVE_UP);
    }

    /** Guards against estimates that ignore the progress of a started item. */
    @Test
    void remainingTime_shrinksWithTheEventsProduced() {
        ItemDurationEstimator estimator = new ItemDurationEstimator();
        for (int i = 0; i < 100; i++) {
            estimator.recordCompletedItem(200);
            estimator.recordRun(100, Duration.ofSeconds(2));
        }
        assertThat(estimator.remainingTime(0))
                .isBetween(Duration.ofMillis(3900), Duration.ofMillis(4200));
        assertThat(estimator.remainingTime(150))
                .isBetween(Duration.ofMillis(900), Duration.ofMillis(1200));
        assertThat(estimator.remainingTime(500)).isPositive();
    }

    private static Map<String, OwnerLiveness.Renewal> rows(String incarnation, long version) {
        return Map.of("10.0.0.1", new OwnerLiveness.Renewal(incarnation, version));
    }

    private static long seconds(long count) {
        return Duration.ofSeconds(count).toNanos();
    }
}
