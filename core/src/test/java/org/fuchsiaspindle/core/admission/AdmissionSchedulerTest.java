package org.fuchsiaspindle.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsiaspindle.core.config.FleetSettings;
import org.fuchsiaspindle.core.error.ResultCode;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong starting order, preemption of the wrong stream and slots that stay unused.
 */
final class AdmissionSchedulerTest {

    private static final long MS = 1_000_000L;
    private static final long ONE_HOUR = Duration.ofHours(1).toNanos();

    private final AdmissionScheduler scheduler = scheduler(2);
    private long now;

    @Test
    void onlineArrived_withAllSlotsHeldByBatch_preemptsTheStreamWithTheFewestTokensAtOnce() {
        startBatch(1);
        startBatch(2);
        scheduler.tokensObserved(1, 5, now);
        scheduler.tokensObserved(2, 3, now);
        online(10, 0, OnlineRequest.NO_DEADLINE, "a");
        assertThat(scheduler.decisions())
                .containsExactly(new Decision.Preempt(2), new Decision.Start(10));
    }

    @Test
    void ended_afterAPreemption_resumesTheItemBeforeOthersOfItsCustomer() {
        startBatch(1);
        startBatch(2);
        online(10, 0, OnlineRequest.NO_DEADLINE, "a");
        batch(3, "a", 1, ONE_HOUR, false);
        scheduler.decisions();
        now += 100 * MS;
        scheduler.ended(10, now);
        assertThat(scheduler.decisions()).containsExactly(new Decision.Start(2));
    }

    @Test
    void onlineArrived_queued_startsByUrgencyThenDeadline() {
        online(1, 0, OnlineRequest.NO_DEADLINE, "a");
        online(2, 0, OnlineRequest.NO_DEADLINE, "a");
        online(3, 5, 1_000 * MS, "a");
        online(4, 1, 3_000 * MS, "a");
        online(5, 1, 2_000 * MS, "a");
        scheduler.decisions();
        assertThat(endInOrder(1, 2, 5, 4))
                .containsExactly(
                        new Decision.Start(5), new Decision.Start(4), new Decision.Start(3));
    }

    @Test
    void onlineArrived_fromACustomerWithManyRequests_leavesOthersTheirWeightedShare() {
        AdmissionScheduler one = scheduler(1);
        for (int i = 1; i <= 400; i++) {
            one.onlineArrived(
                    new OnlineRequest(i, "greedy", 5, 1, OnlineRequest.NO_DEADLINE, 500), now);
        }
        for (int i = 401; i <= 500; i++) {
            one.onlineArrived(
                    new OnlineRequest(i, "heavy", 5, 3, OnlineRequest.NO_DEADLINE, 500), now);
        }
        int heavy = 0;
        for (int served = 0; served < 80; served++) {
            long id = one.decisions().getLast().id();
            heavy += id > 400 ? 1 : 0;
            one.ended(id, now);
        }
        // Weights of 3 and 1 give three quarters of 80, within one round of each customer.
        assertThat(heavy).isBetween(48, 72);
    }

    @Test
    void onlineArrived_thatCannotStartInTime_isRefusedAtOnce() {
        online(1, 0, OnlineRequest.NO_DEADLINE, "a");
        online(2, 0, OnlineRequest.NO_DEADLINE, "a");
        now += 1_000 * MS;
        scheduler.ended(1, now);
        online(3, 0, OnlineRequest.NO_DEADLINE, "a");
        scheduler.decisions();
        online(4, 0, now + 100 * MS, "a");
        assertThat(scheduler.decisions())
                .singleElement()
                .isInstanceOfSatisfying(
                        Decision.Refuse.class,
                        refuse ->
                                assertThat(refuse.code())
                                        .isEqualTo(ResultCode.DEADLINE_UNREACHABLE));
    }

    @Test
    void tick_pastTheDeadlineOfAWaitingRequest_refusesIt() {
        online(1, 0, OnlineRequest.NO_DEADLINE, "a");
        online(2, 0, OnlineRequest.NO_DEADLINE, "a");
        online(3, 0, 100 * MS, "a");
        scheduler.decisions();
        assertThat(scheduler.nextTickNanos()).isEqualTo(100 * MS);
        scheduler.tick(100 * MS);
        assertThat(scheduler.decisions())
                .containsExactly(new Decision.Refuse(3, ResultCode.DEADLINE_UNREACHABLE, 0));
        assertThat(scheduler.load(now).onlineWaiting()).isZero();
    }

