package org.fuchsiaspindle.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.slot.CoordinatorRanking.Candidate;
import org.junit.jupiter.api.Test;

/** Guards against gateways that disagree on pools, and against work that grows with the fleet. */
final class PoolPlanTest {

    private static final String LOCAL = "dc-0";

    @Test
    void poolsOfTheOwnDataCentre_areAskedFirst() {
        PoolPlan plan = PoolPlan.of("gateway-1", LOCAL, targets(5, 4));
        assertThat(plan.preferred("model")).hasSize(5);
        assertThat(plan.preferred("model").getFirst().dataCentre()).isEqualTo(LOCAL);
        assertThat(plan.preferred("unknown")).isEmpty();
    }

    /** Guards against a target that belongs to no pool or to two. */
    @Test
    void everyTarget_belongsToOnePool_whichAllGatewaysCompute() {
        List<TargetInstance> targets = targets(7, 243);
        PoolPlan plan = PoolPlan.of("gateway-1", LOCAL, targets);
        assertThat(plan.pools().values().stream().mapToInt(List::size).sum())
                .isEqualTo(targets.size());
        assertThat(PoolPlan.of("gateway-2", "dc-6", targets).pools()).isEqualTo(plan.pools());
    }

    /** Guards against control traffic that grows with the fleet: 1,700 targets, 400 gateways. */
    @Test
    void atFullSize_poolsAndTheirUsersAreBounded() {
        List<TargetInstance> targets = targets(7, 243);
        Set<PoolId> used = new HashSet<>();
        int uses = 0;
        for (int gateway = 0; gateway < 400; gateway++) {
            PoolPlan plan = PoolPlan.of("gateway-" + gateway, "dc-" + gateway % 7, targets);
            assertThat(plan.preferred("model")).hasSize(PoolPlan.MAX_POOLS);
            used.addAll(plan.preferred("model"));
            uses += plan.preferred("model").size();
        }
        PoolPlan plan = PoolPlan.of("gateway-0", LOCAL, targets);
        assertThat(plan.pools().values())
                .allSatisfy(
                        pool ->
                                assertThat(pool)
                                        .hasSizeLessThanOrEqualTo(2 * PoolPlan.TARGETS_PER_POOL));
        assertThat(used).isEqualTo(plan.pools().keySet());
        assertThat(uses / used.size()).isLessThan(60);
    }

    @Test
    void coordinator_isInTheDataCentreOfThePoolAndNotSlow() {
        List<Candidate> members = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            members.add(new Candidate("10.0.0." + i, "dc-" + i % 4, i < 8 ? 0.27 : 1.5));
        }
        PoolId pool = new PoolId("model", "dc-1", 0);
        assertThat(CoordinatorRanking.rank(pool, members))
                .hasSize(CoordinatorRanking.MAX_CANDIDATES)
                .allSatisfy(
                        ip ->
                                assertThat(Set.of("10.0.0.9", "10.0.0.13", "10.0.0.17"))
                                        .contains(ip));
    }

    /** Guards against a pool that nobody coordinates because its data centre has no gateway. */
    @Test
    void poolWithoutAGatewayInItsDataCentre_hasACoordinatorElsewhere() {
        PoolId pool = new PoolId("model", "dc-9", 0);
        assertThat(CoordinatorRanking.rank(pool, List.of(new Candidate("10.0.0.1", "dc-1", 1))))
                .containsExactly("10.0.0.1");
    }

    private static List<TargetInstance> targets(int dataCentres, int each) {
        List<TargetInstance> targets = new ArrayList<>();
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            for (int i = 0; i < each; i++) {
                targets.add(
                        new TargetInstance(
                                "engine-" + dataCentre + "-" + i,
                                "model",
                                HostAndPort.fromParts("10.0.0.1", 80),
                                "dc-" + dataCentre,
                                7,
                                false,
                                0));
            }
        }
        return targets;
    }
}
