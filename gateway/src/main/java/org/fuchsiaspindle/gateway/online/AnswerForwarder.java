package org.fuchsiaspindle.gateway.online;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.OptionalLong;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.target.EventSplitter;
import org.fuchsiaspindle.platform.target.TargetResponse;

/**
 * Passes the answer of one target on to the client.
 *
 * <p>Streams are passed on event by event, so that another target can go on behind the last one.
 * Small answers and failures are held until they are complete, so that a broken one can be
 * replaced. Not thread-safe.
 */
final class AnswerForwarder {

    /** Larger answers are passed on as they arrive. */
    private static final int MAX_HELD_BYTES = 256 * 1024;

    private final ClientExchange exchange;
    private final TargetResponse answer;
    private final boolean success;
    private final EventSplitter events;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private boolean forwarding;
    private OptionalLong lastEvent;

    /**
     * Creates a forwarder.
     *
     * @param exchange the client, not null
     * @param answer the head of the answer, not null
     * @param lastEvent the last event that the client has, from an earlier target
     */
    AnswerForwarder(ClientExchange exchange, TargetResponse answer, OptionalLong lastEvent) {
        this.exchange = checkNotNull(exchange, "exchange");
        this.answer = checkNotNull(answer, "answer");
        this.lastEvent = checkNotNull(lastEvent, "lastEvent");
        this.success = answer.meaning() == TargetResponse.Meaning.SUCCESS;
        this.events = success && answer.events() ? EventSplitter.to(this::forward) : null;
        if (success && !answer.events() && answer.bodyLength() > MAX_HELD_BYTES) {
            begin();
        } else if (events == null) {
            held = Unpooled.buffer();
        }
    }

    /** Returns the last event that the client has. */
    OptionalLong lastEvent() {
        return lastEvent;
    }

    /** Takes a piece of the body; returns false if it cannot be what the target announced. */
    boolean add(ByteBuf data) {
        if (events != null) {
            return events.add(data);
        }
        if (forwarding) {
            exchange.data(data.retain());
            return true;
        }
        held.writeBytes(data);
        if (success && held.readableBytes() > MAX_HELD_BYTES) {
            begin();
            exchange.data(held);
        }
        return true;
    }

    /** Returns whether a stream has ended in the middle of an event. */
    boolean endsWithinEvent() {
        return events != null && events.hasPartialEvent();
    }

    /** Completes the answer. */
    void end() {
        if (exchange.isBegun()) {
            exchange.end();
        } else {
            exchange.answer(answer, held);
        }
    }

    private void begin() {
        forwarding = true;
        if (!exchange.isBegun()) {
            exchange.begin(answer);
        }
    }

    private void forward(EventSplitter.Event event) {
        if (isRepeated(event.id())) {
            event.bytes().release();
            return;
        }
        begin();
        if (event.id().isPresent()) {
            lastEvent = event.id();
        }
        exchange.data(event.bytes());
    }

    private boolean isRepeated(OptionalLong id) {
        return id.isPresent() && lastEvent.isPresent() && id.getAsLong() <= lastEvent.getAsLong();
    }
}
