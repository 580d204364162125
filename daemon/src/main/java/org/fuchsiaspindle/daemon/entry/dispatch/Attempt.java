package org.fuchsiaspindle.daemon.entry.dispatch;

import com.google.common.base.Utf8;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaspindle.wire.proto.Cancel;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Window;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/**
 * One attempt to run a request on one target.
 *
 * <p>I/O threads add events without blocking, and the request's thread removes them. The flow
 * control window bounds the text that is queued here, so a slow caller delays only its own stream.
 */
final class Attempt {

    /**
     * Flow control window: bytes of text that an agent may send before the caller has consumed
     * them.
     */
    static final int WINDOW_BYTES = 16 * 1024;

    /** Number of consumed bytes at which the agent's window is extended. */
    private static final int WINDOW_UPDATE_BYTES = WINDOW_BYTES / 2;

    /** Bounds the memory of a stream whose agent exceeds the window. */
    private static final int MAX_QUEUED_BYTES = 2 * WINDOW_BYTES;

    private final FleetConnection connection;
    private final long streamId;
    private final int number;
    private final BlockingQueue<AttemptEvent> events = new LinkedBlockingQueue<>();
    private final AtomicLong queuedBytes = new AtomicLong();
    private long unacknowledgedBytes;

    Attempt(FleetConnection connection, long streamId, int number) {
        this.connection = connection;
        this.streamId = streamId;
        this.number = number;
    }

    FleetConnection connection() {
        return connection;
    }

    long streamId() {
        return streamId;
    }

    int number() {
        return number;
    }

    /** Adds an event; called on an I/O thread. */
    void offer(AttemptEvent event) {
        if (queuedBytes.addAndGet(queuedSize(event)) > MAX_QUEUED_BYTES) {
            events.clear();
            events.add(new AttemptEvent.Lost("the agent exceeded the flow control window"));
            return;
        }
        events.add(event);
    }

    /** Returns the next event, or null if none arrives in time. */
    AttemptEvent poll(long nanos) throws InterruptedException {
        AttemptEvent event = events.poll(nanos, TimeUnit.NANOSECONDS);
        if (event != null) {
            queuedBytes.addAndGet(-queuedSize(event));
        }
        return event;
    }

    /**
     * Records bytes that the caller has consumed, and extends the agent's window by them in
     * batches.
     */
    void consumed(int bytes) {
        unacknowledgedBytes += bytes;
        if (unacknowledgedBytes >= WINDOW_UPDATE_BYTES) {
            connection.send(
                    frame().setWindow(Window.newBuilder().setBytes((int) unacknowledgedBytes))
                            .build());
            unacknowledgedBytes = 0;
        }
    }

    void cancel(String reason) {
        connection.send(frame().setCancel(Cancel.newBuilder().setReason(reason)).build());
    }

    private Frame.Builder frame() {
        return Frame.newBuilder().setStreamId(streamId);
    }

    /**
     * Returns at least 1 for each event, so that the number of queued empty chunks is bounded too.
     */
    private static int queuedSize(AttemptEvent event) {
        return event instanceof AttemptEvent.Output output
                ? Math.max(1, Utf8.encodedLength(output.chunk().getText()))
                : 1;
    }
}