    @Test
    void onlineArrived_withAFullQueue_isRefusedAsOverloaded() {
        AdmissionScheduler small = AdmissionScheduler.create(policy(1, 2), now);
        for (int i = 1; i <= 4; i++) {
            small.onlineArrived(new OnlineRequest(i, "a", 0, 1, OnlineRequest.NO_DEADLINE, 1), now);
        }
        assertThat(small.decisions())
                .containsExactly(
                        new Decision.Start(1), new Decision.Refuse(4, ResultCode.OVERLOADED, 0));
        assertThat(small.batchArrived(item(5, "a", 1, ONE_HOUR, false), now)).isTrue();
        assertThat(small.batchArrived(item(6, "a", 1, ONE_HOUR, false), now)).isTrue();
        assertThat(small.batchArrived(item(7, "a", 1, ONE_HOUR, false), now)).isFalse();
    }

    @Test
    void batchArrived_nearItsDeadline_startsBeforeTheFairOrder() {
        startBatch(1);
        startBatch(2);
        batch(3, "a", 1, ONE_HOUR, false);
        batch(4, "b", 1, Duration.ofSeconds(20).toNanos(), false);
        now += 100 * MS;
        scheduler.ended(1, now);
        assertThat(scheduler.decisions()).containsExactly(new Decision.Start(4));
    }

    @Test
    void batchArrived_suspects_runOneAtATime() {
        AdmissionScheduler wide = scheduler(8);
        for (int i = 1; i <= 3; i++) {
            wide.batchArrived(item(i, "a", 1, ONE_HOUR, true), now);
        }
        runDueTicks(wide);
        assertThat(wide.decisions()).containsExactly(new Decision.Start(1));
        wide.ended(1, now);
        runDueTicks(wide);
        assertThat(wide.decisions()).containsExactly(new Decision.Start(2));
    }

    @Test
    void ended_withWaitingBatch_refillsAllSlotsWithin100Milliseconds() {
        AdmissionScheduler wide = scheduler(64);
        for (int i = 1; i <= 64; i++) {
            wide.batchArrived(item(i, "a", 1, ONE_HOUR, false), now);
        }
        long start = now;
        runDueTicks(wide);
        assertThat(wide.load(now).batchRunning()).isEqualTo(64);
        assertThat(now - start).isLessThanOrEqualTo(100 * MS);
    }

    @Test
    void batchStarts_afterAnOnlineStart_waitForItsPrefillButNotWithoutBound() {
        AdmissionScheduler wide = scheduler(64);
        wide.batchArrived(item(1, "a", 1, ONE_HOUR, false), now);
        wide.decisions();
        for (int i = 0; i < 10; i++) {
            wide.onlineArrived(
                    new OnlineRequest(100 + i, "a", 0, 1, OnlineRequest.NO_DEADLINE, 1), now);
            wide.batchArrived(item(2 + i, "a", 1, ONE_HOUR, false), now);
            if (i == 0) {
                assertThat(wide.load(now).batchRunning()).isEqualTo(1);
            }
            now += 10 * MS;
        }
        assertThat(wide.load(now).batchRunning()).isGreaterThan(1);
    }

    @Test
    void headroom_afterABurst_keepsSlotsFreeAndDecays() {
        AdmissionScheduler wide = scheduler(100);
        for (int i = 1; i <= 20; i++) {
            wide.onlineArrived(new OnlineRequest(i, "a", 0, 1, OnlineRequest.NO_DEADLINE, 1), now);
        }
        assertThat(wide.load(now).headroom()).isEqualTo(7);
        assertThat(wide.load(now + Duration.ofMinutes(2).toNanos()).headroom()).isZero();
    }

    @Test
    void headroom_thatDecaysWithoutAnyEvent_isFilledWithBatch() {
        AdmissionScheduler wide = scheduler(100);
        wide.onlineArrived(new OnlineRequest(1_000, "a", 0, 1, OnlineRequest.NO_DEADLINE, 1), now);
        for (int i = 1; i <= 100; i++) {
            wide.batchArrived(item(i, "a", 1, ONE_HOUR, false), now);
        }
        while (wide.load(now).headroom() > 0) {
            now = Math.max(now, wide.nextTickNanos());
            wide.tick(now);
        }
        assertThat(wide.load(now).batchRunning()).isEqualTo(99);
    }

    @Test
    void setOpen_false_startsNothingUntilOpened() {
        scheduler.setOpen(false, now);
        online(1, 0, OnlineRequest.NO_DEADLINE, "a");
        assertThat(scheduler.decisions()).isEmpty();
        scheduler.setOpen(true, now);
        assertThat(scheduler.decisions()).containsExactly(new Decision.Start(1));
    }

