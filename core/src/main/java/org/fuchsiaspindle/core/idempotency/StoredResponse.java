package org.fuchsiaspindle.core.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The response to a call, which is returned again if the call is resent.
 *
 * @param status HTTP status
 * @param headers headers in order
 * @param body the body; not copied, so callers must not modify it
 */
public record StoredResponse(int status, ImmutableList<Header> headers, byte[] body) {

    /** Validates the components. */
    public StoredResponse {
        checkNotNull(headers, "headers");
        checkNotNull(body, "body");
    }

    /**
     * One header.
     *
     * @param name the name
     * @param value the value
     */
    public record Header(String name, String value) {

        /** Validates the components. */
        public Header {
            checkNotNull(name, "name");
            checkNotNull(value, "value");
        }
    }
}
