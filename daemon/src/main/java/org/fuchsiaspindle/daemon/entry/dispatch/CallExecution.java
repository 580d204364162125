package org.fuchsiaspindle.daemon.entry.dispatch;

import com.google.common.base.Utf8;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.entry.dispatch.RoutedTargets.Choice;
import org.fuchsiaspindle.daemon.entry.dispatch.RoutedTargets.Outcome;
import org.fuchsiaspindle.daemon.entry.metrics.EntryMetrics;
import org.fuchsiaspindle.wire.proto.Chunk;
import org.fuchsiaspindle.wire.proto.Execute;
import org.fuchsiaspindle.wire.proto.Finished;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Refused;
import org.fuchsiaspindle.wire.proto.Usage;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/**
 * Runs one request, with further attempts where these are safe and the retry budget permits them.
 * Used by the request's own thread only.
 */
final class CallExecution {

    /** Interval at which a waiting request checks whether its caller has closed the connection. */
    private static final Duration CALLER_CHECK_INTERVAL = Duration.ofMillis(250);

    /**
     * A running stream without any message for this long is considered lost. The timeout is far
     * above the time between tokens, even for a stream that waits for preempted work.
     */
    private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofSeconds(90);

    /** Keeps one request from using up the retry budget of all others. */
    private static final int MAX_ATTEMPTS = 6;

    /** Limits the number of targets that a request can take down if it makes them fail. */
    private static final int MAX_LOSSES = 3;

    private static final int MIN_FINAL_STATUS = 200;

    /** Time that a request waits for a congested connection before it tries another target. */
    private static final Duration WRITABLE_TIMEOUT = Duration.ofMillis(500);

    private static final Duration WRITABLE_CHECK_INTERVAL = Duration.ofMillis(2);

    private final AttemptRegistry registry;
    private final RoutedTargets targets;
    private final RetryBudget retryBudget;
    private final EntryMetrics metrics;
    private final EntryMetrics.StreamTimes streamTimes;
    private final Clock clock;
    private final OnlineCall call;
    private final OutputSink sink;
    private final StringBuilder deliveredText = new StringBuilder();
    private final Set<String> tried = new HashSet<>();
    private final long startNanos;
    private Executed executed = Executed.NO;
    private int deliveredTokens;
    private int attemptNumber;
    private int losses;

    CallExecution(
            AttemptRegistry registry,
            RoutedTargets targets,
            RetryBudget retryBudget,
            EntryMetrics metrics,
            Clock clock,
            OnlineCall call,
            OutputSink sink) {
        this.registry = registry;
        this.targets = targets;
        this.retryBudget = retryBudget;
        this.metrics = metrics;
        this.streamTimes = metrics.streamTimes(call.target());
        this.clock = clock;
        this.call = call;
        this.sink = sink;
        this.startNanos = clock.nanoTime();
    }

    CallResult run() throws IOException {
        FuchsiaspindleException failure = noTarget();
        while (true) {
            attemptNumber++;
            Optional<Choice> choice = targets.choose(call, attemptNumber, tried);
            if (choice.isEmpty()) {
                throw withCombinedExecution(failure);
            }
            tried.add(choice.get().candidate().target().id());
            try {
                return runOn(choice.get());
            } catch (AttemptFailedException e) {
                failure = e.failure();
                executed = mostExecuted(executed, failure.executed());
                losses += failure.executed() == Executed.NO ? 0 : 1;
                boolean last = attemptNumber == MAX_ATTEMPTS || losses == MAX_LOSSES;
                if (!e.retryAllowed() || last || !takeRetry()) {
                    throw withCombinedExecution(failure);
                }
            }
        }
    }

    private boolean takeRetry() {
        boolean permitted = retryBudget.tryRetry();
        metrics.countRetry(permitted);
        return permitted;
    }

    /**
     * Returns the last failure with the execution state of all attempts, because an earlier attempt
     * may have run although the last one did not.
     */
    private FuchsiaspindleException withCombinedExecution(FuchsiaspindleException failure) {
        return failure.executed() == executed ? failure : failure.withExecuted(executed);
    }

