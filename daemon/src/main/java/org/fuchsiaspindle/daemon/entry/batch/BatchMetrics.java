package org.fuchsiaspindle.daemon.entry.batch;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the batch component. Thread-safe. */
final class BatchMetrics {

    private final Counter dispatched;
    private final Counter finished;
    private final Counter claims;
    private final Counter commits;
    private final Counter jobsEnded;
    private final Gauge held;
    private final Gauge outstanding;
    private final Gauge unsavedBytes;
    private final Gauge jobsAtRisk;
    private final Gauge directoryAge;

    BatchMetrics(PrometheusRegistry registry) {
        dispatched =
                counter("fuchsiaspindle_batch_items_dispatched", "Items sent to agents.", registry);
        finished =
                Counter.builder()
                        .name("fuchsiaspindle_batch_items_finished")
                        .help("Items that got their record.")
                        .labelNames("result")
                        .register(registry);
        claims =
                Counter.builder()
                        .name("fuchsiaspindle_batch_claims")
                        .help("Attempts to claim a segment.")
                        .labelNames("outcome")
                        .register(registry);
        commits =
                Counter.builder()
                        .name("fuchsiaspindle_batch_commits")
                        .help("Attempts to commit a segment.")
                        .labelNames("outcome")
                        .register(registry);
        jobsEnded =
                Counter.builder()
                        .name("fuchsiaspindle_batch_jobs_ended")
                        .help("Jobs that this entry ended.")
                        .labelNames("status")
                        .register(registry);
        held = gauge("fuchsiaspindle_batch_segments_held", "Segments leased.", registry);
        outstanding = gauge("fuchsiaspindle_batch_items_outstanding", "Items at agents.", registry);
        unsavedBytes =
                gauge("fuchsiaspindle_batch_unsaved_bytes", "Results not stored yet.", registry);
        jobsAtRisk =
                gauge(
                        "fuchsiaspindle_batch_jobs_at_risk",
                        "Open jobs that may miss their deadline.",
                        registry);
        directoryAge =
                gauge(
                        "fuchsiaspindle_batch_directory_age_seconds",
                        "Time since the list of open jobs was confirmed.",
                        registry);
    }

    void itemsDispatched(int items) {
        dispatched.inc(items);
    }

    void itemFinished(String result) {
        finished.labelValues(result).inc();
    }

    void claim(String outcome) {
        claims.labelValues(outcome).inc();
    }

    void commit(String outcome) {
        commits.labelValues(outcome).inc();
    }

    void jobEnded(String status) {
        jobsEnded.labelValues(status).inc();
    }

    void observe(int segments, int items, long bytes, int atRisk, double ageSeconds) {
        held.set(segments);
        outstanding.set(items);
        unsavedBytes.set(bytes);
        jobsAtRisk.set(atRisk);
        directoryAge.set(ageSeconds);
    }

    private static Counter counter(String name, String help, PrometheusRegistry registry) {
        return Counter.builder().name(name).help(help).register(registry);
    }

    private static Gauge gauge(String name, String help, PrometheusRegistry registry) {
        return Gauge.builder().name(name).help(help).register(registry);
    }
}
