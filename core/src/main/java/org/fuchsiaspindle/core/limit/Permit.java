package org.fuchsiaspindle.core.limit;

/**
 * The right to send one request of a workspace to a target.
 *
 * @param workspace the workspace, not null
 * @param granter the address of the gateway that granted it, not null
 * @param granterEpoch the epoch of that gateway
 * @param grantedNanos the time at which it was granted, on the clock of that gateway
 * @param validUntilNanos the time until which it must be used, on the clock of this gateway
 */
public record Permit(
        String workspace,
        String granter,
        long granterEpoch,
        long grantedNanos,
        long validUntilNanos) {}
