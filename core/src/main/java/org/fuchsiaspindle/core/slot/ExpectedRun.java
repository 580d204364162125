package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.fuchsiaspindle.core.work.RequestSize;

/**
 * What was expected of a run when its slot was granted.
 *
 * @param size what was known of the size of the request, not null
 * @param readTokens the tokens of the prompt that the target had to read
 * @param nanos how long it would take on this target, in nanoseconds; 0 if unknown
 * @param running how many other requests ran on the target
 * @param reservedTokens the memory of the target that it can occupy at most, in tokens; 0 if
 *     unknown
 */
record ExpectedRun(
        RequestSize size, int readTokens, double nanos, int running, int reservedTokens) {

    /** Returns a run of which only the memory is known, for example of a batch item. */
    static ExpectedRun ofTokens(int reservedTokens) {
        return new ExpectedRun(RequestSize.UNKNOWN, 0, 0, 0, reservedTokens);
    }

    /** Validates the components. */
    ExpectedRun {
        checkNotNull(size, "size");
        checkArgument(readTokens >= 0, "negative tokens: %s", readTokens);
        checkArgument(nanos >= 0, "negative duration: %s", nanos);
        checkArgument(running >= 0, "negative number of requests: %s", running);
        checkArgument(reservedTokens >= 0, "negative tokens: %s", reservedTokens);
    }
}
