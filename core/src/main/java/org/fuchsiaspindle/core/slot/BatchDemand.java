package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;

/**
 * The batch items of one gateway that wait for slots of a pool.
 *
 * @param waiting the number of waiting items, not negative
 * @param dueMillis the earliest ordered due time of a waiting item, see {@link
 *     org.fuchsiaspindle.core.serving.BatchDue}
 * @param received the batch slots that the gateway had received from the coordinator when it sent
 *     this demand, so that slots on their way are not granted twice; not null
 * @param avoided targets that the gateway does not want, not null
 * @param largestItemTokens the memory of a target that the largest waiting item can occupy, in
 *     tokens; 0 if unknown
 */
public record BatchDemand(
        int waiting,
        long dueMillis,
        ReceivedGrants received,
        ImmutableSet<String> avoided,
        int largestItemTokens) {

    /** The demand of a gateway without waiting items. */
    public static final BatchDemand NONE =
            new BatchDemand(0, 0, ReceivedGrants.NONE, ImmutableSet.of(), 0);

    /** Validates the components. */
    public BatchDemand {
        checkArgument(waiting >= 0, "negative number of waiting items: %s", waiting);
        checkNotNull(received, "received");
        checkNotNull(avoided, "avoided");
        checkArgument(largestItemTokens >= 0, "negative tokens: %s", largestItemTokens);
    }
}
