package org.fuchsiaspindle.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a gateway's log.
 *
 * @param process what stands before the time, as collectors of logs add it; empty if nothing does
 * @param time when the line was written
 * @param part the part of the gateway that wrote it, for example {@code online}
 * @param message the rest of the line
 */
record LogLine(String process, Instant time, String part, String message) {

    private static final Pattern FORMAT =
            Pattern.compile(
                    "(?<process>.*?)\\s*"
                            + "(?<time>\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}\\.\\d{3}\\S+)\\s+"
                            + "[A-Z]+\\s+(?<part>[a-z]+): (?<message>.*)");

    private static final Pattern BLANKS = Pattern.compile("\\s+");

    /** Checks the parts. */
    LogLine {
        checkNotNull(process, "process");
        checkNotNull(time, "time");
        checkNotNull(part, "part");
        checkNotNull(message, "message");
    }

    /** Returns the line, or empty if it is not one of a gateway. */
    static Optional<LogLine> parse(String line) {
        Matcher matcher = FORMAT.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        // Collectors may put a time of their own before the name of the process.
        String[] before = BLANKS.split(matcher.group("process").strip());
        return Optional.of(
                new LogLine(
                        before[before.length - 1],
                        OffsetDateTime.parse(matcher.group("time")).toInstant(),
                        matcher.group("part"),
                        matcher.group("message")));
    }

    /** Returns the value of a field, empty if the line does not have it. */
    Optional<String> field(String name) {
        Matcher matcher =
                Pattern.compile("(?:^|\\s)" + Pattern.quote(name) + "=(\\S*)").matcher(message);
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    /** Returns whether any field has a value. */
    boolean names(String value) {
        String asValue = "=" + value;
        int at = message.indexOf(asValue);
        while (at >= 0) {
            int end = at + asValue.length();
            if (end == message.length() || Character.isWhitespace(message.charAt(end))) {
                return true;
            }
            at = message.indexOf(asValue, end);
        }
        return false;
    }
}
