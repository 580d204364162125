package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits on what a client may send and how long it may take.
 *
 * @param headerBytes the largest request head, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param headerTimeout how long a request head may take after its first byte
 * @param idleTimeout how long a connection may stay open without a request
 */
public record ClientLimits(
        int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits that apply until a configuration has been received. */
    public static final ClientLimits INITIAL =
            new ClientLimits(16 * 1024, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Validates the components. */
    public ClientLimits {
        checkArgument(headerBytes > 0, "header bytes not positive: %s", headerBytes);
        checkArgument(bodyBytes > 0, "body bytes not positive: %s", bodyBytes);
        checkArgument(headerTimeout.isPositive(), "header timeout not positive: %s", headerTimeout);
        checkArgument(idleTimeout.isPositive(), "idle timeout not positive: %s", idleTimeout);
    }
}
