package org.fuchsiaspindle.daemon;

import java.util.concurrent.CountDownLatch;

/** Runs a planned stop when the process receives a termination signal. */
final class Shutdown {

    private Shutdown() {}

    /** Blocks until a termination signal; after the planned stop the JVM exits with 0. */
    static void awaitAndRun(Runnable plannedStop) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    plannedStop.run();
                                    stopped.countDown();
                                    // A JVM that ends by a signal exits with 128 + its number,
                                    // which supervisors treat as a failure.
                                    Runtime.getRuntime().halt(0);
                                },
                                "planned-stop"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
