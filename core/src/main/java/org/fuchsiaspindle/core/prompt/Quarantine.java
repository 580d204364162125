package org.fuchsiaspindle.core.prompt;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * A time for which requests with a prompt part are kept from all targets.
 *
 * @param part the part, not null
 * @param duration how long it lasts in all, positive
 * @param untilNanos when it ends, in monotonic nanoseconds
 */
public record Quarantine(PromptPart part, Duration duration, long untilNanos) {

    /** Validates the components. */
    public Quarantine {
        checkNotNull(part, "part");
        checkArgument(duration.isPositive(), "duration not positive: %s", duration);
    }

    /** Returns whether the quarantine is in force. */
    public boolean isActive(long now) {
        return untilNanos - now > 0;
    }
}
