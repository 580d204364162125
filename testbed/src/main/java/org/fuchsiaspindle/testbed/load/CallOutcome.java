package org.fuchsiaspindle.testbed.load;

/** Outcome of a call as observed by its caller. */
public enum CallOutcome {
    /** The call returned the expected response completely. */
    WHOLE("whole"),
    /** The call returned an error that states that it was not executed. */
    NOT_EXECUTED("refused: not executed"),
    /** The call returned an error that states that it may have been executed. */
    UNKNOWN("error: outcome unknown"),
    /** The call returned an error that states that it was executed. */
    EXECUTED("error: executed"),
    /** The connection was closed before the response was complete. */
    CLOSED("connection closed"),
    /**
     * The call returned an unexpected response, or an error that does not state whether it was
     * executed. Always a defect.
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
