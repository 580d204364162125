package org.fuchsiaspindle.core.work;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * A run that ended, as far as it shows how much work requests are.
 *
 * @param size what was known of its size before, not null
 * @param complete whether it ended with a complete response
 * @param events the number of events received, 0 for a response that is no stream
 * @param timeToFirstEvent the time from sending the request to the first event, empty if there was
 *     none
 * @param timeHeld the time from sending the request to the end, zero if unknown
 * @param readTokens the tokens of the prompt that the target was expected to read
 * @param running how many other requests ran on the target meanwhile, on average
 */
public record CompletedRun(
        RequestSize size,
        boolean complete,
        int events,
        Optional<Duration> timeToFirstEvent,
        Duration timeHeld,
        int readTokens,
        double running) {

    /** Validates the components. */
    public CompletedRun {
        checkNotNull(size, "size");
        checkArgument(events >= 0, "negative events: %s", events);
        checkNotNull(timeToFirstEvent, "timeToFirstEvent");
        checkNotNull(timeHeld, "timeHeld");
        checkArgument(readTokens >= 0, "negative tokens: %s", readTokens);
        checkArgument(running >= 0, "negative number of requests: %s", running);
    }
}
