package org.fuchsiaspindle.daemon.agent;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.wire.proto.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the messages of online streams under the flow control of the entries.
 *
 * <p>All methods run on the agent's event loop.
 */
final class ReplySender {

    private static final Logger LOG = LoggerFactory.getLogger(ReplySender.class);
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);
    private static final long WRITABLE_POLL_NANOS = 10_000_000L;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final AgentLoop loop;
    private final AgentMetrics metrics;
    private final Runnable streamDelivered;

    /**
     * Creates a sender.
     *
     * @param streamDelivered called after the last message of a stream has been sent
     */
    ReplySender(AgentLoop loop, AgentMetrics metrics, Runnable streamDelivered) {
        this.loop = loop;
        this.metrics = metrics;
        this.streamDelivered = streamDelivered;
    }

    void chunk(OnlineWork call, String text, int count) {
        call.chunk(text, count);
        pollUntilWritable(call);
    }

    void grant(OnlineWork call, int bytes) {
        call.grant(bytes);
        removeIfComplete(call);
    }

    /** Sends the last message of a stream. */
    void end(OnlineWork call, Frame last) {
        call.end(last);
        removeIfComplete(call);
        pollUntilWritable(call);
    }

    void refuse(OnlineWork call, ResultCode code, Executed executed, String message) {
        refuse(call, code, executed, message, 0);
    }

    void refuse(
            OnlineWork call,
            ResultCode code,
            Executed executed,
            String message,
            long retryAfterNanos) {
        LOG.info(
                "admit: refuse id={} request={} code={} executed={}",
                call.id(),
                call.execute().getRequestId(),
                code.number(),
                executed.wireName());
        metrics.countRefusal(code);
        end(call, Replies.refused(call, code, executed, message, retryAfterNanos));
    }

    /** Refuses a request for which the engine returned an error status. */
    void refuseFailed(OnlineWork call, int status, ByteString body) {
        String message = Replies.errorMessage(body);
        switch (status) {
            case BAD_REQUEST -> refuse(call, ResultCode.MALFORMED_REQUEST, Executed.NO, message);
            // The model was unloaded after the last report, so another target may serve it.
            case NOT_FOUND -> refuse(call, ResultCode.NO_TARGET, Executed.NO, message);
            case TOO_MANY_REQUESTS, UNAVAILABLE ->
                    refuse(
                            call,
                            ResultCode.OVERLOADED,
                            Executed.NO,
                            message,
                            RETRY_AFTER.toNanos());
            default ->
                    refuse(
                            call,
                            ResultCode.TARGET_FAILED,
                            Executed.UNKNOWN,
                            "status " + status + ": " + message);
        }
    }

    private void removeIfComplete(OnlineWork call) {
        if (call.isComplete()) {
            call.peer().streams().remove(call.streamId(), call);
            streamDelivered.run();
        }
    }

    /** Polls the connection, because it does not signal when it becomes writable again. */
    private void pollUntilWritable(OnlineWork call) {
        if (call.hasQueuedMessages()
                && !call.peer().connection().isWritable()
                && call.peer().connection().isOpen()
                && call.markFlushScheduled()) {
            loop.after(
                    WRITABLE_POLL_NANOS,
                    () -> {
                        call.clearFlushScheduled();
                        call.flush();
                        removeIfComplete(call);
                        pollUntilWritable(call);
                    });
        }
    }
}
