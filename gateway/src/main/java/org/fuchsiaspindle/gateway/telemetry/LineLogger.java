package org.fuchsiaspindle.gateway.telemetry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.PrintStream;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.time.Clock;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;

/**
 * Writes each event as one line with its time in UTC, its level and its message; an exception
 * follows on lines of its own. Thread-safe.
 */
final class LineLogger extends LegacyAbstractLogger {

    private static final long serialVersionUID = 1L;

    /** Width of the level, so that messages are aligned. */
    private static final int LEVEL_WIDTH = 5;

    /** Number of stack frames that are written per exception. */
    private static final int MAX_FRAMES = 8;

    private final Level threshold;
    private final transient Clock clock;
    private final transient PrintStream out;

    /**
     * Creates a logger.
     *
     * @param name its name, not null
     * @param threshold the lowest level that is written, not null
     * @param clock gives the time of the events, not null
     * @param out where lines are written, not null
     */
    LineLogger(String name, Level threshold, Clock clock, PrintStream out) {
        this.name = checkNotNull(name, "name");
        this.threshold = checkNotNull(threshold, "threshold");
        this.clock = checkNotNull(clock, "clock");
        this.out = checkNotNull(out, "out");
    }

    @Override
    public boolean isTraceEnabled() {
        return isEnabled(Level.TRACE);
    }

    @Override
    public boolean isDebugEnabled() {
        return isEnabled(Level.DEBUG);
    }

    @Override
    public boolean isInfoEnabled() {
        return isEnabled(Level.INFO);
    }

    @Override
    public boolean isWarnEnabled() {
        return isEnabled(Level.WARN);
    }

    @Override
    public boolean isErrorEnabled() {
        return isEnabled(Level.ERROR);
    }

    private boolean isEnabled(Level level) {
        return level.toInt() >= threshold.toInt();
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    @Override
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String message, Object[] arguments, Throwable failure) {
        StringBuilder text = new StringBuilder();
        appendTime(text, clock.wallTime().toEpochMilli());
        text.append(' ').append(level);
        text.repeat(' ', LEVEL_WIDTH - level.toString().length() + 1);
        text.append(MessageFormatter.basicArrayFormat(message, arguments)).append('\n');
        if (failure != null) {
            appendFailure(text, failure);
        }
        // One write for the whole event, so that events of several threads don't mix.
        synchronized (out) {
            out.append(text).flush();
        }
    }

    /** Appends a time such as {@code 2026-01-31T23:59:59.007Z}. */
    static void appendTime(StringBuilder text, long epochMillis) {
        long second = Math.floorDiv(epochMillis, TimeUnit.SECONDS.toMillis(1));
        int millis = Math.floorMod(epochMillis, (int) TimeUnit.SECONDS.toMillis(1));
        // A formatter would load the data of all locales.
        LocalDateTime time = LocalDateTime.ofEpochSecond(second, 0, ZoneOffset.UTC);
        appendPadded(text, time.getYear(), 4).append('-');
        appendPadded(text, time.getMonthValue(), 2).append('-');
        appendPadded(text, time.getDayOfMonth(), 2).append('T');
        appendPadded(text, time.getHour(), 2).append(':');
        appendPadded(text, time.getMinute(), 2).append(':');
        appendPadded(text, time.getSecond(), 2).append('.');
        appendPadded(text, millis, 3).append('Z');
    }

    private static StringBuilder appendPadded(StringBuilder text, int number, int digits) {
        String plain = Integer.toString(number);
        return text.repeat('0', Math.max(0, digits - plain.length())).append(plain);
    }

    private static void appendFailure(StringBuilder text, Throwable failure) {
        text.append(failure).append('\n');
        StackTraceElement[] frames = failure.getStackTrace();
        for (int i = 0; i < Math.min(frames.length, MAX_FRAMES); i++) {
            text.append("\tat ").append(frames[i]).append('\n');
        }
        Throwable cause = failure.getCause();
        if (cause != null && cause != failure) {
            appendFailure(text.append("caused by: "), cause);
        }
    }
}
