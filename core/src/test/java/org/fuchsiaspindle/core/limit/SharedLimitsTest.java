package org.fuchsiaspindle.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against limits that are exceeded, or left partly unused, when entries are lost or cut off
 * from each other.
 */
final class SharedLimitsTest {

    private static final ImmutableMap<String, CustomerLimits> LIMITS =
            ImmutableMap.of(
                    "large", new CustomerLimits(new RateLimit(200, 40), 60),
                    "small", new CustomerLimits(new RateLimit(10, 5), 4),
                    "single", new CustomerLimits(new RateLimit(2, 1), 1));
    private static final double ROUNDING = 1e-6;
    private static final int STEPS_PER_SECOND =
            (int) Duration.ofSeconds(1).dividedBy(LimitSimulation.STEP);

    /** Longest time until all grants reflect the last change of links, pauses and processes. */
    private static final int SETTLE_SECONDS = 12;

    @Test
    void shares_underRandomFaults_neverExceedTheStatedBound() {
        for (int seed = 0; seed < 40; seed++) {
            LimitSimulation fleet = new LimitSimulation(seed, 2 + seed % 4, LIMITS);
            for (int second = 0; second < 60; second++) {
                injectFault(fleet);
                changeDemand(fleet);
                for (int step = 0; step < STEPS_PER_SECOND; step++) {
                    fleet.step();
                    assertBound(fleet, "seed " + seed + " second " + second);
                }
            }
        }
    }

