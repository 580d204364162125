package org.fuchsiaspindle.testbed.emulator;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Clients that send streams at seeded times, whatever becomes of earlier ones.
 *
 * <p>Not thread-safe; the clients run on threads of their own.
 */
public final class EmulatorLoad {

    private static final long MAX_MICROS = 60_000_000;
    private static final int DIGITS = 3;

    private final List<EmulatorClient> clients;
    private final String path;
    private final int events;
    private final Random random;
    private int sent;

    private EmulatorLoad(List<EmulatorClient> clients, String path, int events, long seed) {
        this.clients = List.copyOf(clients);
        this.path = path;
        this.events = events;
        this.random = new Random(seed);
    }

    /**
     * Creates a load.
     *
     * @param clients clients of the gateways, chosen at random for each request
     * @param path the path of the requests
     * @param events the events of each stream
     * @param seed decides the times and the gateways
     */
    public static EmulatorLoad of(
            List<EmulatorClient> clients, String path, int events, long seed) {
        return new EmulatorLoad(clients, path, events, seed);
    }

    /** What clients saw in one phase. */
    public static final class Seen {

        private final Histogram totalMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger failed = new AtomicInteger();

        /** Returns the number of streams that were complete. */
        public int served() {
            return served.get();
        }

        /** Returns the number of other requests. */
        public int failed() {
            return failed.get();
        }

        /** Returns a percentile of the time until a stream was complete, in milliseconds. */
        public double totalMillis(double percentile) {
            return totalMicros.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    /** Sends requests at a mean rate for some time and waits until all have ended. */
    public Seen run(double perSecond, Duration time) throws InterruptedException {
        Seen seen = new Seen();
        List<Thread> running = new ArrayList<>();
        long begun = System.nanoTime();
        double nextSeconds = 0;
        while (nextSeconds < time.toMillis() / 1000.0) {
            long due = begun + (long) (nextSeconds * 1e9);
            long wait = due - System.nanoTime();
            if (wait > 0) {
                Thread.sleep(Duration.ofNanos(wait));
            }
            EmulatorClient client = clients.get(random.nextInt(clients.size()));
            String id = "load-" + sent++;
            running.add(Thread.startVirtualThread(() -> send(client, id, seen)));
            nextSeconds += -Math.log(1 - random.nextDouble()) / perSecond;
        }
        for (Thread thread : running) {
            thread.join();
        }
        return seen;
    }

    private void send(EmulatorClient client, String id, Seen seen) {
        long begun = System.nanoTime();
        Map<String, String> headers =
                Map.of("Attempt-Id", id, "Deadline-Ms", "5000", "X-Events", "" + events);
        try {
            EmulatorClient.Answer answer = client.call("POST", path, headers, "");
            boolean whole = answer.status() == 200 && answer.complete();
            (whole ? seen.served : seen.failed).incrementAndGet();
            long micros = (System.nanoTime() - begun) / 1000;
            if (whole) {
                seen.totalMicros.recordValue(Math.min(micros, MAX_MICROS));
            }
        } catch (IOException failure) {
            seen.failed.incrementAndGet();
        }
    }
}
