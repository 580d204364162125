package org.fuchsiaspindle.testbed.fleet;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Collection;
import org.fuchsiaspindle.platform.http.HttpClient;
import org.fuchsiaspindle.platform.http.HttpRequest;

/** Queries the readiness of processes. */
public final class Readiness {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int OK = 200;

    private Readiness() {}

    /** Returns whether a process reports that it is ready; false if it cannot be reached. */
    public static boolean isReady(URI managementUrl) {
        try (HttpClient client = HttpClient.create(managementUrl)) {
            return client.exchange(HttpRequest.of("GET", "/readyz"), CALL_TIMEOUT).status() == OK;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Waits until all instances are ready.
     *
     * @throws IllegalStateException if an instance is not ready within the timeout; the message
     *     names it
     */
    public static void await(Collection<FleetInstance> instances, Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        for (FleetInstance instance : instances) {
            while (!isReady(instance.managementUrl())) {
                if (System.nanoTime() - deadline > 0) {
                    throw new IllegalStateException(
                            instance.id() + " is not ready within the timeout");
                }
                pause();
            }
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
