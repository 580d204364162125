package org.fuchsiaspindle.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards the decisions on the owner of a job and on items that fail. */
final class JobDecisionsTest {

    private static final JobOwner OWNER = new JobOwner("10.0.0.1", "life-1");
    private final OwnerLiveness liveness = new OwnerLiveness();

    /** Guards against jobs that are taken from a living owner. */
    @Test
    void ownerThatRenews_lives() {
        for (int second = 0; second < 20; second++) {
            liveness.read(rows("life-1", second), seconds(second));
        }
        assertThat(liveness.isLost(OWNER)).isFalse();
        assertThat(liveness.livingIps()).containsExactly("10.0.0.1");
    }

    @Test
    void ownerThatStopsRenewing_isLostAfterItsLease() {
        liveness.read(rows("life-1", 5), seconds(0));
        liveness.read(rows("life-1", 5), seconds(2));
        assertThat(liveness.isLost(OWNER)).isFalse();
        liveness.read(rows("life-1", 5), seconds(4));
        assertThat(liveness.isLost(OWNER)).isTrue();
    }

    /** Guards against a reader that was paused and judges by its own pause. */
    @Test
    void gapBetweenReads_provesNothing() {
        liveness.read(rows("life-1", 5), seconds(0));
        liveness.read(rows("life-1", 5), seconds(60));
        assertThat(liveness.isLost(OWNER)).isFalse();
    }

    @Test
    void restartedOwner_isLostAtOnce() {
        liveness.read(rows("life-2", 6), seconds(0));
        assertThat(liveness.isLost(OWNER)).isTrue();
        assertThat(liveness.isLost(JobOwner.NONE)).isTrue();
    }

    @Test
    void nothingRead_provesNothing() {
        assertThat(liveness.isLost(OWNER)).isFalse();
    }

    /** Guards against jobs that all take over at once, or that nobody takes over. */
    @Test
    void takeover_isDueAtOneProcessFirstAndAtAllInTheEnd() {
        List<String> living = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
        long first =
                living.stream()
                        .filter(ip -> Takeover.isDue("job", ip, living, Duration.ZERO))
                        .count();
        assertThat(first).isEqualTo(1);
        assertThat(living)
                .allSatisfy(
                        ip ->
                                assertThat(Takeover.isDue("job", ip, living, Duration.ofSeconds(5)))
                                        .isTrue());
    }

    @Test
    void failingItem_isGivenUpAfterItsAttempts() {
        assertThat(ItemOutcome.afterFailure(2, 3)).isEqualTo(ItemOutcome.RUN_AGAIN);
        assertThat(ItemOutcome.afterFailure(3, 3)).isEqualTo(ItemOutcome.GIVE_UP);
        assertThat(ItemOutcome.byAge(Duration.ofSeconds(61), Duration.ofSeconds(60)))
                .isEqualTo(ItemOutcome.GIVE_UP);
    }

    /** Guards against a schedule that takes a started item for a whole one. */
    @Test
    void timeLeft_shrinksWithTheEventsMade() {
        ItemTimes times = new ItemTimes();
        for (int i = 0; i < 100; i++) {
            times.completed(200);
            times.ran(100, Duration.ofSeconds(2));
        }
        assertThat(times.left(0)).isBetween(Duration.ofMillis(3900), Duration.ofMillis(4200));
        assertThat(times.left(150)).isBetween(Duration.ofMillis(900), Duration.ofMillis(1200));
        assertThat(times.left(500)).isPositive();
    }

    private static Map<String, OwnerLiveness.Renewal> rows(String incarnation, long version) {
        return Map.of("10.0.0.1", new OwnerLiveness.Renewal(incarnation, version));
    }

    private static long seconds(long count) {
        return Duration.ofSeconds(count).toNanos();
    }
}
