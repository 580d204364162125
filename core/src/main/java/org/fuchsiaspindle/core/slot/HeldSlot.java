package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A slot that a gateway holds, as it reports it to a new coordinator.
 *
 * @param ticket the ticket under which the slot was granted
 * @param target the target, not null
 * @param trafficClass what runs there, not null
 * @param dueMillis the ordered due time of a batch item, 0 for an online request
 * @param reservedTokens the memory of the target that is reserved for it, in tokens; 0 if unknown
 */
public record HeldSlot(
        long ticket, String target, TrafficClass trafficClass, long dueMillis, int reservedTokens) {

    /** Validates the components. */
    public HeldSlot {
        checkArgument(reservedTokens >= 0, "negative tokens: %s", reservedTokens);
        checkNotNull(target, "target");
        checkNotNull(trafficClass, "trafficClass");
    }
}
