package org.fuchsiaspindle.testbed.load;

/** Kinds of online calls, which differ in the outcomes that a fault may have. */
public enum CallKind {
    /** A streamed chat completion. */
    STREAMED_COMPLETION("streamed completion"),
    /** A service call that may be repeated. */
    REPEATABLE_CALL("repeatable call"),
    /** A service call that may not be repeated, with an {@code Idempotency-Key}. */
    KEYED_CALL("non-repeatable call with key"),
    /** A service call that may not be repeated, without a key. */
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
