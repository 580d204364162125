package org.fuchsiaspindle.core.placement;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import org.fuchsiaspindle.core.id.Ids;

/**
 * The state of an engine as last reported by its agent. Immutable.
 *
 * @param agentId the instance identifier of its agent
 * @param dataCentre its data centre
 * @param readyVersions the versions of its ready models, by model name; empty if unknown
 * @param running the number of running streams
 * @param leaving true if the engine is shutting down and accepts no new requests
 */
public record EngineState(
        String agentId,
        String dataCentre,
        ImmutableMap<String, String> readyVersions,
        int running,
        boolean leaving) {

    /** Validates the components. */
    public EngineState {
        Ids.checkName("instance", agentId);
        Ids.checkName("data centre", dataCentre);
        checkNotNull(readyVersions, "readyVersions");
        checkArgument(running >= 0, "negative streams of %s: %s", agentId, running);
    }

    /** Returns true if any version of the model is ready. */
    public boolean hasReady(String model) {
        return readyVersions.containsKey(model);
    }

    /**
     * Returns true if this version of the model is ready. An engine that reports no version counts
     * as current, because otherwise its model would be reloaded forever.
     */
    public boolean hasReady(String model, String version) {
        String ready = readyVersions.get(model);
        return ready != null && (ready.isEmpty() || ready.equals(version));
    }
}
