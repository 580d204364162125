package org.fuchsiaspindle.testbed.bench;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Polls conditions and pauses between the steps of an experiment. */
final class Waiting {

    private static final long POLL_INTERVAL_MS = 5;

    private Waiting() {}

    /**
     * Polls a condition until it is true.
     *
     * @param description the condition, for the error message
     * @throws IllegalStateException if the condition does not become true within the limit
     */
    static void until(String description, Duration limit, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException(description + " did not happen within " + limit);
            }
            pause(Duration.ofMillis(POLL_INTERVAL_MS));
        }
    }

    static void pause(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