    @Test
    void limit_withAStepTimeThatGrows_settlesBelowTheTarget() {
        AdmissionScheduler adaptive =
                AdmissionScheduler.create(AdmissionPolicy.forEngine(FleetSettings.DEFAULT), now);
        List<Long> running = new ArrayList<>();
        long next = 0;
        long step = 0;
        for (int i = 0; i < 2_000; i++) {
            while (adaptive.load(now).batchWaiting() < 200) {
                adaptive.batchArrived(item(++next, "a", 1, ONE_HOUR, false), now);
            }
            adaptive.decisions().forEach(decision -> running.add(decision.id()));
            step = 10 * MS + running.size() * MS;
            now += step;
            for (long id : running) {
                adaptive.tokensObserved(id, 1, now);
            }
        }
        // Step time is 10 ms + 1 ms per stream, so 49 streams reach the target of 59 ms.
        assertThat(adaptive.load(now).limit()).isBetween(42, 49);
        assertThat(step).isLessThanOrEqualTo(59 * MS);
    }

    @Test
    void tokensObserved_whileABatchStreamHasNoToken_preemptsItInTheTargetsQueue() {
        AdmissionScheduler wide = scheduler(8);
        for (int i = 1; i <= 4; i++) {
            wide.batchArrived(item(i, "a", 1, ONE_HOUR, false), now);
        }
        runDueTicks(wide);
        wide.decisions();
        wide.targetReported(1, now);
        List<Decision> decisions = new ArrayList<>();
        for (int step = 0; step < 10; step++) {
            now += 20 * MS;
            for (int i = 1; i <= 3; i++) {
                wide.tokensObserved(i, 1, now);
            }
            decisions.addAll(wide.decisions());
        }
        assertThat(decisions).containsExactly(new Decision.Preempt(4));
        assertThat(wide.load(now).limit()).isEqualTo(3);
    }

    @Test
    void tokensObserved_whileAnOnlineStreamHasNoToken_preemptsABatchStream() {
        startBatch(1);
        online(2, 0, OnlineRequest.NO_DEADLINE, "a");
        scheduler.decisions();
        scheduler.targetReported(1, now);
        for (int step = 0; step < 8; step++) {
            now += 20 * MS;
            scheduler.tokensObserved(1, 1, now);
        }
        assertThat(scheduler.decisions()).containsExactly(new Decision.Preempt(1));
    }

    @Test
    void tokensObserved_whileTheTargetReportsNoQueue_keepsTheLimitDespiteAMissingFirstToken() {
        AdmissionScheduler wide = scheduler(8);
        for (int i = 1; i <= 4; i++) {
            wide.batchArrived(item(i, "a", 1, ONE_HOUR, false), now);
        }
        runDueTicks(wide);
        wide.decisions();
        for (int step = 0; step < 100; step++) {
            now += 20 * MS;
            wide.tokensObserved(1, 1, now);
        }
        assertThat(wide.decisions()).isEmpty();
        assertThat(wide.load(now).limit()).isEqualTo(8);
    }

    @Test
    void tokensObserved_ofManyStreamsInOneStep_countsOneStep() {
        AdmissionScheduler wide = scheduler(16);
        for (int i = 1; i <= 16; i++) {
            wide.batchArrived(item(i, "a", 1, ONE_HOUR, false), now);
        }
        runDueTicks(wide);
        wide.decisions();
        wide.targetReported(1, now);
        for (int step = 0; step < 3; step++) {
            for (int i = 1; i <= 15; i++) {
                wide.tokensObserved(i, 1, now);
            }
        }
        assertThat(wide.decisions()).isEmpty();
    }

    private List<Decision> endInOrder(long... ids) {
        List<Decision> all = new ArrayList<>();
        for (long id : ids) {
            scheduler.ended(id, now);
            all.addAll(scheduler.decisions());
        }
        return all;
    }

    private void startBatch(long id) {
        batch(id, "a", 1, ONE_HOUR, false);
        now += 100 * MS;
        scheduler.tick(now);
        assertThat(scheduler.decisions()).containsExactly(new Decision.Start(id));
    }

    private void runDueTicks(AdmissionScheduler subject) {
        while (subject.nextTickNanos() != Long.MAX_VALUE) {
            now = Math.max(now, subject.nextTickNanos());
            subject.tick(now);
        }
    }

    private void online(long id, int urgency, long deadline, String customer) {
        scheduler.onlineArrived(new OnlineRequest(id, customer, urgency, 1, deadline, 1), now);
    }

    private void batch(long id, String customer, int weight, long deadline, boolean suspect) {
        scheduler.batchArrived(item(id, customer, weight, deadline, suspect), now);
    }

    private static BatchRequest item(
            long id, String customer, int weight, long deadline, boolean suspect) {
        return new BatchRequest(id, customer, weight, deadline, 1, 0, suspect);
    }

    private static AdmissionScheduler scheduler(int limit) {
        return AdmissionScheduler.create(policy(limit, 10_000), 0);
    }

    private static AdmissionPolicy policy(int limit, int maxWaiting) {
        return new AdmissionPolicy(
                Duration.ofMillis(59),
                0.75,
                limit,
                limit,
                true,
                1.0,
                0.07,
                Duration.ofSeconds(5),
                maxWaiting,
                maxWaiting);
    }
}
