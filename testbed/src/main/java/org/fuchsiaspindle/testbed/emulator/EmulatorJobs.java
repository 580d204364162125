package org.fuchsiaspindle.testbed.emulator;

import java.util.Base64;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Creates batch job submissions for the emulated engines, and the expected results. */
public final class EmulatorJobs {

    private EmulatorJobs() {}

    /** Returns the identifier of an item; items are numbered from 0. */
    public static String itemId(String job, int item) {
        return job + "-" + item;
    }

    /** Returns a submission of items that each produce a number of events. */
    public static String submission(String job, int items, int events) {
        return submission(
                IntStream.range(0, items)
                        .mapToObj(
                                item -> item(itemId(job, item), "X-Events", String.valueOf(events)))
                        .toArray(String[]::new));
    }

    /** Returns a submission of the given items, as JSON. */
    public static String submission(String... items) {
        return "{\"items\":[" + String.join(",", items) + "]}";
    }

    /** Returns an item as JSON, with one header that selects the behaviour of the engine. */
    public static String item(String id, String header, String value) {
        return item(id, Map.of(header, value));
    }

    /** Returns an item as JSON. */
    public static String item(String id, Map<String, String> headers) {
        return item(id, headers, "aGFsbG8=");
    }

    /**
     * Returns a submission of items with a body of a number of bytes and an answer of one event.
     */
    public static String largeSubmission(String job, int items, int bodyBytes) {
        String body = Base64.getEncoder().encodeToString(new byte[bodyBytes]);
        return submission(
                IntStream.range(0, items)
                        .mapToObj(item -> item(itemId(job, item), Map.of("X-Events", "1"), body))
                        .toArray(String[]::new));
    }

    private static String item(String id, Map<String, String> headers, String body) {
        String headerFields =
                headers.entrySet().stream()
                        .map(header -> "\"" + header.getKey() + "\":\"" + header.getValue() + "\"")
                        .collect(Collectors.joining(","));
        return ("{\"id\":\"%s\",\"path\":\"/batch/x\",\"headers\":{%s},"
                        + "\"body\":\"%s\",\"tokens\":100}")
                .formatted(id, headerFields, body);
    }

    /** Returns the result text of an item that produces a number of events. */
    public static String expectedText(String itemId, int events) {
        return IntStream.rangeClosed(1, events)
                .mapToObj(event -> EngineEmulator.eventData(itemId, event))
                .collect(Collectors.joining("\n"));
    }
}
