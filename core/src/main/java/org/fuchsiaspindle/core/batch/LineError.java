package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A line of an input file that is not a valid item.
 *
 * @param line number of the line, from 1
 * @param code name of the problem in snake case
 * @param message human-readable message, one sentence
 * @param param the field concerned, empty if none
 */
public record LineError(int line, String code, String message, String param) {

    /** Validates the components. */
    public LineError {
        checkNotNull(code, "code");
        checkNotNull(message, "message");
        checkNotNull(param, "param");
    }
}
