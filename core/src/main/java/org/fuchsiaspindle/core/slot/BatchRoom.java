package org.fuchsiaspindle.core.slot;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Decides how many free slots of a pool batch items may take.
 *
 * <p>Load pattern: waves of online requests that preempt batch items, and in each wave a demand
 * that goes up and down, so that a slot which has just become free is soon needed again. Each
 * preemption keeps one slot free for a moment. It does so for longer if the item had not run long
 * enough to be worth its start: a preempted item goes on later, but its target reads the prompt
 * again. How long that takes is learned from the times to the first event of items.
 *
 * <p>Not thread-safe; times are monotonic nanoseconds.
 */
final class BatchRoom {

    /** Time for which a preemption keeps a slot free at least. */
    private static final Duration MIN_MEMORY = Duration.ofMillis(100);

    /** Time for which a preemption keeps a slot free at most. */
    private static final Duration MAX_MEMORY = Duration.ofSeconds(1);

    /**
     * A run is worth its start if it lasts this many times the time to its first event, so that
     * starts cost no more than a tenth of the capacity.
     */
    private static final int MIN_RUN_IN_START_TIMES = 10;

    /** Weight of one item in the average time to the first event. */
    private static final double START_TIME_SAMPLE_WEIGHT = 0.1;

    private final Deque<Long> keptUntilNanos = new ArrayDeque<>();
    private Optional<Duration> startTime = Optional.empty();

    /** Records how an item ran that was not preempted. */
    void recordRun(RunReport report) {
        report.timeToFirstEvent()
                .ifPresent(
                        time ->
                                startTime =
                                        Optional.of(
                                                startTime
                                                        .map(average -> average(average, time))
                                                        .orElse(time)));
    }

    private static Duration average(Duration average, Duration sample) {
        double difference = sample.toNanos() - average.toNanos();
        return average.plusNanos((long) (START_TIME_SAMPLE_WEIGHT * difference));
    }

    /** Records that an online request preempted an item that had run for some time. */
    void recordPreemption(long runNanos, long now) {
        long worthwhileNanos = worthwhileRun().toNanos();
        long memoryNanos = runNanos < worthwhileNanos ? worthwhileNanos : MIN_MEMORY.toNanos();
        keptUntilNanos.addLast(now + memoryNanos);
    }

    /** Returns how many free slots are kept for online requests. */
    int keptFree(long now) {
        keptUntilNanos.removeIf(until -> until - now < 0);
        return keptUntilNanos.size();
    }

    private Duration worthwhileRun() {
        Duration run = startTime.orElse(Duration.ZERO).multipliedBy(MIN_RUN_IN_START_TIMES);
        if (run.compareTo(MIN_MEMORY) < 0) {
            return MIN_MEMORY;
        }
        return run.compareTo(MAX_MEMORY) > 0 ? MAX_MEMORY : run;
    }
}