    @Test
    void shares_inASettledFleet_stayWithinTheLimitAndUseAllOfIt() {
        for (int seed = 0; seed < 20; seed++) {
            LimitSimulation fleet = new LimitSimulation(seed, 2 + seed % 4, LIMITS);
            for (int second = 0; second < 20; second++) {
                injectFault(fleet);
                run(fleet, 1);
            }
            settle(fleet);
            fleet.nodes.forEach(
                    node -> LIMITS.keySet().forEach(customer -> node.demand.put(customer, 0.0)));
            LimitSimulation.Node busy = fleet.nodes.getFirst();
            busy.demand.put("large", 400.0);
            run(fleet, SETTLE_SECONDS);
            int before = fleet.admitted("large");
            int seconds = 10;
            for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
                fleet.step();
                assertThat(fleet.rateInUse("large")).isLessThanOrEqualTo(200 * 2);
                assertThat(busy.share("large").rate()).isGreaterThanOrEqualTo(200 * 0.95);
                assertThat(fleet.running("large")).isLessThanOrEqualTo(60);
            }
            assertThat(fleet.admitted("large") - before)
                    .as("seed %s", seed)
                    .isBetween((int) (200 * seconds * 0.9), 200 * seconds + 40);
        }
    }

    @Test
    void admissions_withDemandEverywhere_stayWithinTheLimitOnceSettled() {
        for (int run = 0; run < 20; run++) {
            int seed = run;
            LimitSimulation fleet = new LimitSimulation(seed, 3, LIMITS);
            LIMITS.forEach(
                    (customer, limit) ->
                            fleet.nodes.forEach(
                                    node ->
                                            node.demand.put(
                                                    customer, limit.rate().requestsPerSecond())));
            run(fleet, SETTLE_SECONDS);
            ImmutableMap.Builder<String, Integer> before = ImmutableMap.builder();
            LIMITS.keySet().forEach(c -> before.put(c, fleet.admitted(c)));
            int seconds = 20;
            for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
                fleet.step();
                for (String customer : LIMITS.keySet()) {
                    CustomerLimits limit = LIMITS.get(customer);
                    assertThat(fleet.rateInUse(customer))
                            .as("seed %s %s", seed, customer)
                            .isLessThanOrEqualTo(limit.rate().requestsPerSecond() + ROUNDING);
                    assertThat(fleet.running(customer)).isLessThanOrEqualTo(limit.concurrency());
                }
            }
            ImmutableMap<String, Integer> first = before.buildOrThrow();
            LIMITS.forEach(
                    (customer, limit) ->
                            assertThat(fleet.admitted(customer) - first.get(customer))
                                    .as("seed %s %s", seed, customer)
                                    .isLessThanOrEqualTo(
                                            (int) (limit.rate().requestsPerSecond() * seconds)
                                                    + (int) limit.rate().burst()
                                                    + fleet.nodes.size()));
        }
    }

    @Test
    void shares_ofEntriesAllCutOffFromEachOther_addUpToTheLimit() {
        LimitSimulation fleet = new LimitSimulation(5, 4, LIMITS);
        fleet.nodes.forEach(node -> LIMITS.keySet().forEach(c -> node.demand.put(c, 20.0)));
        run(fleet, SETTLE_SECONDS);
        fleet.nodes.forEach(a -> fleet.nodes.forEach(b -> fleet.cutLink(a, b)));
        run(fleet, SETTLE_SECONDS);
        LIMITS.forEach(
                (customer, limit) -> {
                    assertThat(fleet.rateInUse(customer))
                            .isLessThanOrEqualTo(limit.rate().requestsPerSecond() + ROUNDING)
                            .isGreaterThanOrEqualTo(limit.rate().requestsPerSecond() * 0.99);
                    assertThat(fleet.concurrencyInUse(customer)).isEqualTo(limit.concurrency());
                });
    }

    @Test
    void acquire_withAConcurrencyLimitOfOne_isAdmittedAtEveryEntry() {
        LimitSimulation fleet = new LimitSimulation(6, 4, LIMITS);
        run(fleet, SETTLE_SECONDS);
        for (LimitSimulation.Node node : fleet.nodes) {
            node.demand.put("single", 100.0);
            fleet.step();
            node.demand.put("single", 0.0);
            assertThat(node.admitted).as(node.id).containsEntry("single", 1);
            run(fleet, SETTLE_SECONDS);
        }
    }

    private static void assertBound(LimitSimulation fleet, String when) {
        LIMITS.forEach(
                (customer, limit) -> {
                    assertThat(fleet.rateInUse(customer))
                            .as("%s %s", when, customer)
                            .isLessThanOrEqualTo(2 * limit.rate().requestsPerSecond() + ROUNDING);
                    int rounding =
                            limit.concurrency() < fleet.nodes.size() ? fleet.nodes.size() : 0;
                    assertThat(fleet.concurrencyInUse(customer))
                            .as("%s %s", when, customer)
                            .isLessThanOrEqualTo(2 * limit.concurrency() + rounding);
                });
    }

    private static void injectFault(LimitSimulation fleet) {
        Random random = fleet.random;
        LimitSimulation.Node node = fleet.nodes.get(random.nextInt(fleet.nodes.size()));
        LimitSimulation.Node other = fleet.nodes.get(random.nextInt(fleet.nodes.size()));
        switch (random.nextInt(10)) {
            case 0 -> node.restart();
            case 1 -> node.paused = true;
            case 2 ->
                    fleet.nodes.stream()
                            .filter(n -> n.paused)
                            .forEach(LimitSimulation.Node::resume);
            case 3 -> fleet.cutLink(node, other);
            case 4 -> {
                fleet.cutLink(node, other);
                fleet.cutLink(other, node);
            }
            case 5 -> fleet.nodes.forEach(n -> fleet.cutLink(node, n));
            case 6 -> fleet.restoreLinks();
            default -> {
                // No fault is injected in this second.
            }
        }
    }

    private static void changeDemand(LimitSimulation fleet) {
        for (LimitSimulation.Node node : fleet.nodes) {
            LIMITS.forEach(
                    (customer, limit) -> {
                        if (fleet.random.nextInt(5) == 0) {
                            double times = fleet.random.nextInt(3);
                            node.demand.put(customer, times * limit.rate().requestsPerSecond());
                        }
                    });
        }
    }

    private static void settle(LimitSimulation fleet) {
        fleet.restoreLinks();
        fleet.nodes.stream().filter(node -> node.paused).forEach(LimitSimulation.Node::resume);
        run(fleet, SETTLE_SECONDS);
    }

    private static void run(LimitSimulation fleet, int seconds) {
        for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
            fleet.step();
        }
    }
}
