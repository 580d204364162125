package org.fuchsiaspindle.core.work;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against estimates that a few odd runs or wrong hints spoil, and targets never retried. */
final class WorkEstimatorTest {

    private static final double EVENT_MILLIS = 20;
    private static final double FIRST_EVENT_MILLIS = 15;

    private final WorkEstimator estimator = WorkEstimator.create();
    private final SplittableRandom random = new SplittableRandom(1);
    private long now = Duration.ofSeconds(100).toNanos();

    /** Guards against a few huge outputs that make all requests of their kind look long. */
    @Test
    void usualLength_isNotMovedByFewLongOutputs() {
        for (int i = 0; i < 300; i++) {
            recordStream(size(0, 0), i % 20 == 0 ? 4000 : 30, new TargetSpeed(), 1);
        }
        assertThat(estimator.expectedEvents(size(0, 0))).isCloseTo(30, within(4.0));
    }

    /** Guards against lengths that are remembered for ever. */
    @Test
    void usualLength_followsAChange() {
        for (int i = 0; i < 1500; i++) {
            recordStream(size(0, 0), i < 1000 ? 30 : 200, new TargetSpeed(), 1);
        }
        assertThat(estimator.expectedEvents(size(0, 0))).isCloseTo(200, within(20.0));
    }

    /** Guards against hints that are believed although they say nothing about the result. */
    @Test
    void hints_countAsMuchAsTheyWereRight() {
        WorkEstimator misled = WorkEstimator.create();
        for (int i = 0; i < 400; i++) {
            int events = 10 + random.nextInt(90);
            recordStream(size(events, 0), events, new TargetSpeed(), 1);
            int hint = 1 + random.nextInt(800);
            record(misled, size(hint, 0), events, new TargetSpeed(), 1);
        }
        assertThat(estimator.expectedEvents(size(90, 0))).isBetween(70.0, 95.0);
        assertThat(misled.expectedEvents(size(800, 0))).isLessThan(110);
    }

    @Test
    void estimate_isBoundedByTheLargestOutput() {
        estimator.setTokensPerEvent(7);
        for (int i = 0; i < 50; i++) {
            recordStream(size(0, 0), 100, new TargetSpeed(), 1);
        }
        assertThat(estimator.expectedEvents(size(0, 70))).isEqualTo(10);
        assertThat(estimator.expectedEvents(size(7000, 70))).isEqualTo(10);
    }

    /** Guards against a cost of zero, with which a fair order would let a workspace run alone. */
    @Test
    void workOfAnUnknownRequest_isPositive() {
        assertThat(estimator.expectedWork(RequestSize.UNKNOWN)).isPositive();
        for (int i = 0; i < 50; i++) {
            recordStream(size(0, 0), 30, new TargetSpeed(), 1);
        }
        assertThat(estimator.expectedWork(RequestSize.UNKNOWN)).isPositive();
        assertThat(estimator.expectedWork(size(0, 0)).toMillis()).isCloseTo(615L, within(60L));
    }

    /** Guards against a fair order in which long requests cost no more than short ones. */
    @Test
    void relativeWork_isOneForTheAverage_andGrowsWithTheLength() {
        assertThat(estimator.relativeWork(size(0, 0))).isEqualTo(1);
        for (int i = 0; i < 400; i++) {
            int events = i % 2 == 0 ? 20 : 40;
            recordStream(size(events, 0), events, new TargetSpeed(), 1);
        }
        assertThat(estimator.relativeWork(RequestSize.UNKNOWN)).isEqualTo(1);
        double shorter = estimator.relativeWork(size(20, 0));
        double longer = estimator.relativeWork(size(40, 0));
        assertThat(shorter).isBetween(0.5, 1.0);
        assertThat(longer).isBetween(1.0, 1.6);
    }

    /** Guards against a caller whose claimed length makes the requests of all others look late. */
    @Test
    void relativeWork_isBoundedWhateverIsClaimed() {
        for (int i = 0; i < 50; i++) {
            recordStream(size(30, 0), 30, new TargetSpeed(), 1);
        }
        assertThat(estimator.relativeWork(size(Integer.MAX_VALUE, 0))).isLessThanOrEqualTo(16);
    }

    /** Guards against long prompts that look as quick as short ones. */
    @Test
    void workOfAPrompt_growsWithTheTokensToRead() {
        for (int i = 0; i < 300; i++) {
            int tokens = 100 + random.nextInt(1000);
            Duration first = millis(FIRST_EVENT_MILLIS + tokens / 10.0);
            Duration held = first.plus(millis(29 * EVENT_MILLIS));
            estimator.record(
                    new CompletedRun(size(0, 0), true, 30, Optional.of(first), held, tokens, 0),
                    new TargetSpeed(),
                    now);
        }
        double difference =
                estimator.expectedNanos(size(0, 0), 1000, 0)
                        - estimator.expectedNanos(size(0, 0), 200, 0);
        assertThat(difference / 1e6).isCloseTo(80, within(10.0));
    }

    @Test
    void slowTarget_isToldFromTheOthers_andForgottenWithinSeconds() {
        TargetSpeed fast = new TargetSpeed();
        TargetSpeed slow = new TargetSpeed();
        for (int i = 0; i < 200; i++) {
            now += Duration.ofMillis(50).toNanos();
            recordStream(size(0, 0), 30, i % 4 == 0 ? slow : fast, i % 4 == 0 ? 2 : 1);
        }
        assertThat(slow.slowness(now) / fast.slowness(now)).isBetween(1.6, 2.2);
        long later = now + Duration.ofSeconds(20).toNanos();
        assertThat(slow.slowness(later)).isCloseTo(1, within(0.05));
    }

    /** Guards against one stalled run that closes a target for long. */
    @Test
    void oneStalledRun_changesTheSpeedByABoundedFactor() {
        TargetSpeed speed = new TargetSpeed();
        speed.record(1e6, now);
        assertThat(speed.slowness(now)).isLessThan(3);
    }

    /** Guards against a load that is mistaken for the speed of the target. */
    @Test
    void slowdownByOtherRequests_isLearned() {
        TargetSpeed speed = new TargetSpeed();
        for (int i = 0; i < 1000; i++) {
            int running = random.nextInt(8);
            Duration first = millis(FIRST_EVENT_MILLIS);
            Duration held = first.plus(millis(29 * EVENT_MILLIS * Math.exp(0.1 * running)));
            estimator.record(
                    new CompletedRun(size(0, 0), true, 30, Optional.of(first), held, 250, running),
                    speed,
                    now);
        }
        double ratio =
                estimator.expectedNanos(size(0, 0), 250, 7)
                        / estimator.expectedNanos(size(0, 0), 250, 0);
        assertThat(ratio).isCloseTo(Math.exp(0.7), within(0.25));
    }

    private void recordStream(RequestSize size, int events, TargetSpeed speed, double slowness) {
        record(estimator, size, events, speed, slowness);
    }

    private void record(
            WorkEstimator to, RequestSize size, int events, TargetSpeed speed, double slowness) {
        Duration first = millis(FIRST_EVENT_MILLIS * slowness);
        Duration held = first.plus(millis((events - 1) * EVENT_MILLIS * slowness));
        to.record(
                new CompletedRun(size, true, events, Optional.of(first), held, 250, 0), speed, now);
    }

    private static Duration millis(double millis) {
        return Duration.ofNanos((long) (millis * 1e6));
    }

    private static RequestSize size(int hint, int maxOutput) {
        return new RequestSize("route", 250, maxOutput, hint, ImmutableList.of());
    }
}
