package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.fuchsiaspindle.core.contract.KeyDigest;

/**
 * Settings of the whole fleet. Immutable.
 *
 * @param profile trade-off between online latency and batch throughput
 * @param interTokenTarget time between tokens that running streams must keep
 * @param operatorKeys digests of the operators' keys
 * @param maxConcurrentLoads model loads that may run concurrently under the weight store's rate
 *     limit
 */
public record FleetSettings(
        Profile profile,
        Duration interTokenTarget,
        ImmutableSet<KeyDigest> operatorKeys,
        int maxConcurrentLoads) {

    /** Settings before the first configuration change. */
    public static final FleetSettings DEFAULT =
            new FleetSettings(Profile.TAIL, Duration.ofMillis(59), ImmutableSet.of(), 2);

    /** Trade-off between online latency and batch throughput. */
    public enum Profile {
        /** Prefers online tail latency; the default. */
        TAIL,
        /** Prefers batch throughput; online requests still never wait behind batch items. */
        BATCH
    }

    /** Validates the components. */
    public FleetSettings {
        checkNotNull(profile, "profile");
        checkArgument(
                interTokenTarget.isPositive(),
                "inter-token target not positive: %s",
                interTokenTarget);
        checkNotNull(operatorKeys, "operatorKeys");
        checkArgument(
                maxConcurrentLoads >= 1, "concurrent loads not positive: %s", maxConcurrentLoads);
    }
}
