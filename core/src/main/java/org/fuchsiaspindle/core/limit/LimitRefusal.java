package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Why a request got no permit.
 *
 * @param cause the cause, not null
 * @param retryAfter the time after which another attempt is likely to get one, not null
 * @param granter the address of the granter that was asked last, a dash if there was none
 * @param share the part of the limit that the granter held, from 0 to 1
 * @param grantAge the age of the granter's answer, zero if there was none
 */
public record LimitRefusal(
        Cause cause, Duration retryAfter, String granter, double share, Duration grantAge) {

    /** The cause of a refusal. */
    public enum Cause {
        /** The requests of the workspace exceed its limit. */
        OVER_LIMIT,
        /** The granter holds only a part of the limit, because slices are moving to it. */
        SHARE_MISSING,
        /** No granter answered in time. */
        NO_ANSWER
    }

    /** Validates the components. */
    public LimitRefusal {
        checkNotNull(cause, "cause");
        checkNotNull(retryAfter, "retryAfter");
        checkNotNull(granter, "granter");
        checkNotNull(grantAge, "grantAge");
    }
}
