package org.fuchsiaspindle.gateway.view;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.fuchsiaspindle.core.serving.ClientLimits;
import org.fuchsiaspindle.core.serving.ServingConfig;

/**
 * An immutable snapshot of the configuration and the targets, from which requests are routed.
 *
 * @param config the newest known configuration, empty until one is received
 * @param configDocument the configuration document that peers may receive, which contains no keys;
 *     empty until one is received
 * @param directory the known targets, not null
 */
public record FleetView(
        Optional<ServingConfig> config, byte[] configDocument, TargetDirectory directory) {

    /** The view of a process that has received neither a configuration nor targets. */
    public static final FleetView INITIAL =
            new FleetView(Optional.empty(), new byte[0], TargetDirectory.EMPTY);

    /** Validates the components. */
    public FleetView {
        checkNotNull(config, "config");
        checkNotNull(configDocument, "configDocument");
        checkNotNull(directory, "directory");
    }

    /** Returns the version of the configuration, 0 if none is known. */
    public long configVersion() {
        return config.map(ServingConfig::version).orElse(0L);
    }

    /** Returns the client limits in force, the defaults if no configuration is known. */
    public ClientLimits limits() {
        return config.map(ServingConfig::limits).orElse(ClientLimits.INITIAL);
    }
}
