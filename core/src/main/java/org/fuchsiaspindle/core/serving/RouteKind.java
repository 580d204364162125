package org.fuchsiaspindle.core.serving;

/**
 * The kind of the requests of a route, which also determines whether they may run more than once.
 */
public enum RouteKind {
    /** A plain request that is idempotent. */
    IDEMPOTENT,
    /** A plain request that runs at most once for each client attempt. */
    AT_MOST_ONCE,
    /** A request that is answered with a stream of events. */
    STREAM,
    /** A submission of a batch job. */
    BATCH
}
