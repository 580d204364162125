package org.fuchsiaspindle.daemon.agent;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.wire.proto.Finished;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Header;
import org.fuchsiaspindle.wire.proto.Refused;
import org.fuchsiaspindle.wire.proto.Usage;

/** Builds the final messages of online streams. */
final class Replies {

    private static final int MAX_MESSAGE_BYTES = 1024;

    private Replies() {}

    static Frame finished(OnlineWork call, String reason, Usage usage) {
        Usage total =
                usage.toBuilder()
                        .setCompletionTokens(Math.max(usage.getCompletionTokens(), call.offset()))
                        .build();
        return call.frame()
                .setFinished(
                        Finished.newBuilder()
                                .setAttempt(call.execute().getAttempt())
                                .setFinishReason(reason)
                                .setUsage(total))
                .build();
    }

    static Frame serviceResponse(
            OnlineWork call, int status, List<Header> headers, ByteString body) {
        return call.frame()
                .setFinished(
                        Finished.newBuilder()
                                .setAttempt(call.execute().getAttempt())
                                .setStatus(status)
                                .addAllHeaders(headers)
                                .setBody(body))
                .build();
    }

    static Frame refused(
            OnlineWork call,
            ResultCode code,
            Executed executed,
            String message,
            long retryAfterNanos) {
        return call.frame()
                .setRefused(
                        Refused.newBuilder()
                                .setAttempt(call.execute().getAttempt())
                                .setCode(code.number())
                                .setMessage(message)
                                .setExecuted(toProto(executed))
                                .setRetryAfterMs(Duration.ofNanos(retryAfterNanos).toMillis()))
                .build();
    }

    /** Returns the first 1024 bytes of a body as an error message. */
    static String errorMessage(ByteString body) {
        return body.substring(0, Math.min(body.size(), MAX_MESSAGE_BYTES)).toStringUtf8();
    }

    private static org.fuchsiaspindle.wire.proto.Executed toProto(Executed executed) {
        return switch (executed) {
            case NO -> org.fuchsiaspindle.wire.proto.Executed.EXECUTED_NO;
            case YES -> org.fuchsiaspindle.wire.proto.Executed.EXECUTED_YES;
            case UNKNOWN -> org.fuchsiaspindle.wire.proto.Executed.EXECUTED_UNKNOWN;
        };
    }
}
