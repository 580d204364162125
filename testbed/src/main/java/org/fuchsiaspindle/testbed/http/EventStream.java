package org.fuchsiaspindle.testbed.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Reads server-sent events with JSON data. */
public final class EventStream {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private EventStream() {}

    /**
     * Reads events until {@code [DONE]} or the end of the stream.
     *
     * @param in the body of a response, which is read to the end
     * @param events receives the data of each event
     * @return true if the stream ended with {@code [DONE]}, false if it was truncated
     * @throws IOException if the connection breaks
     */
    public static boolean read(InputStream in, Consumer<JsonNode> events) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        boolean done = false;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length()).strip();
            if (data.equals(DONE)) {
                done = true;
            } else {
                events.accept(JSON.readTree(data));
            }
        }
        return done;
    }
}
