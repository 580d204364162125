package org.fuchsiaspindle.testbed.emulator;

/** How an emulated engine answers the requests that it does not answer soundly. */
public enum AnswerHabit {
    /**
     * Writes an earlier answer of the same connection again, whole and with its identifier, before
     * or after its own answer, or between two copies of its own answer.
     */
    REPEATS_EARLIER,
    /** Fails a request with its identifier; a success with the same identifier follows late. */
    FAILS_THEN_SUCCEEDS,
    /** Fails a request without its identifier; a success with the identifier follows late. */
    FAILS_UNNAMED_THEN_SUCCEEDS,
    /** Fails a request without its identifier and writes nothing more. */
    FAILS_UNNAMED,
    /** Writes an earlier answer of the same connection again without a length, then its own. */
    REPEATS_UNFRAMED,
    /** Writes an earlier answer of the same connection, cut before its end, then its own. */
    REPEATS_TRUNCATED,
    /** Writes a refusal without an identifier some time after a complete success. */
    REFUSES_LATE,
    /** Answers a HEAD request twice; the second answer is a success, at times with a body. */
    ANSWERS_HEAD_TWICE,
    /** Answers a request before it reads its long body, which it reads later. */
    ANSWERS_BEFORE_BODY
}
