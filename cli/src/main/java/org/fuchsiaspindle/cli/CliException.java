package org.fuchsiaspindle.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Ends a command with an exit code and a message. */
final class CliException extends RuntimeException {

    private final int exitCode;
    private final transient ImmutableList<String> details;

    CliException(int exitCode, String message, List<String> details, Throwable cause) {
        super(checkNotNull(message, "message"), cause);
        this.exitCode = exitCode;
        this.details = ImmutableList.copyOf(details);
    }

    CliException(int exitCode, String message) {
        this(exitCode, message, List.of(), null);
    }

    int exitCode() {
        return exitCode;
    }

    /** Returns additional lines for the operator, printed below the message. */
    ImmutableList<String> details() {
        return details;
    }
}
