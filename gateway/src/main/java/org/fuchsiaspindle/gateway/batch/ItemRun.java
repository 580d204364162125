package org.fuchsiaspindle.gateway.batch;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.gateway.target.TargetCall;
import org.fuchsiaspindle.platform.job.BatchItem;
import org.fuchsiaspindle.platform.target.EventSplitter;
import org.fuchsiaspindle.platform.target.PromptHeader;

/**
 * The state of one item without a stored result: pending, running on a target, or finished.
 *
 * <p>The text of complete events is kept when a run is interrupted, so that the next run resumes
 * after it. Not thread-safe.
 */
final class ItemRun {

    private enum State {
        PENDING,
        RUNNING,
        FINISHED
    }

    private final OwnedJob job;
    private final int index;
    private final BatchItem item;
    private final ImmutableList<String> promptParts;
    private final int maxTokens;
    private final StringBuilder text = new StringBuilder();
    private int textBytes;
    private final double serviceFraction = ThreadLocalRandom.current().nextDouble();
    private State state = State.PENDING;
    private OptionalLong lastEvent = OptionalLong.empty();
    private TargetCall call;
    private boolean completed;
    private boolean quarantined;
    private boolean unsuitable;
    private boolean needsNewConnection;
    private int stalledRuns;
    private long startedNanos;
    private long lastEventAtStart;
    private long earliestStartNanos = System.nanoTime();
    private OptionalLong lastPolledEvent = OptionalLong.empty();
    private OptionalLong lastTrialNanos = OptionalLong.empty();
    private String targetId = "-";

    ItemRun(OwnedJob job, int index, BatchItem item) {
        this.job = job;
        this.index = index;
        this.item = item;
        this.promptParts = PromptHeader.sharedParts(item.headers());
        this.maxTokens = PromptHeader.size("", item.headers()).maxTokens();
    }

    OwnedJob job() {
        return job;
    }

    int index() {
        return index;
    }

    BatchItem item() {
        return item;
    }

    /** Returns the parts of the prompt that other requests may share, in order. */
    ImmutableList<String> promptParts() {
        return promptParts;
    }

    /** Returns the memory of a target that the item can occupy, in tokens; 0 if unknown. */
    int maxTokens() {
        return maxTokens;
    }

    /** Sets whether a prompt part keeps the item from targets; returns whether it does now anew. */
    boolean setQuarantined(boolean newQuarantined) {
        boolean isNew = newQuarantined && !quarantined;
        quarantined = newQuarantined;
        return isNew;
    }

    /** Returns whether a prompt part kept the item from targets when this was last checked. */
    boolean isQuarantined() {
        return quarantined;
    }

    /**
     * Makes all further runs the first requests on their connections, because a target sends
     * answers that cannot be attributed otherwise; failures among them must be counted.
     */
    void requireNewConnection() {
        needsNewConnection = true;
    }

    /** Returns whether a run must be the first request on its connection. */
    boolean needsNewConnection() {
        return needsNewConnection;
    }

    /** Records that the current run got no data for too long. */
    void recordStall() {
        stalledRuns++;
    }

    /** Returns how many runs in a row got no data for too long. */
    int stalledRuns() {
        return stalledRuns;
    }

    /** Returns the time since the item was last tried in spite of a quarantine. */
    Duration timeSinceTrial(long now) {
        return lastTrialNanos.isEmpty()
                ? ChronoUnit.FOREVER.getDuration()
                : Duration.ofNanos(now - lastTrialNanos.getAsLong());
    }

    /** Records that the item is tried in spite of a quarantine. */
    void recordTrial(long now) {
        lastTrialNanos = OptionalLong.of(now);
    }

    TargetCall call() {
        return call;
    }

    OptionalLong lastEvent() {
        return lastEvent;
    }

    boolean mayStart(long now) {
        return state == State.PENDING && now - earliestStartNanos >= 0;
    }

    boolean isRunning() {
        return state == State.RUNNING;
    }

    boolean isFinished() {
        return state == State.FINISHED;
    }

    boolean isCompleted() {
        return completed;
    }

    byte[] result() {
        return completed ? text.toString().getBytes(StandardCharsets.UTF_8) : new byte[0];
    }

    /**
     * Returns the service on which the item runs, empty if no service of the route can run it now;
     * of several, it is the same in each run while their weights are.
     *
     * @param route the route in the configuration in force
     * @param canRun whether a service can run the item
     */
    Optional<String> service(Route route, Predicate<String> canRun) {
        return route.chooseService(serviceFraction, canRun);
    }

    /** Sets whether no service can run the item; returns whether this is new. */
    boolean setUnsuitable(boolean newUnsuitable) {
        boolean isNew = newUnsuitable && !unsuitable;
        unsuitable = newUnsuitable;
        return isNew;
    }

    /** Returns the identifier of the target of the current or last run, a dash before the first. */
    String targetId() {
        return targetId;
    }

    void start(TargetCall newCall) {
        state = State.RUNNING;
        call = newCall;
        targetId = newCall.instance().id();
        startedNanos = System.nanoTime();
        lastEventAtStart = lastEventNumber();
    }

    /** Returns the number of the last complete event, 0 if there is none. */
    long lastEventNumber() {
        return lastEvent.orElse(0);
    }

    /** Returns how many events the current run has produced. */
    long eventsOfThisRun() {
        return lastEventNumber() - lastEventAtStart;
    }

    /** Returns how long the current run has taken. */
    Duration timeOfThisRun(long now) {
        return Duration.ofNanos(now - startedNanos);
    }

    void add(EventSplitter.Event event) {
        boolean duplicate =
                event.id().isPresent()
                        && lastEvent.isPresent()
                        && event.id().getAsLong() <= lastEvent.getAsLong();
        if (!duplicate) {
            if (lastEvent.isPresent()) {
                append("\n");
            }
            append(event.data());
            lastEvent = event.id();
            stalledRuns = 0;
        }
        event.bytes().release();
    }

    /**
     * Replaces the progress with that stored by another gateway, so that the next run resumes after
     * it.
     */
    void restore(ItemProgress progress) {
        clearText();
        append(progress.text());
        lastEvent = OptionalLong.of(progress.lastEvent());
    }

    /** Returns the progress if it has changed since the last call, empty otherwise. */
    Optional<ItemProgress> pollProgress() {
        if (state == State.FINISHED || lastEvent.isEmpty() || lastEvent.equals(lastPolledEvent)) {
            return Optional.empty();
        }
        lastPolledEvent = lastEvent;
        return Optional.of(new ItemProgress(lastEvent.getAsLong(), text.toString()));
    }

    /** Returns the size of the text so far as it is stored, in bytes. */
    int textBytes() {
        return textBytes;
    }

    private void append(String part) {
        text.append(part);
        textBytes += ByteBufUtil.utf8Bytes(part);
    }

    private void clearText() {
        text.setLength(0);
        textBytes = 0;
    }

    /** Discards the progress, so that the next run starts from the first event. */
    void discardProgress() {
        clearText();
        lastEvent = OptionalLong.empty();
        lastPolledEvent = OptionalLong.empty();
    }

    /** Returns the item to the pending state; it does not start before a monotonic time. */
    void interrupt(long newEarliestStartNanos) {
        state = State.PENDING;
        call = null;
        earliestStartNanos = newEarliestStartNanos;
    }

    void finish(boolean newCompleted) {
        state = State.FINISHED;
        completed = newCompleted;
        call = null;
    }

    void stop() {
        if (call != null) {
            call.cancel();
            call = null;
        }
        if (state == State.RUNNING) {
            state = State.PENDING;
        }
    }
}
