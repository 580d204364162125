package org.fuchsiaspindle.testbed.load;

/** Kinds of online calls; the outcomes that a fault may cause depend on the kind. */
public enum CallKind {
    /** A streamed chat completion. */
    STREAMED_COMPLETION("streamed completion"),
    /** A service call that may be executed more than once. */
    REPEATABLE_CALL("repeatable call"),
    /** A service call that must not be executed more than once, with an {@code Idempotency-Key}. */
    KEYED_CALL("non-repeatable call with key"),
    /** A service call that must not be executed more than once, without a key. */
    UNKEYED_CALL("non-repeatable call without key");

    private final String title;

    CallKind(String title) {
        this.title = title;
    }

    /** Returns the display name. */
    public String title() {
        return title;
    }

    /** Returns true if a call may run at most once. */
    public boolean isAtMostOnce() {
        return this == KEYED_CALL || this == UNKEYED_CALL;
    }
}
