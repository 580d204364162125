package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Staggers the gateways that compete for a free slot of a target with batch items.
 *
 * <p>A gateway learns of a request that another gateway starts only after some milliseconds. If all
 * gateways filled a free slot at once, most of the started items would be preempted before their
 * first token. Each gateway therefore waits a few milliseconds for every gateway whose waiting
 * items are due earlier.
 */
public final class SlotFillDelay {

    /**
     * Delay per gateway ahead; longer than the time after which the other gateways know of a
     * started request.
     */
    private static final Duration DELAY_PER_GATEWAY = Duration.ofMillis(9);

    private SlotFillDelay() {}

    /**
     * Returns how long a slot has to have been free before a gateway may fill it.
     *
     * @param ahead the gateways whose waiting items are due earlier, not negative
     */
    public static Duration forGatewaysAhead(int ahead) {
        checkArgument(ahead >= 0, "negative number of gateways: %s", ahead);
        return DELAY_PER_GATEWAY.multipliedBy(ahead);
    }
}
