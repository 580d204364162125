package org.fuchsiaspindle.gateway.target;

/** Why a call to a target ended without a complete response. */
public enum CallFailure {
    /** No connection could be opened, so the request was not sent. */
    NOT_SENT,
    /** The connection was lost after the request was sent; the request may have been executed. */
    LOST,
    /** The target sent bytes that are not a valid response; the request may have been executed. */
    MALFORMED,
    /** The target sent a response that names no request; the request may have been executed. */
    UNATTRIBUTED,
    /**
     * The target sent a failure that names no request, on a connection that has carried no other
     * request, so this request has failed.
     */
    FAILURE_REPORTED
}
