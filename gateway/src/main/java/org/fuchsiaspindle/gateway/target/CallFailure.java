package org.fuchsiaspindle.gateway.target;

/** Why a call to a target ended without a complete response. */
public enum CallFailure {
    /** No connection could be opened, so the request was not sent. */
    NOT_SENT,
    /** The connection was lost after the request was sent; the request may have been executed. */
    LOST,
    /** The target sent bytes that are not a valid response; the request may have been executed. */
    MALFORMED
}
