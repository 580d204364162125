package org.fuchsiaspindle.daemon.agent;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits until other threads have made a condition true. */
final class Await {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private Await() {}

    static void until(BooleanSupplier condition) {
        until(TIMEOUT, () -> condition.getAsBoolean() ? true : null, () -> "");
    }

    static <T> T untilFound(Supplier<T> query) {
        return until(TIMEOUT, query, () -> "");
    }

    static <T> T until(Duration timeout, Supplier<T> query, Supplier<String> state) {
        long end = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() - end < 0) {
            T value = query.get();
            if (value != null) {
                return value;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            }
        }
        throw new AssertionError("condition not met; " + state.get());
    }
}
