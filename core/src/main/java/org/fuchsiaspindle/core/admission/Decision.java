package org.fuchsiaspindle.core.admission;

import org.fuchsiaspindle.core.error.ResultCode;

/** An action that the agent must carry out for one online request or batch item. */
public sealed interface Decision {

    /** Returns the identifier of the request or item. */
    long id();

    /**
     * Sends a request or item to the target.
     *
     * @param id identifier of the request or item
     */
    record Start(long id) implements Decision {}

    /**
     * Cancels a running batch stream at the target and keeps its tokens; the item is queued again.
     *
     * @param id identifier of the request or item
     */
    record Preempt(long id) implements Decision {}

    /**
     * Refuses an online request that was not started.
     *
     * @param id identifier of the request or item
     * @param code the reason
     * @param retryAfterNanos estimated time after which a retry may succeed, 0 if unknown
     */
    record Refuse(long id, ResultCode code, long retryAfterNanos) implements Decision {}
}
