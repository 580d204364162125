package org.fuchsiaspindle.testbed.load;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;

/**
 * Sends each request at its due time, regardless of whether earlier requests have completed.
 *
 * <p>Latencies are measured from the due time, which avoids coordinated omission: a slow system
 * does not reduce the number of measurements.
 */
public final class OpenLoopLoad {

    private OpenLoopLoad() {}

    /**
     * Runs a schedule and waits for all its requests.
     *
     * @param schedule the requests in order of due time
     * @param sender sends a request and blocks until it completes; receives the request and its due
     *     time in nanoseconds of {@link System#nanoTime}
     */
    public static void run(
            ImmutableList<ScheduledRequest> schedule, BiConsumer<ScheduledRequest, Long> sender) {
        long start = System.nanoTime();
        try (ExecutorService requests = Executors.newVirtualThreadPerTaskExecutor()) {
            for (ScheduledRequest request : schedule) {
                long dueNanos = start + request.dueNanos();
                for (long remainingNanos = dueNanos - System.nanoTime();
                        remainingNanos > 0;
                        remainingNanos = dueNanos - System.nanoTime()) {
                    LockSupport.parkNanos(remainingNanos);
                }
                requests.submit(() -> sender.accept(request, dueNanos));
            }
        }
    }
}
