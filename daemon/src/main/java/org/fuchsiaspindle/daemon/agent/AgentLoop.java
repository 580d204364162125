package org.fuchsiaspindle.daemon.agent;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The event loop: a single thread to which the agent's state is confined.
 *
 * <p>Thread-safe. Before each task the loop compares the monotonic clock with the end of the last
 * task, so that a pause of the whole process is detected before any other work is done.
 */
final class AgentLoop implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(AgentLoop.class);
    private static final Duration CLOCK_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Longer than the usual scheduling delays of a busy machine, shorter than any peer timeout. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(500);

    private final Clock clock;
    private final ScheduledThreadPoolExecutor executor;
    private Consumer<Duration> pauseListener = pause -> {};
    private long lastTaskNanos;

    private AgentLoop(Clock clock) {
        this.clock = clock;
        this.lastTaskNanos = clock.nanoTime();
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "agent-loop");
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Starts a loop.
     *
     * @param clock the clock used to detect pauses, not null
     */
    static AgentLoop start(Clock clock) {
        AgentLoop loop = new AgentLoop(checkNotNull(clock, "clock"));
        loop.every(CLOCK_CHECK_INTERVAL, () -> {});
        return loop;
    }

    /** Sets the listener that is called on the loop after a pause of the whole process. */
    void onPause(Consumer<Duration> listener) {
        execute(() -> pauseListener = listener);
    }

    /** Runs a task after all tasks that were submitted before it. */
    void execute(Runnable task) {
        try {
            executor.execute(() -> run(task));
        } catch (RejectedExecutionException e) {
            // The loop has been shut down; the connections are being closed as well.
        }
    }

    /** Runs a task once after a delay. */
    void after(long delayNanos, Runnable task) {
        try {
            executor.schedule(() -> run(task), delayNanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The loop has been shut down; the connections are being closed as well.
        }
    }

    /** Runs a task periodically, with a fixed delay between its runs. */
    void every(Duration interval, Runnable task) {
        executor.scheduleWithFixedDelay(
                () -> run(task), interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdown();
    }

    private void run(Runnable task) {
        try {
            long now = clock.nanoTime();
            Duration gap = Duration.ofNanos(now - lastTaskNanos);
            lastTaskNanos = now;
            if (gap.compareTo(MIN_PAUSE) > 0) {
                LOG.warn("agent: process pause detected milliseconds={}", gap.toMillis());
                pauseListener.accept(gap);
            }
            task.run();
            lastTaskNanos = clock.nanoTime();
        } catch (RuntimeException e) {
            LOG.error("agent: task failed", e);
        }
    }
}
