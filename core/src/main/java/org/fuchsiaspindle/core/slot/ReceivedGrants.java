package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many batch slots a gateway has received in one exchange with a coordinator.
 *
 * @param exchange identifies the exchange among those of the gateway; {@link #NO_EXCHANGE} if the
 *     gateway runs an earlier version, which counts all grants of a coordinator
 * @param count the number of grants, not negative
 */
public record ReceivedGrants(long exchange, long count) {

    /** Stands for an exchange that never ends, as earlier versions have it. */
    public static final long NO_EXCHANGE = 0;

    /** Stands for a gateway of which nothing is known. */
    public static final ReceivedGrants NONE = new ReceivedGrants(NO_EXCHANGE, 0);

    /** Validates the components. */
    public ReceivedGrants {
        checkArgument(count >= 0, "negative number of grants: %s", count);
    }
}
