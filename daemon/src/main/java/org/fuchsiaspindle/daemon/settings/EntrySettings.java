package org.fuchsiaspindle.daemon.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of an entry.
 *
 * @param process settings common to both roles
 * @param httpListen address for callers and operators
 * @param bootstrapOperatorKeySha256 digest of an operator key that is valid while the configuration
 *     holds no operator keys; empty for none
 * @param maxBodyBytes largest request body other than a file upload, in bytes
 * @param balancerDelay time between the end of readiness and the refusal of new requests during a
 *     planned stop
 */
public record EntrySettings(
        ProcessSettings process,
        InetSocketAddress httpListen,
        String bootstrapOperatorKeySha256,
        long maxBodyBytes,
        Duration balancerDelay) {

    /** Validates the components. */
    public EntrySettings {
        checkNotNull(process, "process");
        checkNotNull(httpListen, "httpListen");
        checkNotNull(bootstrapOperatorKeySha256, "bootstrapOperatorKeySha256");
        checkArgument(maxBodyBytes > 0, "body limit not positive: %s", maxBodyBytes);
        checkNotNull(balancerDelay, "balancerDelay");
    }
}
