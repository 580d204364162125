package org.fuchsiaspindle.testbed.integration;

import java.time.Duration;
import java.util.function.Supplier;

/** Polls a condition until it is met or {@link #LIMIT} has passed. */
final class Await {

    /** Far above the time that any condition needs, so that only a real failure exceeds it. */
    static final Duration LIMIT = Duration.ofSeconds(120);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private Await() {}

    /**
     * Waits until a supplier returns an empty string.
     *
     * @param missing describes what is still missing, or returns an empty string if the condition
     *     is met
     * @throws AssertionError with the last description if the limit has passed
     */
    static void until(Supplier<String> missing) {
        long deadline = System.nanoTime() + LIMIT.toNanos();
        for (String last = missing.get(); !last.isEmpty(); last = missing.get()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("still missing after " + LIMIT + ": " + last);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_INTERVAL);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
