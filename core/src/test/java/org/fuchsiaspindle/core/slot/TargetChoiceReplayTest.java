package org.fuchsiaspindle.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.fuchsiaspindle.core.slot.TargetSlots.Lease;
import org.fuchsiaspindle.core.work.RequestSize;
import org.junit.jupiter.api.Test;

/**
 * Guards against a choice of targets with which more requests are late than with least outstanding
 * requests, on a replay of unequal targets, spread lengths and waves.
 */
final class TargetChoiceReplayTest {

    /** Waves of this mean rate exceed all slots for a while. */
    private static final double REQUESTS_PER_SECOND = 100;

    private static final int TARGETS = 16;
    private static final int SLOTS = 8;
    private static final int TOKENS_PER_EVENT = 7;
    private static final double[] SPEEDS = {0.55, 1.2, 1.2, 1.2};
    private static final double DISTURBED_SHARE = 0.15;
    private static final double DISTURBED_SPEED = 1 / 2.5;
    private static final int DISTURBANCE_MILLIS = 600;
    private static final double STEP_MILLIS = 2.6;
    private static final double STEP_MILLIS_PER_RUN = 0.12;
    private static final double FIRST_MILLIS = 14;
    private static final double TOKENS_PER_MILLI = 48;
    private static final int LATENCY_TARGET_MILLIS = 300;
    private static final int TICK_MILLIS = 5;
    private static final int REPLAY_MILLIS = 60_000;
    private static final int WARM_UP_MILLIS = 5_000;
    private static final int WINDOW_MILLIS = 2_000;
    private static final int SEEDS = 5;

    private enum Policy {
        LEAST_REQUESTS,
        LEAST_WORK,
        TWO_CHOICES,
        EXPECTED_FINISH,
        ORACLE
    }

    /** What callers and operators saw, summed over all seeds. */
    private static final class Outcome {
        private int requests;
        private int late;
        private double worstWindowShare = 1;
        private double idleSlotSeconds;
        private double heldSeconds;

        double lateShare() {
            return (double) late / requests;
        }

        @Override
        public String toString() {
            return "requests=%d late=%.4f worst=%.3f idle=%.1fs held=%.3fs"
                    .formatted(
                            requests,
                            lateShare(),
                            worstWindowShare,
                            idleSlotSeconds,
                            heldSeconds / requests);
        }
    }

    private static final class Run {
        private final int arrivedMillis;
        private final RequestSize size;
        private final int events;
        private double firstMillisLeft;
        private double eventsLeft;
        private int startedMillis;
        private int firstEventMillis = -1;
        private Lease lease;

        Run(int arrivedMillis, RequestSize size, int events) {
            this.arrivedMillis = arrivedMillis;
            this.size = size;
            this.events = events;
            this.firstMillisLeft = FIRST_MILLIS + size.promptTokens() / TOKENS_PER_MILLI;
            this.eventsLeft = events;
        }
    }

    /** One replay of one policy; all policies get the same requests and disturbances. */
    private static final class Replay {
        private final Policy policy;
        private final Outcome outcome;
        private final SplittableRandom arrivals;
        private final SplittableRandom disturbances;
        private final SplittableRandom choices;
        private final List<TargetSlots> targets = new ArrayList<>();
        private final Map<TargetSlots, List<Run>> running = new HashMap<>();
        private final Map<TargetSlots, Double> speeds = new HashMap<>();
        private final Map<TargetSlots, Deque<Run>> queues = new HashMap<>();
        private final Deque<Run> waiting = new ArrayDeque<>();
        private final PoolWork work = new PoolWork();
        private final TargetChoice choice = new TargetChoice(targets, work);
        private final int windows = REPLAY_MILLIS / WINDOW_MILLIS;
        private final int[] windowRequests = new int[windows];
        private final int[] windowLate = new int[windows];
        private int nowMillis;
        private long nextTicket;

        Replay(Policy policy, long seed, Outcome outcome) {
            this.policy = policy;
            this.outcome = outcome;
            SplittableRandom random = new SplittableRandom(seed);
            this.arrivals = random.split();
            this.disturbances = random.split();
            this.choices = random.split();
            work.estimator().setTokensPerEvent(TOKENS_PER_EVENT);
            for (int i = 0; i < TARGETS; i++) {
                TargetSlots target = new TargetSlots("target-" + i);
                target.open(SLOTS);
                targets.add(target);
                running.put(target, new ArrayList<>());
                queues.put(target, new ArrayDeque<>());
            }
        }

