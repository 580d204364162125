package org.fuchsiaspindle.gateway.online;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Moving averages of how long requests of a service hold a slot; not thread-safe. */
final class ServiceTimes {

    private static final double NEW_SAMPLE_WEIGHT = 0.05;
    private static final Duration INITIAL = Duration.ofMillis(300);

    private final Map<String, Double> averageNanos = new HashMap<>();

    void add(String service, long nanos) {
        averageNanos.merge(
                service, (double) nanos, (old, sample) -> old + NEW_SAMPLE_WEIGHT * (sample - old));
    }

    Duration average(String service) {
        Double nanos = averageNanos.get(service);
        return nanos == null ? INITIAL : Duration.ofNanos(nanos.longValue());
    }
}
