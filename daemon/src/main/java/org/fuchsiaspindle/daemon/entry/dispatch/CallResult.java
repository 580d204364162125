package org.fuchsiaspindle.daemon.entry.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import org.fuchsiaspindle.wire.proto.Finished;
import org.fuchsiaspindle.wire.proto.Usage;

/**
 * The result of a request that ran to completion.
 *
 * @param finished the last attempt's final message
 * @param usage token counts over all attempts
 * @param attempts number of attempts made
 */
public record CallResult(Finished finished, Usage usage, int attempts) {

    /** Validates the components. */
    public CallResult {
        checkNotNull(finished, "finished");
        checkNotNull(usage, "usage");
    }
}
