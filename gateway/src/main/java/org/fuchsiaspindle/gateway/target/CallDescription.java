package org.fuchsiaspindle.gateway.target;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * What is known of a call before it is sent.
 *
 * @param requestId the identifier that the response must carry, not null
 * @param isStream whether the response is a stream of events
 * @param stallLimit how long a stream may send no data while its target sends data of others; not
 *     null
 * @param promptParts the parts of its prompt that other requests may share, in order; not null
 * @param newConnection whether it must be the first request on its connection, so that also a
 *     response without an identifier can be attributed
 */
public record CallDescription(
        String requestId,
        boolean isStream,
        Duration stallLimit,
        ImmutableList<String> promptParts,
        boolean newConnection) {

    /** Validates the components. */
    public CallDescription {
        checkNotNull(requestId, "requestId");
        checkNotNull(stallLimit, "stallLimit");
        checkNotNull(promptParts, "promptParts");
    }
}
