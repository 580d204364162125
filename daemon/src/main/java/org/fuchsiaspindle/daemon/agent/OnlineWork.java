package org.fuchsiaspindle.daemon.agent;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsiaspindle.wire.proto.Chunk;
import org.fuchsiaspindle.wire.proto.Execute;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.RequestKind;
import org.fuchsiaspindle.wire.proto.Started;

/** An online request and the stream that carries its response. */
final class OnlineWork extends Work {

    /** Reading from the target pauses while more bytes than this are queued for the entry. */
    private static final int MAX_QUEUED_BYTES = 64 * 1024;

    private final long streamId;
    private final Execute execute;
    private final Deque<Frame> queued = new ArrayDeque<>();
    private final boolean flowControlled;
    private long window;
    private int queuedBytes;
    private boolean readingPaused;
    private boolean flushScheduled;
    private boolean ended;
    private int offset;

    OnlineWork(long id, EntryPeer peer, long streamId, Execute execute) {
        super(id, peer);
        this.streamId = streamId;
        this.execute = execute;
        this.flowControlled = execute.getWindow() > 0;
        this.window = execute.getWindow();
        this.offset = execute.getResumeTokens();
    }

    Execute execute() {
        return execute;
    }

    long streamId() {
        return streamId;
    }

    boolean isService() {
        return execute.getKind() == RequestKind.REQUEST_KIND_SERVICE;
    }

    /** Returns the number of output tokens so far, including those of earlier attempts. */
    int offset() {
        return offset;
    }

    @Override
    long bytes() {
        return execute.getBody().size() + execute.getResumeText().length() + 512L;
    }

    void sendStarted() {
        peer().connection()
                .send(
                        frame().setStarted(Started.newBuilder().setAttempt(execute.getAttempt()))
                                .build());
    }

    /** Sends a chunk, or queues it until the entry grants a larger window. */
    void chunk(String text, int count) {
        ByteString utf8 = ByteString.copyFromUtf8(text);
        enqueue(
                frame().setChunk(
                                Chunk.newBuilder()
                                        .setAttempt(execute.getAttempt())
                                        .setOffset(offset)
                                        .setTokenCount(count)
                                        .setText(text))
                        .build(),
                utf8.size());
        offset += count;
        if (queuedBytes > MAX_QUEUED_BYTES && !readingPaused && run() != null) {
            readingPaused = true;
            run().pause();
        }
    }

    /** Sends the last message of the stream after the queued chunks. */
    void end(Frame last) {
        ended = true;
        enqueue(last, 0);
    }

    /** Returns true once the last message was sent. */
    boolean isComplete() {
        return ended && queued.isEmpty();
    }

    /** Enlarges the flow-control window. */
    void grant(int bytes) {
        window += bytes;
        flush();
    }

    /** Drops the queued messages of a stream that the entry has cancelled. */
    void discardQueued() {
        queued.clear();
        queuedBytes = 0;
    }

    /** Records that a flush is scheduled; returns false if one was scheduled already. */
    boolean markFlushScheduled() {
        boolean newlyScheduled = !flushScheduled;
        flushScheduled = true;
        return newlyScheduled;
    }

    void clearFlushScheduled() {
        flushScheduled = false;
    }

    /** Returns true if messages are queued for the entry. */
    boolean hasQueuedMessages() {
        return !queued.isEmpty();
    }

    /** Sends queued messages as far as the window and the connection allow. */
    void flush() {
        while (!queued.isEmpty() && canSend(queued.peek())) {
            Frame next = queued.poll();
            int bytes = textBytes(next);
            window -= bytes;
            queuedBytes -= bytes;
            peer().connection().send(next);
        }
        if (readingPaused && queuedBytes <= MAX_QUEUED_BYTES / 2 && run() != null) {
            readingPaused = false;
            run().resume();
        }
    }

    Frame.Builder frame() {
        return Frame.newBuilder().setStreamId(streamId);
    }

    private void enqueue(Frame frame, int bytes) {
        queued.add(frame);
        queuedBytes += bytes;
        flush();
    }

    private boolean canSend(Frame frame) {
        if (!frame.hasChunk()) {
            return true;
        }
        return (!flowControlled || window > 0) && peer().connection().isWritable();
    }

    private static int textBytes(Frame frame) {
        return frame.hasChunk() ? ByteString.copyFromUtf8(frame.getChunk().getText()).size() : 0;
    }
}
