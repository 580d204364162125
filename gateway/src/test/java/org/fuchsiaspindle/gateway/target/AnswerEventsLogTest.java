package org.fuchsiaspindle.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against log lines that a faulty target breaks or forges. */
final class AnswerEventsLogTest {

    /** Guards against identifiers that start a new line or add a field of their own. */
    @Test
    void identifierOfATarget_isOneBoundedField() {
        assertThat(AnswerEvents.loggable("8107cb479f3f7606")).isEqualTo("8107cb479f3f7606");
        assertThat(AnswerEvents.loggable("a\r\nb c\t\u0000\u00e9\u2028")).isEqualTo("a??b?c????");
        assertThat(AnswerEvents.loggable("x".repeat(1000))).isEqualTo("x".repeat(64));
    }
}
