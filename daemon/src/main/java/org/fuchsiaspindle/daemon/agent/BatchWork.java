package org.fuchsiaspindle.daemon.agent;

import org.fuchsiaspindle.wire.proto.BatchItem;
import org.fuchsiaspindle.wire.proto.BatchResult;
import org.fuchsiaspindle.wire.proto.ReturnedItem;
import org.fuchsiaspindle.wire.proto.Usage;

/** A batch item and its output so far. */
final class BatchWork extends Work {

    /**
     * Identifies one attempt to run one item.
     *
     * @param job the job
     * @param item index of the item in its job
     * @param epoch epoch of the segment lease
     * @param attempt number of the attempt
     */
    record Key(String job, int item, long epoch, int attempt) {

        static Key of(BatchItem item) {
            return new Key(item.getJobId(), item.getItem(), item.getEpoch(), item.getAttempt());
        }
    }

    private final BatchItem item;
    private final Key key;
    private final StringBuilder output;
    private int tokens;
    private volatile boolean started;

    BatchWork(long id, EntryPeer peer, BatchItem item) {
        super(id, peer);
        this.item = item;
        this.key = Key.of(item);
        this.output = new StringBuilder(item.getResumeText());
        this.tokens = item.getResumeTokens();
    }

    BatchItem item() {
        return item;
    }

    Key key() {
        return key;
    }

    int tokens() {
        return tokens;
    }

    String output() {
        return output.toString();
    }

    void append(String text, int count) {
        output.append(text);
        tokens += count;
    }

    /** Records that the target may have received the item; called on the I/O thread. */
    void markStarted() {
        started = true;
    }

    /** Records that the target did not run the item. */
    void markNotStarted() {
        started = false;
    }

    @Override
    long bytes() {
        return item.getBody().size() + item.getResumeText().length() + 512L;
    }

    ReturnedItem returned(boolean targetLost) {
        return ReturnedItem.newBuilder()
                .setJobId(item.getJobId())
                .setSegment(item.getSegment())
                .setItem(item.getItem())
                .setEpoch(item.getEpoch())
                .setAttempt(item.getAttempt())
                .setStarted(started)
                .setTargetLost(targetLost)
                .setResumeText(output.toString())
                .setResumeTokens(tokens)
                .build();
    }

    BatchResult finished(String reason, Usage usage) {
        return result().setStatus(200)
                .setText(output.toString())
                .setFinishReason(reason)
                .setUsage(
                        usage.toBuilder()
                                .setCompletionTokens(Math.max(usage.getCompletionTokens(), tokens)))
                .build();
    }

    BatchResult failed(int status, String message) {
        return result().setStatus(status).setErrorMessage(message).build();
    }

    private BatchResult.Builder result() {
        return BatchResult.newBuilder()
                .setJobId(item.getJobId())
                .setSegment(item.getSegment())
                .setItem(item.getItem())
                .setEpoch(item.getEpoch())
                .setAttempt(item.getAttempt());
    }
}
