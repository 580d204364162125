package org.fuchsiaspindle.testbed.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.fuchsiaspindle.testbed.ledger.EngineRun;

/** Writes the tokens of a stream as server-sent events. */
final class EventWriter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private EventWriter() {}

    /**
     * Writes events until the stream ends. All tokens that are available at the same time are sent
     * in one chunk.
     *
     * @throws IOException if the connection breaks or the engine's process crashes
     */
    static void write(HttpServerExchange exchange, EngineStream stream) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream out = exchange.getOutputStream();
        List<EngineStream.Event> events = new ArrayList<>();
        while (true) {
            events.clear();
            events.add(take(stream));
            stream.events().drainTo(events);
            writeTokens(out, stream, events);
            if (events.getLast() instanceof EngineStream.Event.End end) {
                writeEnd(out, stream, end.state());
                return;
            }
        }
    }

    private static EngineStream.Event take(EngineStream stream) throws IOException {
        try {
            return stream.events().take();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while the engine was closing", e);
        }
    }

    private static void writeTokens(
            OutputStream out, EngineStream stream, List<EngineStream.Event> events)
            throws IOException {
        StringBuilder text = new StringBuilder();
        int count = 0;
        for (EngineStream.Event event : events) {
            if (event instanceof EngineStream.Event.Token token) {
                text.append(stream.request().output().token(token.index()));
                count++;
            }
        }
        if (count > 0) {
            send(out, chunk(stream, text.toString(), null).put("token_count", count));
            stream.run().addSent(count);
        }
    }

    private static void writeEnd(OutputStream out, EngineStream stream, EngineRun.State state)
            throws IOException {
        if (state == EngineRun.State.LOST) {
            throw new IOException("the engine's process crashed");
        }
        EngineRequest request = stream.request();
        String reason =
                state == EngineRun.State.COMPLETED ? request.output().finishReason() : "cancelled";
        ObjectNode last = chunk(stream, "", reason).put("token_count", 0);
        last.putObject("usage")
                .put("prompt_tokens", request.promptTokens())
                .put("completion_tokens", stream.nextToken())
                .put("cached_tokens", stream.cachedTokens());
        send(out, last);
        out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        out.close();
    }

    private static ObjectNode chunk(EngineStream stream, String text, String finishReason) {
        EngineRequest request = stream.request();
        ObjectNode root =
                JSON.createObjectNode()
                        .put("id", request.requestId())
                        .put("model", request.model());
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        return root;
    }

    private static void send(OutputStream out, ObjectNode chunk) throws IOException {
        out.write(("data: " + chunk + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
