package org.fuchsiaspindle.gateway.target;

/** Why a call to a target ended without a complete answer. */
public enum CallFailure {
    /** No connection could be opened, so the request was not sent. */
    NOT_SENT,
    /** The connection was lost after the request was sent; the request may have run. */
    LOST,
    /** The target sent bytes that are not an answer; the request may have run. */
    MALFORMED
}
