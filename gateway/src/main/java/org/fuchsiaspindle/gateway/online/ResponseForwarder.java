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
 * be replaced by the response of another target. Not thread-safe.
 */
final class ResponseForwarder {

    /** Larger responses are forwarded as they arrive. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private final ClientExchange exchange;
    private final TargetResponse answer;
    private final boolean success;
    private final EventSplitter events;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private boolean forwarding;
    private OptionalLong lastEvent;

    /**
     * Creates a forwarder.
     *
     * @param exchange the exchange with the client, not null
     * @param answer the head of the response, not null
     * @param lastEvent the number of the last event that an earlier target sent to the client
     */
    ResponseForwarder(ClientExchange exchange, TargetResponse answer, OptionalLong lastEvent) {
        this.exchange = checkNotNull(exchange, "exchange");
        this.answer = checkNotNull(answer, "answer");
        this.lastEvent = checkNotNull(lastEvent, "lastEvent");
        this.success = answer.meaning() == TargetResponse.Meaning.SUCCESS;
        this.events = success && answer.events() ? EventSplitter.to(this::forward) : null;
        if (success && !answer.events() && answer.bodyLength() > MAX_BUFFERED_BYTES) {
            begin();
        } else if (events == null) {
            buffered = Unpooled.buffer();
        }
    }

    /** Returns the number of the last event that was sent to the client. */
    OptionalLong lastEvent() {
        return lastEvent;
    }

    /**
     * Adds a piece of the body.
     *
     * @return false if the body is not the stream of events that the head announced
     */
    boolean add(ByteBuf data) {
        if (events != null) {
            return events.add(data);
        }
        if (forwarding) {
            exchange.data(data.retain());
            return true;
        }
        buffered.writeBytes(data);
        if (success && buffered.readableBytes() > MAX_BUFFERED_BYTES) {
            begin();
            exchange.data(buffered);
        }
        return true;
    }

    /** Returns whether a stream has ended in the middle of an event. */
    boolean endsWithinEvent() {
        return events != null && events.hasPartialEvent();
    }

    /** Completes the response to the client. */
    void end() {
        if (exchange.isBegun()) {
            exchange.end();
        } else {
            exchange.answer(answer, buffered);
        }
    }

    private void begin() {
        forwarding = true;
        if (!exchange.isBegun()) {
            exchange.begin(answer);
        }
    }

    private void forward(EventSplitter.Event event) {
        if (isDuplicate(event.id())) {
            event.bytes().release();
            return;
        }
        begin();
        if (event.id().isPresent()) {
            lastEvent = event.id();
        }
        exchange.data(event.bytes());
    }

    private boolean isDuplicate(OptionalLong id) {
        return id.isPresent() && lastEvent.isPresent() && id.getAsLong() <= lastEvent.getAsLong();
    }
}
