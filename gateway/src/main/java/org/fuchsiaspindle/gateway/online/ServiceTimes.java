package org.fuchsiaspindle.gateway.online;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Exponential moving averages of the time that a request of a service holds a slot; not
 * thread-safe.
 */
final class ServiceTimes {

    private static final double NEW_SAMPLE_WEIGHT = 0.05;

    /** Assumed for a service of which no request has completed yet. */
    private static final Duration INITIAL_AVERAGE = Duration.ofMillis(300);

    private final Map<String, Double> averageNanos = new HashMap<>();

    void add(String service, long nanos) {
        averageNanos.merge(
                service, (double) nanos, (old, sample) -> old + NEW_SAMPLE_WEIGHT * (sample - old));
    }

    Duration average(String service) {
        Double nanos = averageNanos.get(service);
        return nanos == null ? INITIAL_AVERAGE : Duration.ofNanos(nanos.longValue());
    }
}
