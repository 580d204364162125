package org.fuchsiaspindle.daemon.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.agent.target.EventStreamParser;
import org.fuchsiaspindle.daemon.agent.target.ResponseListener;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.agent.target.TargetExchange;
import org.fuchsiaspindle.daemon.agent.target.TargetRequest;
import org.fuchsiaspindle.wire.proto.Header;
import org.fuchsiaspindle.wire.proto.Usage;

/**
 * One execution of a unit of work at the target.
 *
 * <p>The response is parsed on the client's I/O thread; its events are passed to the agent's event
 * loop.
 */
final class TargetRun implements ResponseListener {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    /** A response is sent to the entry in one message, so it must fit into a frame. */
    private static final int MAX_BODY_BYTES = 7 * 1024 * 1024;

    /** Whether the target may have received the request. */
    enum SendState {
        NOT_SENT,
        SENT,
        ABORTED
    }

    /** Receives the events of runs on the agent's event loop, except where noted. */
    interface Events {

        /** Called on the I/O thread just before the request is written. */
        void onSending(TargetRun run);

        void onTokens(TargetRun run, String text, int count);

        void onFinished(TargetRun run, String reason, Usage usage);

        void onResponse(TargetRun run, int status, ImmutableList<Header> headers, ByteString body);

        void onLost(TargetRun run, boolean sent, String reason);
    }

    private final Work work;
    private final String requestId;
    private final boolean engine;
    private final Events events;
    private final AgentLoop loop;
    private final Clock clock;
    private final long sendDeadlineNanos;
    private final AtomicReference<SendState> sending = new AtomicReference<>(SendState.NOT_SENT);
    private final EventStreamParser parser = new EventStreamParser(this::parseEvent);
    private final ByteString.Output body = ByteString.newOutput();
    private TargetExchange exchange;
    private int status;
    private ImmutableList<Header> headers = ImmutableList.of();
    private String finishReason;
    private Usage usage = Usage.getDefaultInstance();
    private boolean done;
    private volatile long lastEventNanos;
    private volatile boolean tokenReceived;
    private boolean paused;

    private TargetRun(
            Work work,
            String requestId,
            boolean engine,
            Events events,
            AgentLoop loop,
            Clock clock,
            long sendDeadlineNanos) {
        this.work = work;
        this.requestId = requestId;
        this.engine = engine;
        this.events = events;
        this.loop = loop;
        this.clock = clock;
        this.sendDeadlineNanos = sendDeadlineNanos;
        this.lastEventNanos = clock.nanoTime();
    }

    /** Sends a request; called on the event loop. */
    static TargetRun send(
            TargetClient client,
            TargetRequest request,
            Work work,
            String requestId,
            boolean engine,
            Events events,
            AgentLoop loop,
            Clock clock,
            long sendDeadlineNanos) {
        TargetRun run =
                new TargetRun(work, requestId, engine, events, loop, clock, sendDeadlineNanos);
        run.exchange = client.send(request, run);
        return run;
    }

    Work work() {
        return work;
    }

    String requestId() {
        return requestId;
    }

    /** Returns true if the target streams tokens for this run. */
    boolean isEngine() {
        return engine;
    }

    /** Returns the monotonic time of the last event of the exchange. */
    long lastEventNanos() {
        return lastEventNanos;
    }

    boolean hasToken() {
        return tokenReceived;
    }

    /**
     * Ends the run; the I/O thread passes on none of its events afterwards.
     *
     * @return true if the target may have received the request
     */
    boolean abort() {
        boolean sent = !sending.compareAndSet(SendState.NOT_SENT, SendState.ABORTED);
        exchange.abort();
        return sent;
    }

    void pause() {
        paused = true;
        exchange.pause();
    }

    void resume() {
        lastEventNanos = clock.nanoTime();
        paused = false;
        exchange.resume();
    }

    /** Returns true while reading is paused because the entry is slow. */
    boolean isPaused() {
        return paused;
    }

    @Override
    public boolean onSending() {
        lastEventNanos = clock.nanoTime();
        if (lastEventNanos - sendDeadlineNanos > 0) {
            if (sending.compareAndSet(SendState.NOT_SENT, SendState.ABORTED)) {
                loop.execute(
                        () ->
                                events.onLost(
                                        this, false, "request not sent within the send timeout"));
            }
            return false;
        }
        if (!sending.compareAndSet(SendState.NOT_SENT, SendState.SENT)) {
            return false;
        }
        events.onSending(this);
        return true;
    }

    @Override
    public void onHead(int responseStatus, ImmutableList<Header> responseHeaders) {
        lastEventNanos = clock.nanoTime();
        status = responseStatus;
        headers = responseHeaders;
    }

    @Override
    public void onBody(ByteBuffer data) throws IOException {
        lastEventNanos = clock.nanoTime();
        if (engine && status == OK) {
            try {
                parser.feed(data);
            } catch (UncheckedIOException e) {
                throw e.getCause();
            }
        } else if (body.size() + data.remaining() > MAX_BODY_BYTES) {
            throw new IOException("response larger than " + MAX_BODY_BYTES + " bytes");
        } else {
            body.write(data.array(), data.arrayOffset() + data.position(), data.remaining());
        }
    }

    @Override
    public void onEnd() {
        if (engine && status == OK) {
            if (finishReason == null) {
                fail("the stream ended without a finish reason");
            } else {
                String reason = finishReason;
                Usage total = usage;
                end(() -> events.onFinished(this, reason, total));
            }
        } else {
            ByteString bytes = body.toByteString();
            end(() -> events.onResponse(this, status, headers, bytes));
        }
    }

    @Override
    public void onFailure(IOException cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    private void fail(String reason) {
        boolean sent = sending.get() == SendState.SENT;
        end(() -> events.onLost(this, sent, reason));
    }

    private void end(Runnable event) {
        if (!done) {
            done = true;
            loop.execute(event);
        }
    }

    private void parseEvent(String data) {
        if (data.equals("[DONE]") || done) {
            return;
        }
        try {
            JsonNode event = JSON.readTree(data);
            JsonNode choice = event.path("choices").path(0);
            String text =
                    choice.has("text")
                            ? choice.path("text").asText("")
                            : choice.path("delta").path("content").asText("");
            int count = event.path("token_count").asInt(text.isEmpty() ? 0 : 1);
            if (!text.isEmpty() || count > 0) {
                tokenReceived = true;
                loop.execute(() -> events.onTokens(this, text, count));
            }
            String reason = choice.path("finish_reason").asText("");
            if (!reason.isEmpty() && !reason.equals("null")) {
                finishReason = reason;
            }
            if (event.path("usage").isObject()) {
                usage = usageOf(event.path("usage"));
            }
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("malformed event", e);
        }
    }

    private static Usage usageOf(JsonNode node) {
        return Usage.newBuilder()
                .setPromptTokens(node.path("prompt_tokens").asInt())
                .setCompletionTokens(node.path("completion_tokens").asInt())
                .setCachedTokens(node.path("cached_tokens").asInt())
                .build();
    }
}
