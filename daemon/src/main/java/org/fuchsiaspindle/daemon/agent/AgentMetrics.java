package org.fuchsiaspindle.daemon.agent;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.fuchsiaspindle.core.admission.AdmissionLoad;
import org.fuchsiaspindle.core.admission.Decision;
import org.fuchsiaspindle.core.error.ResultCode;

/** Metrics of an agent. Thread-safe. */
final class AgentMetrics {

    private static final AdmissionLoad NO_LOAD = new AdmissionLoad(0, 0, 0, 0, 0, 0, 0, 0);

    private final Counter starts;
    private final Counter preemptions;
    private final Counter refusals;
    private final Counter tokens;
    private volatile AdmissionLoad load = NO_LOAD;

    private AgentMetrics(PrometheusRegistry registry) {
        starts =
                Counter.builder()
                        .name("fuchsiaspindle_agent_starts_total")
                        .help("Streams and calls sent to the target.")
                        .labelNames("kind")
                        .register(registry);
        preemptions =
                Counter.builder()
                        .name("fuchsiaspindle_agent_preemptions_total")
                        .help("Batch streams cancelled to make room for online requests.")
                        .register(registry);
        tokens =
                Counter.builder()
                        .name("fuchsiaspindle_agent_tokens_total")
                        .help("Output tokens read from the engine.")
                        .register(registry);
        refusals =
                Counter.builder()
                        .name("fuchsiaspindle_agent_refusals_total")
                        .help("Online requests answered with a refusal.")
                        .labelNames("code")
                        .register(registry);
        gauge(
                registry,
                "online_running",
                "Online requests at the target.",
                AdmissionLoad::onlineRunning);
        gauge(
                registry,
                "online_waiting",
                "Online requests that wait.",
                AdmissionLoad::onlineWaiting);
        gauge(registry, "batch_running", "Batch items at the target.", AdmissionLoad::batchRunning);
        gauge(registry, "batch_waiting", "Batch items in reserve.", AdmissionLoad::batchWaiting);
        gauge(registry, "limit", "Streams that may run at a time.", AdmissionLoad::limit);
        gauge(registry, "headroom", "Slots kept free of batch items.", AdmissionLoad::headroom);
        gauge(
                registry,
                "step_seconds",
                "Time between tokens, 90th percentile.",
                state -> (double) state.stepNanos() / TimeUnit.SECONDS.toNanos(1));
    }

    /** Creates the metrics in a registry. */
    static AgentMetrics create(PrometheusRegistry registry) {
        return new AgentMetrics(registry);
    }

    /** Publishes the state of the queues. */
    void publish(AdmissionLoad value) {
        load = value;
    }

    void countDecision(Decision decision, Work work) {
        switch (decision) {
            case Decision.Start start ->
                    starts.labelValues(work instanceof OnlineWork ? "online" : "batch").inc();
            case Decision.Preempt preempt -> preemptions.inc();
            case Decision.Refuse refuse -> {
                // Counted by countRefusal, together with the refusals that bypass the scheduler.
            }
        }
    }

    void countTokens(int count) {
        tokens.inc(count);
    }

    /** Returns the output tokens read so far. */
    long tokens() {
        return tokens.getLongValue();
    }

    void countRefusal(ResultCode code) {
        refusals.labelValues(code.wireName()).inc();
    }

    private void gauge(
            PrometheusRegistry registry,
            String name,
            String help,
            ToDoubleFunction<AdmissionLoad> value) {
        GaugeWithCallback.builder()
                .name("fuchsiaspindle_agent_" + name)
                .help(help)
                .callback(callback -> callback.call(value.applyAsDouble(load)))
                .register(registry);
    }
}