        void play() {
            for (nowMillis = 0; nowMillis < REPLAY_MILLIS; nowMillis += TICK_MILLIS) {
                if (nowMillis % DISTURBANCE_MILLIS == 0) {
                    disturb();
                }
                arrive();
                targets.forEach(this::advance);
                start();
                countIdleSlots();
            }
            for (int window = WARM_UP_MILLIS / WINDOW_MILLIS + 1; window < windows - 1; window++) {
                outcome.requests += windowRequests[window];
                outcome.late += windowLate[window];
                double onTime = 1 - (double) windowLate[window] / windowRequests[window];
                outcome.worstWindowShare = Math.min(outcome.worstWindowShare, onTime);
            }
        }

        private void disturb() {
            for (int i = 0; i < TARGETS; i++) {
                boolean disturbed = disturbances.nextDouble() < DISTURBED_SHARE;
                speeds.put(
                        targets.get(i),
                        SPEEDS[i % SPEEDS.length] * (disturbed ? DISTURBED_SPEED : 1));
            }
        }

        private void arrive() {
            double wave = nowMillis % 5200 < 3000 ? 0.378 : 1.85;
            double expected = REQUESTS_PER_SECOND * wave * TICK_MILLIS / 1000;
            while (expected > 0) {
                if (arrivals.nextDouble() < expected) {
                    waiting.add(newRun());
                }
                expected -= 1;
            }
        }

        private Run newRun() {
            double events = 30 * Math.exp(0.57 * gaussian() - 0.57 * 0.57 / 2);
            int eventCount = Math.clamp(Math.round(events), 1, 48);
            int hint = (int) (eventCount * TOKENS_PER_EVENT * Math.exp(0.5 * gaussian()));
            int maxOutput = 48 * TOKENS_PER_EVENT;
            RequestSize size =
                    new RequestSize(
                            "route",
                            250 + arrivals.nextInt(400),
                            maxOutput,
                            Math.max(1, hint),
                            ImmutableList.of());
            return new Run(nowMillis, size, eventCount);
        }

        private double gaussian() {
            double sum = -6;
            for (int i = 0; i < 12; i++) {
                sum += arrivals.nextDouble();
            }
            return sum;
        }

        private void advance(TargetSlots target) {
            List<Run> runs = running.get(target);
            double speed = speeds.get(target);
            double eventMillis =
                    TOKENS_PER_EVENT * (STEP_MILLIS + STEP_MILLIS_PER_RUN * runs.size());
            for (Iterator<Run> each = runs.iterator(); each.hasNext(); ) {
                Run run = each.next();
                if (run.firstMillisLeft > 0) {
                    run.firstMillisLeft -= TICK_MILLIS * speed;
                } else {
                    run.eventsLeft -= TICK_MILLIS * speed / eventMillis;
                    if (run.firstEventMillis < 0 && run.eventsLeft <= run.events - 1) {
                        firstEvent(run);
                    }
                    if (run.eventsLeft <= 0) {
                        each.remove();
                        end(run, target);
                    }
                }
            }
        }

        private void firstEvent(Run run) {
            run.firstEventMillis = nowMillis;
            int window = run.arrivedMillis / WINDOW_MILLIS;
            windowRequests[window]++;
            windowLate[window] += nowMillis - run.arrivedMillis > LATENCY_TARGET_MILLIS ? 1 : 0;
        }

        private void end(Run run, TargetSlots target) {
            target.remove(run.lease);
            outcome.heldSeconds += (nowMillis - run.startedMillis) / 1000.0;
            if (policy == Policy.EXPECTED_FINISH || policy == Policy.LEAST_WORK) {
                work.end(
                        run.lease,
                        new RunReport(
                                LeaseOutcome.DONE,
                                run.events,
                                Optional.of(
                                        Duration.ofMillis(
                                                run.firstEventMillis - run.startedMillis)),
                                Duration.ofMillis(nowMillis - run.startedMillis)),
                        nowNanos());
            }
        }

        private void start() {
            for (Iterator<Run> each = waiting.iterator(); each.hasNext(); ) {
                Run run = each.next();
                if (policy == Policy.TWO_CHOICES) {
                    shorterOfTwo().add(run);
                    each.remove();
                    continue;
                }
                Optional<TargetSlots> target = choose(run);
                if (target.isEmpty()) {
                    break;
                }
                each.remove();
                start(run, target.get());
            }
            queues.forEach(
                    (target, queue) -> {
                        while (!queue.isEmpty() && target.hasFreeSlot()) {
                            start(queue.poll(), target);
                        }
                    });
        }

