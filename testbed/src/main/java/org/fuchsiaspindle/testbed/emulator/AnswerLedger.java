package org.fuchsiaspindle.testbed.emulator;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Records the runs of all engines that share it. Thread-safe. */
public final class AnswerLedger {

    /**
     * One run of a request, recorded before its answer is written.
     *
     * @param requestId the identifier of the request
     * @param run the number of the run, unique in the ledger
     * @param connection the number of the connection, unique in the engine
     * @param engine the identifier of the engine
     * @param status the status that the run gave, whatever is written later
     * @param body the body of its answer, which no other run gives
     * @param lastEventId the event after which the run resumed a stream, 0 for none
     * @param nanos when the run ended, from {@link System#nanoTime()}
     */
    public record AnsweredRun(
            String requestId,
            int run,
            int connection,
            String engine,
            int status,
            String body,
            int lastEventId,
            long nanos) {

        /** Returns whether the run succeeded. */
        public boolean isSuccess() {
            return status == DuplicateAnswers.SUCCESS;
        }
    }

    private final List<AnsweredRun> runs = new CopyOnWriteArrayList<>();
    private final AtomicInteger irregularAnswers = new AtomicInteger();
    private final AtomicInteger numbers = new AtomicInteger();

    /** Returns a snapshot of all runs. */
    public List<AnsweredRun> runs() {
        return List.copyOf(runs);
    }

    /** Returns how many answers were written that are not the one sound answer of their run. */
    public int irregularAnswers() {
        return irregularAnswers.get();
    }

    void countIrregularAnswer() {
        irregularAnswers.incrementAndGet();
    }

    int nextRun() {
        return numbers.incrementAndGet();
    }

    void add(AnsweredRun run) {
        runs.add(run);
    }
}