    private static Executed mostExecuted(Executed first, Executed second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    private CallResult runOn(Choice choice) throws IOException, AttemptFailedException {
        FleetConnection target = choice.connection();
        Attempt attempt = registry.open(target, attemptNumber);
        Outcome outcome = Outcome.NOT_JUDGED;
        int cachedTokens = 0;
        boolean ended = false;
        try {
            awaitWritable(target);
            if (!target.send(executeFrame(attempt))) {
                throw notSent(ResultCode.TARGET_LOST, target, "the connection is closed");
            }
            Finished finished = await(attempt);
            ended = true;
            outcome = Outcome.ANSWERED;
            cachedTokens = finished.getUsage().getCachedTokens();
            return new CallResult(finished, usage(finished), attemptNumber);
        } catch (AttemptFailedException e) {
            ended = e.ended();
            outcome = e.outcome();
            throw e;
        } finally {
            if (!ended) {
                attempt.cancel("request ended");
            }
            registry.close(attempt);
            targets.recordOutcome(choice, call.prompt(), outcome, cachedTokens);
            metrics.countAttempt(outcome);
        }
    }

    /** Waits until a connection accepts data, which keeps its send queue bounded. */
    private void awaitWritable(FleetConnection target) throws AttemptFailedException {
        long start = clock.nanoTime();
        while (!target.isWritable() && target.isOpen()) {
            if (clock.nanoTime() - start > WRITABLE_TIMEOUT.toNanos()) {
                throw notSent(ResultCode.OVERLOADED, target, "its connection is congested");
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(WRITABLE_CHECK_INTERVAL);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FuchsiaspindleException(
                    ResultCode.CANCELLED,
                    "the request was interrupted before it was sent",
                    Executed.NO,
                    Optional.empty(),
                    e);
        }
    }

    private Finished await(Attempt attempt) throws IOException, AttemptFailedException {
        boolean started = false;
        long lastEventNanos = clock.nanoTime();
        long nextCallerCheck = lastEventNanos + CALLER_CHECK_INTERVAL.toNanos();
        while (true) {
            AttemptEvent event = poll(attempt);
            long now = clock.nanoTime();
            if (now - nextCallerCheck >= 0) {
                checkCallerConnected();
                nextCallerCheck = now + CALLER_CHECK_INTERVAL.toNanos();
            }
            if (event == null) {
                checkTimeLimits(now, lastEventNanos, started);
                continue;
            }
            lastEventNanos = now;
            switch (event) {
                case AttemptEvent.Started ignored -> started = true;
                case AttemptEvent.Output output -> deliver(attempt, output.chunk());
                case AttemptEvent.Completed completed -> {
                    return requireFinalStatus(completed.finished());
                }
                case AttemptEvent.Rejected rejected -> throw refused(rejected.refused(), started);
                case AttemptEvent.Lost lost -> throw targetLost(lost.reason(), true);
            }
        }
    }

    /**
     * Returns the next event, or null if there is none before the next caller check or the time
     * limit.
     */
    private AttemptEvent poll(Attempt attempt) {
        long timeoutNanos = CALLER_CHECK_INTERVAL.toNanos();
        if (isOutputPending()) {
            timeoutNanos = Math.max(1, Math.min(timeoutNanos, remainingNanos()));
        }
        try {
            return attempt.poll(timeoutNanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FuchsiaspindleException(ResultCode.CANCELLED, "the request was interrupted");
        }
    }

    private boolean isOutputPending() {
        return call.isService() || deliveredTokens == 0;
    }

    private long remainingNanos() {
        return call.timeLimit().toNanos() - (clock.nanoTime() - startNanos);
    }

    private void checkCallerConnected() {
        if (sink.isCallerDisconnected()) {
            throw new FuchsiaspindleException(
                    ResultCode.CANCELLED, "the caller closed the connection");
        }
    }

    private void checkTimeLimits(long now, long lastEventNanos, boolean started)
            throws AttemptFailedException {
        if (isOutputPending() && remainingNanos() <= 0) {
            // A target that started the request without sending output may be stuck. One that did
            // not start it is at capacity, which does not count as a failure.
            throw new AttemptFailedException(
                    new FuchsiaspindleException(
                            ResultCode.DEADLINE_EXCEEDED,
                            "no response within " + call.timeLimit().toMillis() + " ms"),
                    false,
                    false,
                    started ? Outcome.FAILED : Outcome.NOT_JUDGED);
        }
        if (!call.isService() && now - lastEventNanos > STREAM_IDLE_TIMEOUT.toNanos()) {
            throw targetLost("no message within " + STREAM_IDLE_TIMEOUT.toSeconds() + " s", false);
        }
    }

    private Finished requireFinalStatus(Finished finished) throws AttemptFailedException {
        if (call.isService() && finished.getStatus() < MIN_FINAL_STATUS) {
            throw targetLost("the response has the non-final status " + finished.getStatus(), true);
        }
        return finished;
    }

    private void deliver(Attempt attempt, Chunk chunk) throws IOException, AttemptFailedException {
        int end = chunk.getOffset() + chunk.getTokenCount();
        int bytes = Utf8.encodedLength(chunk.getText());
        if (chunk.getOffset() != deliveredTokens) {
            if (end <= deliveredTokens) {
                attempt.consumed(bytes);
                return;
            }
            throw targetLost(
                    "unexpected output offset: token "
                            + chunk.getOffset()
                            + " instead of "
                            + deliveredTokens,
                    false);
        }
        streamTimes.recordOutput(startNanos, clock.nanoTime(), chunk.getTokenCount());
        sink.accept(chunk.getText());
        deliveredText.append(chunk.getText());
        deliveredTokens = end;
        attempt.consumed(bytes);
    }

    private Frame executeFrame(Attempt attempt) {
        Execute.Builder execute =
                Execute.newBuilder()
                        .setRequestId(call.requestId())
                        .setAttempt(attempt.number())
                        .setCustomer(call.customer())
                        .setKind(call.kind())
                        .setTarget(call.target())
                        .setBody(call.body())
                        .setUrgency(call.urgency())
                        .setWeight(call.weight())
                        .setTimeLeftMs(remainingMs())
                        .setRepeatable(call.repeatable())
                        .setMethod(call.method())
                        .setPath(call.path())
                        .addAllHeaders(call.headers())
                        .setPromptTokens(call.promptTokens())
                        .setMaxTokens(call.maxTokens());
        if (!call.isService()) {
            execute.setWindow(Attempt.WINDOW_BYTES)
                    .setResumeText(deliveredText.toString())
                    .setResumeTokens(deliveredTokens);
        }
        return Frame.newBuilder().setStreamId(attempt.streamId()).setExecute(execute).build();
    }

    /**
     * Returns the remaining time, or 0 for none: the deadline is for the first output, so a resumed
     * stream that has delivered output has none.
     */
    private long remainingMs() {
        if (deliveredTokens > 0) {
            return 0;
        }
        return Math.max(1, Duration.ofNanos(remainingNanos()).toMillis());
    }

    private Usage usage(Finished finished) {
        if (attemptNumber == 1 || call.isService()) {
            return finished.getUsage();
        }
        return finished.getUsage().toBuilder().setCompletionTokens(deliveredTokens).build();
    }

    private AttemptFailedException refused(Refused refused, boolean started) {
        ResultCode code = ResultCode.ofNumber(refused.getCode());
        Executed attemptExecuted = executed(refused, started);
        FuchsiaspindleException failure =
                new FuchsiaspindleException(
                        code,
                        refused.getMessage(),
                        deliveredTokens > 0 ? Executed.YES : attemptExecuted,
                        refused.getRetryAfterMs() == 0
                                ? Optional.empty()
                                : Optional.of(Duration.ofMillis(refused.getRetryAfterMs())),
                        null);
        boolean callerError = code.number() < ResultCode.RATE_LIMITED.number();
        boolean repeatable = call.repeatable() || attemptExecuted == Executed.NO;
        Outcome outcome =
                attemptExecuted == Executed.NO || callerError ? Outcome.NOT_JUDGED : Outcome.FAILED;
        return new AttemptFailedException(failure, repeatable && !callerError, true, outcome);
    }

    /**
     * Returns whether the attempt ran. A refusal that denies execution after {@code Started} is
     * contradictory, so the outcome is unknown.
     */
    private static Executed executed(Refused refused, boolean started) {
        return switch (refused.getExecuted()) {
            case EXECUTED_NO -> started ? Executed.UNKNOWN : Executed.NO;
            case EXECUTED_YES -> Executed.YES;
            default -> Executed.UNKNOWN;
        };
    }

    private AttemptFailedException targetLost(String reason, boolean ended) {
        ResultCode code =
                deliveredTokens > 0 ? ResultCode.STREAM_INTERRUPTED : ResultCode.TARGET_LOST;
        return new AttemptFailedException(
                new FuchsiaspindleException(code, "the target was lost: " + reason),
                call.repeatable(),
                ended,
                Outcome.FAILED);
    }

    private FuchsiaspindleException noTarget() {
        return new FuchsiaspindleException(
                ResultCode.NO_TARGET, "no target of " + call.target() + " is available");
    }

    private static AttemptFailedException notSent(
            ResultCode code, FleetConnection target, String reason) {
        FuchsiaspindleException failure =
                new FuchsiaspindleException(
                        code,
                        "the request was not sent to " + target.peer().instanceId() + ": " + reason,
                        Executed.NO,
                        Optional.empty(),
                        null);
        return new AttemptFailedException(failure, true, true, Outcome.FAILED);
    }
}
