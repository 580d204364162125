package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Decides when a gateway fills a slot that became free, while several have batch items waiting.
 *
 * <p>Gateways learn of each other's calls some milliseconds late. If all of them filled a free slot
 * at once, most of their items would be stopped again before their first token. So each waits a few
 * milliseconds for every gateway whose waiting items are due earlier.
 */
public final class SlotTurn {

    /** Longer than the time in which a started call becomes known to the other gateways. */
    private static final Duration STEP = Duration.ofMillis(9);

    private SlotTurn() {}

    /**
     * Returns how long a slot has to be free before a gateway may fill it.
     *
     * @param ahead the gateways whose waiting items are due earlier, not negative
     */
    public static Duration delay(int ahead) {
        checkArgument(ahead >= 0, "negative number of gateways: %s", ahead);
        return STEP.multipliedBy(ahead);
    }
}
