package org.fuchsiaspindle.daemon.entry.metrics;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Metrics of the online requests of an entry. Thread-safe.
 *
 * <p>Labels take values from the configuration and from fixed sets only, never from callers, so
 * that their number stays small.
 */
public final class EntryMetrics {

    private static final String PREFIX = "fuchsiaspindle_entry_";
    private static final double NANOS_PER_SECOND = 1e9;

    /** Upper bounds in seconds. The limit of 0.78 s for the first token is one of them. */
    private static final double[] FIRST_TOKEN_BUCKETS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.78, 1.5, 3, 6, 12, 30
    };

    /** Upper bounds in seconds. The goal of 59 ms between tokens is one of them. */
    private static final double[] BETWEEN_TOKENS_BUCKETS = {
        0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.059, 0.065, 0.08, 0.1, 0.2, 0.5, 1, 5
    };

    private static final double[] CALL_BUCKETS = {
        0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1, 5, 30
    };

    private final PrometheusRegistry registry;
    private final Counter requests;
    private final Counter refusals;
    private final Counter attempts;
    private final Counter retries;
    private final Histogram firstToken;
    private final Histogram betweenTokens;
    private final Histogram serviceCall;

    private EntryMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        requests = counter("requests_total", "Online requests that were admitted.", "kind");
        refusals = counter("refusals_total", "Requests that ended with an error.", "code");
        attempts = counter("attempts_total", "Attempts at targets.", "outcome");
        retries = counter("retries_total", "Attempts after the first, or denied.", "result");
        firstToken =
                histogram(
                        "time_to_first_token_seconds",
                        "Time from the request to its first output.",
                        "model",
                        FIRST_TOKEN_BUCKETS);
        betweenTokens =
                histogram(
                        "time_between_tokens_seconds",
                        "Time between two tokens of a stream.",
                        "model",
                        BETWEEN_TOKENS_BUCKETS);
        serviceCall =
                histogram(
                        "service_call_seconds",
                        "Time of a call of a plain service.",
                        "service",
                        CALL_BUCKETS);
    }

    /** Creates the metrics in a registry. */
    public static EntryMetrics create(PrometheusRegistry registry) {
        return new EntryMetrics(registry);
    }

    /** Registers a value that is read at each scrape. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Counts an admitted request of a kind. */
    public void countRequest(String kind) {
        requests.labelValues(kind).inc();
    }

    /** Counts a request that ended with an error. */
    public void countRefusal(ResultCode code) {
        refusals.labelValues(code.wireName()).inc();
    }

    /** Counts an attempt by its outcome. */
    public void countAttempt(Enum<?> outcome) {
        attempts.labelValues(outcome.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a retry that was made or that the budget denied. */
    public void countRetry(boolean permitted) {
        retries.labelValues(permitted ? "made" : "denied").inc();
    }

    /** Records the duration of a service call. */
    public void observeServiceCall(String service, long nanos) {
        serviceCall.labelValues(service).observe(nanos / NANOS_PER_SECOND);
    }

    /** Returns a recorder for the times of one stream. */
    public StreamTimes streamTimes(String model) {
        return new StreamTimes(firstToken.labelValues(model), betweenTokens.labelValues(model));
    }

    /** Records the times of the tokens of one stream. Not thread-safe. */
    public static final class StreamTimes {

        private final DistributionDataPoint firstToken;
        private final DistributionDataPoint betweenTokens;
        private boolean started;
        private long lastNanos;

        private StreamTimes(DistributionDataPoint firstToken, DistributionDataPoint betweenTokens) {
            this.firstToken = firstToken;
            this.betweenTokens = betweenTokens;
        }

        /**
         * Records output.
         *
         * @param requestNanos monotonic time of the request
         * @param nowNanos monotonic time of the output
         * @param tokens number of tokens in the output
         */
        public void recordOutput(long requestNanos, long nowNanos, int tokens) {
            if (!started) {
                firstToken.observe((nowNanos - requestNanos) / NANOS_PER_SECOND);
            } else if (tokens > 0) {
                betweenTokens.observe((nowNanos - lastNanos) / NANOS_PER_SECOND / tokens);
            }
            started = true;
            lastNanos = nowNanos;
        }
    }

    private Counter counter(String name, String help, String label) {
        return Counter.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(label)
                .register(registry);
    }

    private Histogram histogram(String name, String help, String label, double[] buckets) {
        return Histogram.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(label)
                .classicOnly()
                .classicUpperBounds(buckets)
                .register(registry);
    }
}
