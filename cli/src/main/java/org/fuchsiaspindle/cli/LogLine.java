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
 * @param process the name of the process, which log collectors prepend; empty if absent
 * @param time when the line was written
 * @param part the component of the gateway that wrote it, for example {@code online}
 * @param message the text after the colon, with its fields
 */
record LogLine(String process, Instant time, String part, String message) {

    private static final Pattern FORMAT =
            Pattern.compile(
                    "(?<process>.*?)\\s*"
                            + "(?<time>\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}\\.\\d{3}\\S+)\\s+"
                            + "[A-Z]+\\s+(?<part>[a-z]+): (?<message>.*)");

    private static final Pattern WHITESPACE = Pattern.compile("\\s+");

    /** Validates the components. */
    LogLine {
        checkNotNull(process, "process");
        checkNotNull(time, "time");
        checkNotNull(part, "part");
        checkNotNull(message, "message");
    }

    /** Parses a line, empty if it does not have the format of a gateway's log. */
    static Optional<LogLine> parse(String line) {
        Matcher matcher = FORMAT.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        // Log collectors may add a time of their own before the name of the process.
        String[] prefixes = WHITESPACE.split(matcher.group("process").strip());
        return Optional.of(
                new LogLine(
                        prefixes[prefixes.length - 1],
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

    /** Returns whether any field has the given value. */
    boolean mentions(String value) {
        return Pattern.compile("=" + Pattern.quote(value) + "(?:\\s|$)").matcher(message).find();
    }
}
