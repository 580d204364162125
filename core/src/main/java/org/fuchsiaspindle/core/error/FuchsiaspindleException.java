package org.fuchsiaspindle.core.error;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * Thrown if a request is refused or an operation fails; carries a numbered result code.
 *
 * <p>Subclasses exist only for failures that calling code handles differently.
 */
public class FuchsiaspindleException extends RuntimeException {

    private final ResultCode code;
    private final Executed executed;
    private final transient Optional<Duration> retryAfter;

    /**
     * Creates an exception with the code's default for {@code executed}.
     *
     * @param code the code, not null
     * @param message what happened, with the offending value; not null, free of secrets
     */
    public FuchsiaspindleException(ResultCode code, String message) {
        this(code, message, code.executed(), Optional.empty(), null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the code, not null
     * @param message what happened, not null
     * @param cause the cause, or null
     */
    public FuchsiaspindleException(ResultCode code, String message, Throwable cause) {
        this(code, message, code.executed(), Optional.empty(), cause);
    }

    /**
     * Creates an exception.
     *
     * @param code the code, not null
     * @param message what happened, not null
     * @param executed whether the request ran, not null
     * @param retryAfter time after which a retry may succeed, empty if unknown; not null
     * @param cause the cause, or null
     */
    public FuchsiaspindleException(
            ResultCode code,
            String message,
            Executed executed,
            Optional<Duration> retryAfter,
            Throwable cause) {
        super(checkNotNull(message, "message"), cause);
        this.code = checkNotNull(code, "code");
        this.executed = checkNotNull(executed, "executed");
        this.retryAfter = checkNotNull(retryAfter, "retryAfter");
    }

    /** Returns the code, never null. */
    public final ResultCode code() {
        return code;
    }

    /** Returns whether the refused request ran, never null. */
    public final Executed executed() {
        return executed;
    }

    /** Returns the time after which a retry may succeed, empty if unknown. */
    public final Optional<Duration> retryAfter() {
        return retryAfter == null ? Optional.empty() : retryAfter;
    }

    /**
     * Returns a copy of this exception with another value of {@link #executed}, caused by this one.
     */
    public final FuchsiaspindleException withExecuted(Executed value) {
        return new FuchsiaspindleException(code, getMessage(), value, retryAfter(), this);
    }
}
