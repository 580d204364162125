package org.fuchsiaspindle.daemon.agent.target;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into the data of its events.
 *
 * <p>Not thread-safe. Input may be split between calls at any byte, even within a character.
 */
public final class EventStreamParser {

    private static final int MAX_EVENT_BYTES = 1024 * 1024;
    private static final String DATA_FIELD = "data:";

    private final Consumer<String> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();

    /**
     * Creates a parser.
     *
     * @param events receives the data of each event, not null
     */
    public EventStreamParser(Consumer<String> events) {
        this.events = checkNotNull(events, "events");
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @param bytes the bytes; all are consumed
     * @throws IOException if an event is larger than 1 MiB
     */
    public void feed(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                endLine();
            } else {
                if (line.size() + data.length() >= MAX_EVENT_BYTES) {
                    throw new IOException("event larger than " + MAX_EVENT_BYTES + " bytes");
                }
                line.write(next);
            }
        }
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.isEmpty()) {
            if (!data.isEmpty()) {
                String event = data.toString();
                data.setLength(0);
                events.accept(event);
            }
        } else if (text.startsWith(DATA_FIELD)) {
            if (!data.isEmpty()) {
                data.append('\n');
            }
            data.append(text.substring(DATA_FIELD.length()).strip());
        }
    }
}
