package org.fuchsiaspindle.core.placement;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.fuchsiaspindle.core.config.ModelDefinition;

/**
 * The input of one planning round.
 *
 * @param models the configured models by name
 * @param engines the engines whose agents are connected
 * @param demandedCopies the number of copies that the current load requires, by model, not rounded
 * @param openOrders the issued orders that are neither completed nor abandoned
 * @param maxConcurrentLoads the largest number of concurrent model loads under the rate limit of
 *     the weight store
 * @param nowNanos the monotonic time
 */
public record PlacementInput(
        ImmutableMap<String, ModelDefinition> models,
        ImmutableList<EngineState> engines,
        ImmutableMap<String, Double> demandedCopies,
        ImmutableList<PlacementOrder> openOrders,
        int maxConcurrentLoads,
        long nowNanos) {

    /** Validates the components. */
    public PlacementInput {
        checkNotNull(models, "models");
        checkNotNull(engines, "engines");
        checkNotNull(demandedCopies, "demandedCopies");
        checkNotNull(openOrders, "openOrders");
        checkArgument(
                maxConcurrentLoads >= 1,
                "maximum of concurrent loads not positive: %s",
                maxConcurrentLoads);
    }
}
