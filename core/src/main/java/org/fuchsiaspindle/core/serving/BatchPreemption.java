package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides how many batch items of this process are preempted at a target that has more requests
 * than slots.
 *
 * <p>Every process that runs batch items at the target computes the same division from the loads
 * that all processes report, so together they free exactly the missing slots without exchanging
 * further messages.
 */
public final class BatchPreemption {

    private BatchPreemption() {}

    /**
     * Returns how many of this process's batch items to preempt.
     *
     * @param slots the slots of the target, positive
     * @param load the load of the target, summed over all processes
     * @param ownBatch the batch items that this process runs there, not negative
     * @param batchOfEarlierPeers the batch items that run there for gateways whose items are
     *     preempted before those of this one
     */
    public static int itemsToPreempt(
            int slots, TargetLoad load, int ownBatch, int batchOfEarlierPeers) {
        checkArgument(slots > 0, "slots not positive: %s", slots);
        checkArgument(ownBatch >= 0, "negative batch items: %s", ownBatch);
        int excess = Math.max(0, load.total() - slots);
        return Math.min(ownBatch, Math.max(0, excess - batchOfEarlierPeers));
    }
}
