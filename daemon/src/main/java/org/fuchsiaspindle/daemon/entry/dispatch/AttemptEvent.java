package org.fuchsiaspindle.daemon.entry.dispatch;

import org.fuchsiaspindle.wire.proto.Chunk;
import org.fuchsiaspindle.wire.proto.Finished;
import org.fuchsiaspindle.wire.proto.Refused;

/** An event of an attempt. */
sealed interface AttemptEvent {

    /** The request was sent to the target. */
    record Started() implements AttemptEvent {}

    /** The target produced output. */
    record Output(Chunk chunk) implements AttemptEvent {}

    /** The response is complete. */
    record Completed(Finished finished) implements AttemptEvent {}

    /** The agent refused the request or reports its failure. */
    record Rejected(Refused refused) implements AttemptEvent {}

    /** The attempt failed without a final message; no event follows. */
    record Lost(String reason) implements AttemptEvent {}
}
