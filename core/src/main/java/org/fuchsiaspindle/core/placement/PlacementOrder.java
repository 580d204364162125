package org.fuchsiaspindle.core.placement;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An order to load or unload one model on one engine. Orders are idempotent: a repeated load or
 * unload has no effect.
 *
 * @param id the unique identifier of the order
 * @param agentId the instance identifier of the agent that executes the order
 * @param action the action to execute
 * @param model the model
 * @param version the version to load or unload
 * @param reason the reason, for the log and for operators
 */
public record PlacementOrder(
        String id, String agentId, Action action, String model, String version, String reason) {

    /** The action of an order. */
    public enum Action {
        LOAD,
        UNLOAD
    }

    /** Validates the components. */
    public PlacementOrder {
        checkNotNull(id, "id");
        checkNotNull(agentId, "agentId");
        checkNotNull(action, "action");
        checkNotNull(model, "model");
        checkNotNull(version, "version");
        checkNotNull(reason, "reason");
    }
}
