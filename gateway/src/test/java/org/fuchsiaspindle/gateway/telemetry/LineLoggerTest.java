package org.fuchsiaspindle.gateway.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.fuchsiaspindle.core.time.Clock;
import org.junit.jupiter.api.Test;
import org.slf4j.event.Level;

/** Guards against log lines that the tools that read the log of a gateway cannot parse. */
class LineLoggerTest {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final LineLogger logger =
            new LineLogger(
                    "a",
                    Level.INFO,
                    Clock.system(),
                    new PrintStream(bytes, false, StandardCharsets.UTF_8));

    /** Guards against a time of variable width, which the pattern of the log reader rejects. */
    @Test
    void timeHasFixedWidth() {
        StringBuilder text = new StringBuilder();
        LineLogger.appendTime(text, 1_000_000_000_007L);
        assertThat(text.toString()).isEqualTo("2001-09-09T01:46:40.007Z");
    }

    /** Guards against unfilled placeholders and against lines below the threshold. */
    @Test
    void writesOneLinePerEventFromItsThreshold() {
        logger.debug("hidden");
        logger.info("part: number={} text={}", 7, "seven");
        logger.warn("part: second");
        assertThat(bytes.toString(StandardCharsets.UTF_8).lines())
                .satisfiesExactly(
                        line -> assertThat(line).matches("\\S+Z INFO  part: number=7 text=seven"),
                        line -> assertThat(line).matches("\\S+Z WARN  part: second"));
    }

    /** Guards against exceptions that are dropped, with or without a cause. */
    @Test
    void writesExceptionWithItsCause() {
        logger.error("part: failed", new IllegalStateException("outer", new Exception("inner")));
        assertThat(bytes.toString(StandardCharsets.UTF_8))
                .contains("part: failed\njava.lang.IllegalStateException: outer\n\tat ")
                .contains("caused by: java.lang.Exception: inner\n\tat ");
    }
}
