package org.fuchsiaspindle.core.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.config.ModelDefinition;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.placement.PlacementOrder.Action;

/**
 * Plans incremental placement changes from demand, the configured models and the observed state.
 *
 * <p>Each round compares the desired with the ready number of copies of each model and changes at
 * most one engine per model. Copies are added quickly and removed slowly, because unloading a model
 * too early costs another load from the rate-limited weight store. Not thread-safe; one round takes
 * O(models x engines).
 */
public final class PlacementPlanner {

    /** Time for which demand must exceed the ready copies before one is added. */
    public static final Duration ADD_DELAY = Duration.ofSeconds(5);

    /** Time for which demand must stay below the ready copies before one is removed. */
    public static final Duration REMOVE_DELAY = Duration.ofMinutes(5);

    private final RandomGenerator random;
    private final Map<String, Long> aboveSince = new HashMap<>();
    private final Map<String, Long> belowSince = new HashMap<>();

    private PlacementPlanner(RandomGenerator random) {
        this.random = random;
    }

    /** Creates a planner. The random source generates order identifiers. */
    public static PlacementPlanner create(RandomGenerator random) {
        return new PlacementPlanner(checkNotNull(random, "random"));
    }

    /**
     * Returns the orders to issue now, at most one per model.
     *
     * @param input the models, the engines, the demand and the open orders, not null
     */
    public ImmutableList<PlacementOrder> plan(PlacementInput input) {
        List<PlacementOrder> orders = new ArrayList<>();
        long loads = countLoads(input.openOrders());
        for (ModelDefinition model : input.models().values()) {
            if (hasOpenOrder(input, model.name())) {
                continue;
            }
            Optional<PlacementOrder> order = nextOrder(input, model, orders);
            if (order.isEmpty()) {
                continue;
            }
            if (order.get().action() == Action.LOAD) {
                if (loads == input.maxConcurrentLoads()) {
                    continue;
                }
                loads++;
            }
            orders.add(order.get());
        }
        return ImmutableList.copyOf(orders);
    }

    private Optional<PlacementOrder> nextOrder(
            PlacementInput input, ModelDefinition model, List<PlacementOrder> planned) {
        int ready = readyCopies(input, model.name());
        int desired = desiredCopies(input, model);
        boolean above = hasHeldFor(aboveSince, model.name(), ready < desired, input, ADD_DELAY);
        boolean below = hasHeldFor(belowSince, model.name(), ready > desired, input, REMOVE_DELAY);
        if (ready < Math.max(1, model.minCopies()) && desired > 0) {
            return load(input, model, planned, "below_minimum");
        }
        if (above) {
            return load(input, model, planned, "demand");
        }
        Optional<PlacementOrder> nextVersionOrder =
                nextVersionOrder(input, model, planned, desired);
        if (nextVersionOrder.isPresent()) {
            return nextVersionOrder;
        }
        if (below) {
            belowSince.remove(model.name());
            return unload(input, model, "idle");
        }
        return Optional.empty();
    }

    /**
     * Returns the next order of a rolling update to the configured version, which loads a new copy
     * before it unloads an old one.
     */
    private Optional<PlacementOrder> nextVersionOrder(
            PlacementInput input,
            ModelDefinition model,
            List<PlacementOrder> planned,
            int desired) {
        List<EngineState> outdated =
                input.engines().stream()
                        .filter(engine -> engine.hasReady(model.name()))
                        .filter(engine -> !engine.hasReady(model.name(), model.version()))
                        .toList();
        if (outdated.isEmpty()) {
            return Optional.empty();
        }
        long current =
                input.engines().stream()
                        .filter(engine -> engine.hasReady(model.name(), model.version()))
                        .count();
        if (current >= desired) {
            EngineState engine = outdated.getFirst();
            String version = engine.readyVersions().get(model.name());
            return Optional.of(order(engine, Action.UNLOAD, model.name(), version, "old_version"));
        }
        boolean singleCopy = outdated.size() == 1 && current == 0;
        Optional<PlacementOrder> loadElsewhere = load(input, model, planned, "new_version");
        if (loadElsewhere.isPresent() || singleCopy) {
            return loadElsewhere;
        }
        return Optional.of(
                order(
                        outdated.getFirst(),
                        Action.LOAD,
                        model.name(),
                        model.version(),
                        "new_version"));
    }

    private Optional<PlacementOrder> load(
            PlacementInput input,
            ModelDefinition model,
            List<PlacementOrder> planned,
            String reason) {
        Map<String, Long> copiesByDataCentre = new HashMap<>();
        for (EngineState engine : input.engines()) {
            if (engine.hasReady(model.name())) {
                copiesByDataCentre.merge(engine.dataCentre(), 1L, Long::sum);
            }
        }
        return input.engines().stream()
                .filter(engine -> !engine.leaving())
                .filter(engine -> !engine.hasReady(model.name()))
                .min(
                        Comparator.<EngineState>comparingLong(
                                        e -> copiesByDataCentre.getOrDefault(e.dataCentre(), 0L))
                                .thenComparingLong(
                                        e -> e.readyVersions().size() + countPlannedOn(planned, e))
                                .thenComparingInt(EngineState::running)
                                .thenComparing(EngineState::agentId))
                .map(e -> order(e, Action.LOAD, model.name(), model.version(), reason));
    }

    private Optional<PlacementOrder> unload(
            PlacementInput input, ModelDefinition model, String reason) {
        List<EngineState> ready =
                input.engines().stream().filter(engine -> engine.hasReady(model.name())).toList();
        // A copy on a leaving engine is about to disappear, so it does not count.
        long stayingCopies = ready.stream().filter(engine -> !engine.leaving()).count();
        if (stayingCopies <= 1) {
            return Optional.empty();
        }
        return ready.stream()
                .filter(engine -> !engine.leaving())
                .min(
                        Comparator.comparingInt(EngineState::running)
                                .thenComparing(EngineState::agentId))
                .map(
                        engine ->
                                order(
                                        engine,
                                        Action.UNLOAD,
                                        model.name(),
                                        engine.readyVersions().get(model.name()),
                                        reason));
    }

    private PlacementOrder order(
            EngineState engine, Action action, String model, String version, String reason) {
        return new PlacementOrder(
                Ids.create("order-", random), engine.agentId(), action, model, version, reason);
    }

    private static boolean hasHeldFor(
            Map<String, Long> since,
            String model,
            boolean condition,
            PlacementInput input,
            Duration delay) {
        if (!condition) {
            since.remove(model);
            return false;
        }
        long heldSince = since.computeIfAbsent(model, name -> input.nowNanos());
        return input.nowNanos() - heldSince >= delay.toNanos();
    }

    private static int desiredCopies(PlacementInput input, ModelDefinition model) {
        double demand = input.demandedCopies().getOrDefault(model.name(), 0.0);
        int copies = (int) Math.ceil(demand);
        return Math.clamp(copies, model.minCopies(), model.maxCopies());
    }

    private static int readyCopies(PlacementInput input, String model) {
        return Math.toIntExact(
                input.engines().stream()
                        .filter(engine -> !engine.leaving())
                        .filter(engine -> engine.hasReady(model))
                        .count());
    }

    private static boolean hasOpenOrder(PlacementInput input, String model) {
        return input.openOrders().stream().anyMatch(order -> order.model().equals(model));
    }

    private static long countLoads(List<PlacementOrder> orders) {
        return orders.stream().filter(order -> order.action() == Action.LOAD).count();
    }

    private static long countPlannedOn(List<PlacementOrder> planned, EngineState engine) {
        return planned.stream().filter(o -> o.agentId().equals(engine.agentId())).count();
    }
}
