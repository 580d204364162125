package org.fuchsiaspindle.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.fuchsiaspindle.core.config.ModelDefinition;
import org.fuchsiaspindle.core.placement.PlacementOrder.Action;
import org.junit.jupiter.api.Test;

/** Guards against unloading the last copy, oscillation and too many concurrent loads. */
final class PlacementPlannerTest {

    private static final ModelDefinition SMALL = new ModelDefinition("small", "v1", 1, 4);

    private final PlacementPlanner planner = PlacementPlanner.create(new Random(7));
    private long now;

    @Test
    void modelWithoutACopy_isLoadedAtOnce() {
        List<PlacementOrder> orders = plan(SMALL, 0.5, engine("a", "dc-1"), engine("b", "dc-2"));
        assertThat(orders).extracting(PlacementOrder::action).containsExactly(Action.LOAD);
    }

    @Test
    void sustainedDemand_isRequiredBeforeACopyIsAdded() {
        EngineState a = engine("a", "dc-1", "small", "v1");
        EngineState b = engine("b", "dc-2");
        assertThat(plan(SMALL, 1.5, a, b)).isEmpty();
        now += PlacementPlanner.ADD_DELAY.toNanos();
        assertThat(plan(SMALL, 1.5, a, b)).extracting(PlacementOrder::agentId).containsExactly("b");
    }

    @Test
    void shortDipOfDemand_removesNoCopy() {
        EngineState a = engine("a", "dc-1", "small", "v1");
        EngineState b = engine("b", "dc-2", "small", "v1");
        for (int i = 0; i < 100; i++) {
            now += PlacementPlanner.REMOVE_DELAY.toNanos() - 1;
            assertThat(plan(SMALL, 1.0, a, b)).isEmpty();
            assertThat(plan(SMALL, 2.0, a, b)).isEmpty();
        }
        plan(SMALL, 1.0, a, b);
        now += PlacementPlanner.REMOVE_DELAY.toNanos();
        assertThat(plan(SMALL, 1.0, a, b))
                .extracting(PlacementOrder::action)
                .containsExactly(Action.UNLOAD);
    }

    @Test
    void lastCopyOnAStayingEngine_isNeverUnloaded() {
        ModelDefinition unused = new ModelDefinition("small", "v1", 0, 4);
        EngineState leaving = new EngineState("a", "dc-1", ImmutableMap.of("small", "v1"), 0, true);
        EngineState staying = engine("b", "dc-2", "small", "v1");
        plan(unused, 0, leaving, staying);
        now += PlacementPlanner.REMOVE_DELAY.multipliedBy(10).toNanos();
        assertThat(plan(unused, 0, leaving, staying)).isEmpty();
    }

    @Test
    void newVersion_isReadyBeforeTheOldOneIsUnloaded() {
        ModelDefinition updated = new ModelDefinition("small", "v2", 1, 4);
        EngineState old = engine("a", "dc-1", "small", "v1");
        assertThat(plan(updated, 1, old, engine("b", "dc-2")))
                .extracting(PlacementOrder::agentId, PlacementOrder::action)
                .containsExactly(org.assertj.core.groups.Tuple.tuple("b", Action.LOAD));
        assertThat(plan(updated, 1, old, engine("b", "dc-2", "small", "v2")))
                .extracting(PlacementOrder::agentId, PlacementOrder::action)
                .containsExactly(org.assertj.core.groups.Tuple.tuple("a", Action.UNLOAD));
    }

    @Test
    void engineThatReportsNoVersion_isNotReloaded() {
        assertThat(plan(SMALL, 1, engine("a", "dc-1", "small", ""), engine("b", "dc-2"))).isEmpty();
    }

    @Test
    void concurrentLoads_doNotExceedTheLimitOfTheWeightStore() {
        ImmutableMap.Builder<String, ModelDefinition> models = ImmutableMap.builder();
        for (int i = 0; i < 10; i++) {
            models.put("m" + i, new ModelDefinition("m" + i, "v1", 1, 2));
        }
        PlacementInput input =
                new PlacementInput(
                        models.buildOrThrow(),
                        ImmutableList.of(engine("a", "dc-1"), engine("b", "dc-2")),
                        ImmutableMap.of(),
                        ImmutableList.of(
                                new PlacementOrder("o", "a", Action.LOAD, "other", "v1", "test")),
                        3,
                        now);
        assertThat(planner.plan(input)).hasSize(2);
    }

    /**
     * Applies the orders planned for random demand and checks that a model in use always has a
     * copy.
     */
    @Test
    void randomDemand_neverLeavesAUsedModelWithoutACopy() {
        Random random = new Random(11);
        List<EngineState> engines = new ArrayList<>();
        engines.add(engine("e0", "dc-0", "small", "v1"));
        for (int i = 1; i < 6; i++) {
            engines.add(engine("e" + i, "dc-" + i % 3));
        }
        for (int round = 0; round < 2_000; round++) {
            now += Duration.ofSeconds(random.nextInt(600)).toNanos();
            List<PlacementOrder> orders =
                    plan(SMALL, random.nextDouble() * 5, engines.toArray(EngineState[]::new));
            for (PlacementOrder order : orders) {
                engines.replaceAll(e -> e.agentId().equals(order.agentId()) ? apply(e, order) : e);
            }
            assertThat(engines).anyMatch(e -> e.hasReady("small"));
        }
    }

    private static EngineState apply(EngineState engine, PlacementOrder order) {
        return order.action() == Action.LOAD
                ? engine(engine.agentId(), engine.dataCentre(), order.model(), order.version())
                : engine(engine.agentId(), engine.dataCentre());
    }

    private List<PlacementOrder> plan(
            ModelDefinition model, double demand, EngineState... engines) {
        return planner.plan(
                new PlacementInput(
                        ImmutableMap.of(model.name(), model),
                        ImmutableList.copyOf(engines),
                        ImmutableMap.of(model.name(), demand),
                        ImmutableList.of(),
                        2,
                        now));
    }

    private static EngineState engine(String id, String dataCentre) {
        return new EngineState(id, dataCentre, ImmutableMap.of(), 0, false);
    }

    private static EngineState engine(String id, String dataCentre, String model, String version) {
        return new EngineState(id, dataCentre, ImmutableMap.of(model, version), 0, false);
    }
}
