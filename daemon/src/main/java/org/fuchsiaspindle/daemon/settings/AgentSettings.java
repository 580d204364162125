package org.fuchsiaspindle.daemon.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.URI;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;

/**
 * Settings of an agent.
 *
 * @param process settings common to both roles
 * @param targetUrl base URL of the agent's target
 * @param targetKind kind of the target
 * @param targetName the engine's or service's name
 */
public record AgentSettings(
        ProcessSettings process, URI targetUrl, TargetKind targetKind, String targetName) {

    /** Validates the components. */
    public AgentSettings {
        checkNotNull(process, "process");
        checkNotNull(targetUrl, "targetUrl");
        checkNotNull(targetKind, "targetKind");
        checkNotNull(targetName, "targetName");
    }
}
