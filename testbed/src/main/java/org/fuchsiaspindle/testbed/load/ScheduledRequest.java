package org.fuchsiaspindle.testbed.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One request of an open-loop schedule.
 *
 * @param dueNanos due time in nanoseconds since the start of the load
 * @param prompt the prompt
 * @param maxTokens maximum number of output tokens
 * @param inBurst whether the request is part of a burst
 */
public record ScheduledRequest(long dueNanos, String prompt, int maxTokens, boolean inBurst) {

    /** Validates the components. */
    public ScheduledRequest {
        checkArgument(dueNanos >= 0, "negative due time: %s", dueNanos);
        checkNotNull(prompt, "prompt");
    }
}