        private Deque<Run> shorterOfTwo() {
            TargetSlots one = targets.get(choices.nextInt(TARGETS));
            TargetSlots other = targets.get(choices.nextInt(TARGETS));
            int load = one.total() + queues.get(one).size();
            int otherLoad = other.total() + queues.get(other).size();
            return queues.get(load <= otherLoad ? one : other);
        }

        private Optional<TargetSlots> choose(Run run) {
            return switch (policy) {
                case LEAST_REQUESTS -> choice.forOnline(request(RequestSize.UNKNOWN), nowNanos());
                case EXPECTED_FINISH -> choice.forOnline(request(run.size), nowNanos());
                case LEAST_WORK -> least(this::outstandingNanos);
                case ORACLE -> least(target -> finishMillis(run, target));
                case TWO_CHOICES -> throw new AssertionError();
            };
        }

        private Optional<TargetSlots> least(ToDoubleFunction<TargetSlots> cost) {
            return targets.stream()
                    .filter(TargetSlots::hasFreeSlot)
                    .min(Comparator.comparingDouble(cost));
        }

        private double outstandingNanos(TargetSlots target) {
            double sum = 0;
            for (Run run : running.get(target)) {
                double expected = run.lease.work().nanos();
                double elapsed = Duration.ofMillis(nowMillis - run.startedMillis).toNanos();
                sum += Math.max(expected - elapsed, expected / 4);
            }
            return sum;
        }

        private double finishMillis(Run run, TargetSlots target) {
            double running = 0;
            for (Run other : this.running.get(target)) {
                running += Math.min(1, other.eventsLeft / run.events);
            }
            double eventMillis = TOKENS_PER_EVENT * (STEP_MILLIS + STEP_MILLIS_PER_RUN * running);
            return (run.firstMillisLeft + run.events * eventMillis) / speeds.get(target);
        }

        private SlotRequest request(RequestSize size) {
            long forEver = Long.MAX_VALUE;
            return new SlotRequest(
                    "g", nextTicket, true, 0, "", size, forEver, forEver, ImmutableSet.of(), false);
        }

        private void start(Run run, TargetSlots target) {
            boolean learns = policy == Policy.EXPECTED_FINISH || policy == Policy.LEAST_WORK;
            ExpectedRun expected =
                    learns
                            ? work.start(request(run.size), target, nowNanos())
                            : ExpectedRun.ofTokens(0);
            run.lease =
                    new Lease(
                            "g",
                            nextTicket++,
                            target,
                            TrafficClass.ONLINE,
                            0,
                            0,
                            nowNanos(),
                            expected);
            run.startedMillis = nowMillis;
            target.add(run.lease);
            running.get(target).add(run);
        }

        private void countIdleSlots() {
            int waitingNow = waiting.size() + queues.values().stream().mapToInt(Deque::size).sum();
            int free = targets.stream().mapToInt(TargetSlots::freeSlots).sum();
            outcome.idleSlotSeconds += Math.min(waitingNow, free) * TICK_MILLIS / 1000.0;
        }

        private long nowNanos() {
            return Duration.ofMillis(nowMillis).toNanos();
        }
    }

    private static Outcome replay(Policy policy) {
        Outcome outcome = new Outcome();
        for (int seed = 1; seed <= SEEDS; seed++) {
            new Replay(policy, seed, outcome).play();
        }
        return outcome;
    }

    @Test
    void expectedFinish_isLateLessOftenThanWhatKnowsLess() {
        Map<Policy, Outcome> outcomes = new EnumMap<>(Policy.class);
        for (Policy policy : Policy.values()) {
            outcomes.put(policy, replay(policy));
        }
        Outcome finish = outcomes.get(Policy.EXPECTED_FINISH);
        Outcome requests = outcomes.get(Policy.LEAST_REQUESTS);
        assertThat(finish.late).describedAs("%s", outcomes).isLessThan(requests.late * 4 / 5);
        assertThat(finish.late).isLessThan(outcomes.get(Policy.TWO_CHOICES).late);
        assertThat(finish.late).isGreaterThanOrEqualTo(outcomes.get(Policy.ORACLE).late);
        assertThat(finish.worstWindowShare).isGreaterThanOrEqualTo(requests.worstWindowShare);
        assertThat(finish.idleSlotSeconds).isLessThanOrEqualTo(requests.idleSlotSeconds);
        assertThat(finish.heldSeconds).isLessThan(requests.heldSeconds);
    }
}
