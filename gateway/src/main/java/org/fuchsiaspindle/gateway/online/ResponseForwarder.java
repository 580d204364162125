package org.fuchsiaspindle.gateway.online;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.OptionalLong;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.target.EventSplitter;
import org.fuchsiaspindle.platform.target.TargetResponse;

/**
 * Forwards the response of one target to the client.
 *
 * <p>Streams are forwarded event by event, so that another target can resume after the last event.
 * Small responses and failures are buffered until they are complete, so that an incomplete one can
 * be replaced by the response of another target. A failure that does not fit into the buffer is
 * malformed. Not thread-safe.
 */
final class ResponseForwarder {

    /** Larger responses are forwarded as they arrive. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private final ClientExchange exchange;
    private final TargetResponse response;
    private final boolean success;
    private final Runnable eventListener;
    private final EventSplitter eventSplitter;
    private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER;
    private boolean forwardingBody;
    private OptionalLong lastEvent;

    /**
     * Creates a forwarder.
     *
     * @param exchange the exchange with the client, not null
     * @param response the head of the response, not null
     * @param lastEvent the number of the last event that an earlier target sent to the client
     * @param eventListener called with each complete event of the response, not null
     */
    ResponseForwarder(
            ClientExchange exchange,
            TargetResponse response,
            OptionalLong lastEvent,
            Runnable eventListener) {
        this.exchange = checkNotNull(exchange, "exchange");
        this.response = checkNotNull(response, "response");
        this.lastEvent = checkNotNull(lastEvent, "lastEvent");
        this.eventListener = checkNotNull(eventListener, "eventListener");
        this.success = response.meaning() == TargetResponse.Meaning.SUCCESS;
        this.eventSplitter =
                success && response.isEventStream() ? EventSplitter.to(this::forward) : null;
        if (success && !response.isEventStream() && response.bodyLength() > MAX_BUFFERED_BYTES) {
            startResponse();
        } else if (eventSplitter == null) {
            bufferedBody = Unpooled.buffer();
        }
    }

    /** Returns the number of the last event that was sent to the client. */
    OptionalLong lastEvent() {
        return lastEvent;
    }

    /**
     * Adds a part of the body.
     *
     * @return false if the body is an event stream with an oversized event, or an oversized failure
     */
    boolean add(ByteBuf data) {
        if (eventSplitter != null) {
            return eventSplitter.add(data);
        }
        if (forwardingBody) {
            exchange.sendData(data.retain());
            return true;
        }
        if (!success && bufferedBody.readableBytes() + data.readableBytes() > MAX_BUFFERED_BYTES) {
            return false;
        }
        bufferedBody.writeBytes(data);
        if (success && bufferedBody.readableBytes() > MAX_BUFFERED_BYTES) {
            startResponse();
            exchange.sendData(bufferedBody);
        }
        return true;
    }

    /** Returns whether a stream has ended in the middle of an event. */
    boolean endsWithinEvent() {
        return eventSplitter != null && eventSplitter.hasPartialEvent();
    }

    /** Completes the response to the client. */
    void endResponse() {
        if (exchange.isResponseStarted()) {
            exchange.endResponse();
        } else {
            exchange.sendResponse(response, bufferedBody);
        }
    }

    private void startResponse() {
        forwardingBody = true;
        if (!exchange.isResponseStarted()) {
            exchange.startResponse(response);
        }
    }

    private void forward(EventSplitter.Event event) {
        eventListener.run();
        if (isDuplicate(event.id())) {
            event.bytes().release();
            return;
        }
        startResponse();
        if (event.id().isPresent()) {
            lastEvent = event.id();
        }
        exchange.sendData(event.bytes());
    }

    private boolean isDuplicate(OptionalLong id) {
        return id.isPresent() && lastEvent.isPresent() && id.getAsLong() <= lastEvent.getAsLong();
    }
}
