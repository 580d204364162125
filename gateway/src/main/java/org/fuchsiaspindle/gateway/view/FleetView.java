package org.fuchsiaspindle.gateway.view;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.fuchsiaspindle.core.serving.ClientLimits;
import org.fuchsiaspindle.core.serving.ServingConfig;

/**
 * The configuration and the targets that a request is decided by; immutable.
 *
 * @param config the newest known configuration, empty before one was learnt
 * @param configDocument the document of the configuration as received, empty before
 * @param directory the known targets, not null
 */
public record FleetView(
        Optional<ServingConfig> config, byte[] configDocument, TargetDirectory directory) {

    /** The view of a process that knows nothing yet. */
    public static final FleetView INITIAL =
            new FleetView(Optional.empty(), new byte[0], TargetDirectory.EMPTY);

    /** Checks the arguments. */
    public FleetView {
        checkNotNull(config, "config");
        checkNotNull(configDocument, "configDocument");
        checkNotNull(directory, "directory");
    }

    /** Returns the version of the configuration, 0 if none is known. */
    public long configVersion() {
        return config.map(ServingConfig::version).orElse(0L);
    }

    /** Returns the limits for clients that are in force. */
    public ClientLimits limits() {
        return config.map(ServingConfig::limits).orElse(ClientLimits.INITIAL);
    }
}
