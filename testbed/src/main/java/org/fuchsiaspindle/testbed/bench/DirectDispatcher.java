package org.fuchsiaspindle.testbed.bench;

import com.google.common.collect.ImmutableList;
import java.net.URI;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaspindle.testbed.load.LoadResult;
import org.fuchsiaspindle.testbed.load.Schedule;
import org.fuchsiaspindle.testbed.load.ScheduledRequest;
import org.fuchsiaspindle.testbed.load.StreamingClient;

/**
 * A baseline that sends requests directly to the engines: each online request goes to the allowed
 * engine with the fewest outstanding online requests, and batch workers keep a fixed number of
 * items outstanding at each engine. Thread-safe.
 */
final class DirectDispatcher implements AutoCloseable {

    private final ImmutableList<URI> engines;
    private final AtomicIntegerArray outstanding;
    private final StreamingClient client = StreamingClient.create();
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicLong seedOffset = new AtomicLong();

    DirectDispatcher(ImmutableList<URI> engines) {
        this.engines = engines;
        this.outstanding = new AtomicIntegerArray(engines.size());
    }

    void sendOnline(
            List<Integer> allowed, ScheduledRequest request, long dueNanos, LoadResult result) {
        int engine = leastLoaded(allowed);
        outstanding.incrementAndGet(engine);
        try {
            client.complete(engines.get(engine), "", BenchFleet.MODEL, request, dueNanos, result);
        } finally {
            outstanding.decrementAndGet(engine);
        }
    }

    /** Keeps a fixed number of batch items outstanding at each allowed engine until closed. */
    void fill(List<Integer> allowed, int perEngine, int promptChars, int maxTokens, long seed) {
        for (int engine : allowed) {
            for (int i = 0; i < perEngine; i++) {
                workers.submit(() -> sendItems(engine, promptChars, maxTokens, seed));
            }
        }
    }

    private void sendItems(int engine, int promptChars, int maxTokens, long seed) {
        Random random = new Random(seed + seedOffset.incrementAndGet());
        LoadResult ignored = LoadResult.create();
        while (!stopped.get()) {
            ScheduledRequest item =
                    new ScheduledRequest(
                            0, Schedule.randomText(random, promptChars), maxTokens, false);
            client.complete(
                    engines.get(engine), "", BenchFleet.MODEL, item, System.nanoTime(), ignored);
        }
    }

    private int leastLoaded(List<Integer> allowed) {
        int best = allowed.getFirst();
        for (int engine : allowed) {
            if (outstanding.get(engine) < outstanding.get(best)) {
                best = engine;
            }
        }
        return best;
    }

    @Override
    public void close() {
        stopped.set(true);
        workers.close();
        client.close();
    }
}
