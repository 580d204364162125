package org.fuchsiaspindle.gateway.online;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Exponential moving averages of the time that requests of each service occupy a slot; not
 * thread-safe.
 */
final class ServiceTimes {

    private static final double NEW_SAMPLE_WEIGHT = 0.05;

    /** Assumed average of a service that has not completed a request yet. */
    private static final Duration INITIAL_AVERAGE = Duration.ofMillis(300);

    private final Map<String, Double> averageNanos = new HashMap<>();

    void record(String service, long nanos) {
        averageNanos.merge(
                service, (double) nanos, (old, sample) -> old + NEW_SAMPLE_WEIGHT * (sample - old));
    }

    Duration average(String service) {
        Double nanos = averageNanos.get(service);
        return nanos == null ? INITIAL_AVERAGE : Duration.ofNanos(nanos.longValue());
    }
}
