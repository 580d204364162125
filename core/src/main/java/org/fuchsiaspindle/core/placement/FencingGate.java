package org.fuchsiaspindle.core.placement;

import static com.google.common.base.Preconditions.checkArgument;

import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Rejects orders of former holders of the placement lease by their fencing numbers.
 *
 * <p>Not thread-safe. After a restart the gate knows no fencing number, so it rejects every order
 * until the epoch of the current lease has been read.
 */
public final class FencingGate {

    private long highest;
    private boolean known;

    private FencingGate() {}

    /** Creates a gate that rejects every order until {@link #recordLeaseEpoch} is called. */
    public static FencingGate create() {
        return new FencingGate();
    }

    /** Returns true once the current lease has been read. */
    public boolean isKnown() {
        return known;
    }

    /** Returns the highest fencing number seen, 0 if none. */
    public long highest() {
        return highest;
    }

    /**
     * Records the epoch of the placement lease as read from the table.
     *
     * @param epoch the epoch in the table, 0 if there is no lease yet
     */
    public void recordLeaseEpoch(long epoch) {
        checkArgument(epoch >= 0, "negative epoch: %s", epoch);
        known = true;
        highest = Math.max(highest, epoch);
    }

    /**
     * Checks the fencing number of an order and records it as the highest seen.
     *
     * @param number the fencing number, positive
     * @throws FuchsiaspindleException with {@code FENCE_UNKNOWN} before the lease was read, or
     *     {@code STALE_FENCING_NUMBER} if a higher number was seen
     */
    public void check(long number) {
        if (!known) {
            throw new FuchsiaspindleException(
                    ResultCode.FENCE_UNKNOWN, "the placement lease has not been read yet");
        }
        if (number < highest || number <= 0) {
            throw new FuchsiaspindleException(
                    ResultCode.STALE_FENCING_NUMBER,
                    "fencing number " + number + " is lower than " + highest);
        }
        highest = number;
    }
}
