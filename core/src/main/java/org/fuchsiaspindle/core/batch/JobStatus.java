package org.fuchsiaspindle.core.batch;

import java.util.Locale;

/** The states of a batch job as callers see them. */
public enum JobStatus {
    VALIDATING,
    IN_PROGRESS,
    /** The deadline has passed; the items without a result get error records. */
    FINALIZING,
    COMPLETED,
    FAILED,
    CANCELLING,
    CANCELLED,
    EXPIRED;

    /** Returns true if a job in this state has ended. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED || this == EXPIRED;
    }

    /** Returns true if items of the job may be sent to targets. */
    public boolean isDispatchable() {
        return this == IN_PROGRESS;
    }

    /** Returns true if the remaining items get error records and are not run. */
    public boolean isClosing() {
        return this == CANCELLING || this == FINALIZING;
    }

    /** Returns the lower-case name that callers see. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
