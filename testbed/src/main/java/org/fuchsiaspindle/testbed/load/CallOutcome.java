package org.fuchsiaspindle.testbed.load;

/** Outcome of a call as its caller saw it. */
public enum CallOutcome {
    /** The complete and expected response. */
    WHOLE("whole"),
    /** An error that states that the call was not executed. */
    NOT_EXECUTED("refused: not executed"),
    /** An error that states that the call may have been executed. */
    UNKNOWN("error: outcome unknown"),
    /** An error that states that the call was executed. */
    EXECUTED("error: executed"),
    /** The connection was closed before the response was complete. */
    CLOSED("connection closed"),
    /**
     * An unexpected response, or an error that does not state whether the call was executed; always
     * a defect.
     */
    WRONG("wrong");

    private final String title;

    CallOutcome(String title) {
        this.title = title;
    }

    /** Returns the display name. */
    public String title() {
        return title;
    }
}
