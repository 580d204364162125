package org.fuchsiaspindle.testbed.emulator;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.fuchsiaspindle.testbed.load.LoadProfile;
import org.fuchsiaspindle.testbed.load.OpenLoopLoad;
import org.fuchsiaspindle.testbed.load.Schedule;

/**
 * An open-loop load of streaming requests at pseudorandom due times.
 *
 * <p>Each request is sent at its due time, regardless of whether earlier ones have ended. Latencies
 * are measured from the due time. Not thread-safe; requests run on separate threads.
 */
public final class EmulatorLoad {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final List<EmulatorClient> clients;
    private final String path;
    private final int events;
    private final long seed;
    private final AtomicInteger sent = new AtomicInteger();

    private EmulatorLoad(List<EmulatorClient> clients, String path, int events, long seed) {
        this.clients = List.copyOf(clients);
        this.path = path;
        this.events = events;
        this.seed = seed;
    }

    /**
     * Creates a load.
     *
     * @param clients clients of the gateways, used round-robin
     * @param path the path of the requests
     * @param events the number of events of each stream
     * @param seed the random seed of the due times
     */
    public static EmulatorLoad of(
            List<EmulatorClient> clients, String path, int events, long seed) {
        return new EmulatorLoad(clients, path, events, seed);
    }

    /** The outcomes and latencies of one run. */
    public static final class Results {

        private final Histogram latencyMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger failed = new AtomicInteger();

        /** Returns the number of streams that were received completely. */
        public int served() {
            return served.get();
        }

        /** Returns the number of requests that failed or whose stream was incomplete. */
        public int failed() {
            return failed.get();
        }

        /**
         * Returns a percentile of the time from a request's due time until its stream was complete,
         * in milliseconds.
         */
        public double latencyMillis(double percentile) {
            return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    /** Sends requests at a mean rate for a duration and waits until all of them have ended. */
    public Results run(double requestsPerSecond, Duration duration) {
        Results results = new Results();
        LoadProfile profile =
                new LoadProfile(
                        duration,
                        requestsPerSecond,
                        requestsPerSecond,
                        duration,
                        Duration.ZERO,
                        Duration.ZERO,
                        1,
                        0,
                        0,
                        events);
        OpenLoopLoad.run(
                Schedule.create(profile, seed),
                (request, dueNanos) -> send(nextId(), dueNanos, results));
        return results;
    }

    private int nextId() {
        return sent.getAndIncrement();
    }

    private void send(int number, long dueNanos, Results results) {
        EmulatorClient client = clients.get(number % clients.size());
        Map<String, String> headers =
                Map.of(
                        "Attempt-Id",
                        "load-" + number,
                        "Deadline-Ms",
                        "5000",
                        "X-Events",
                        String.valueOf(events));
        try {
            EmulatorClient.Response response = client.call("POST", path, headers, "");
            boolean complete = response.status() == 200 && response.complete();
            (complete ? results.served : results.failed).incrementAndGet();
            if (complete) {
                long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
                results.latencyMicros.recordValue(micros);
            }
        } catch (IOException failure) {
            results.failed.incrementAndGet();
        }
    }
}
