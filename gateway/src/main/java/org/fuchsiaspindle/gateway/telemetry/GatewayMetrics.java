package org.fuchsiaspindle.gateway.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.fuchsiaspindle.core.error.ResultCode;

/** The Prometheus metrics of a gateway; thread-safe. */
public final class GatewayMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Histogram latency =
            Histogram.builder()
                    .name("fuchsiaspindle_request_seconds")
                    .help("Time from the head of a request to the end of its answer.")
                    .labelNames("route")
                    .classicOnly()
                    .classicUpperBounds(0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5)
                    .register(registry);
    private final Counter refusals =
            Counter.builder()
                    .name("fuchsiaspindle_refusals_total")
                    .help("Requests that were refused before they ran.")
                    .labelNames("code")
                    .register(registry);
    private final Counter keyRejections =
            Counter.builder()
                    .name("fuchsiaspindle_key_rejections_total")
                    .help("Requests that were refused for their key, by the reason.")
                    .labelNames("cause")
                    .register(registry);
    private final Counter items =
            Counter.builder()
                    .name("fuchsiaspindle_batch_items_total")
                    .help("Batch items by what became of them.")
                    .labelNames("outcome")
                    .register(registry);

    private final Counter controlMessages =
            Counter.builder()
                    .name("fuchsiaspindle_control_messages_total")
                    .help("Messages sent to other gateways.")
                    .labelNames("kind")
                    .register(registry);
    private final Counter controlBytes =
            Counter.builder()
                    .name("fuchsiaspindle_control_bytes_total")
                    .help("Bytes of the messages sent to other gateways, without framing.")
                    .labelNames("kind")
                    .register(registry);
    private final Counter peers =
            Counter.builder()
                    .name("fuchsiaspindle_peer_events_total")
                    .help("Events on connections to other gateways.")
                    .labelNames("event")
                    .register(registry);
    private final Counter slots =
            Counter.builder()
                    .name("fuchsiaspindle_slot_events_total")
                    .help("Requests for slots, and what came of them.")
                    .labelNames("event")
                    .register(registry);

    private final Histogram workEstimates =
            Histogram.builder()
                    .name("fuchsiaspindle_work_estimate_ratio")
                    .help("Time that requests took on their targets, relative to the estimate.")
                    .classicOnly()
                    .classicUpperBounds(0.25, 0.5, 0.8, 1.25, 2, 4)
                    .register(registry);

    private final Counter prompts =
            Counter.builder()
                    .name("fuchsiaspindle_prompt_events_total")
                    .help("Events about prompt parts that crash targets.")
                    .labelNames("event")
                    .register(registry);

    private final Counter answers =
            Counter.builder()
                    .name("fuchsiaspindle_target_answer_events_total")
                    .help("Answers of targets that did not follow their requests as they must.")
                    .labelNames("event")
                    .register(registry);

    private final Counter targetSilences =
            Counter.builder()
                    .name("fuchsiaspindle_target_silence_events_total")
                    .help("Targets found silent, heard again, and calls that stalled alone.")
                    .labelNames("event")
                    .register(registry);

    private final Counter limits =
            Counter.builder()
                    .name("fuchsiaspindle_limit_events_total")
                    .help("Requests under limits of workspaces, and what came of them.")
                    .labelNames("event")
                    .register(registry);

    /** Creates metrics in a new registry. */
    public GatewayMetrics() {}

    /** Records the latency of a completed request, in nanoseconds. */
    public void recordLatency(String route, long nanos) {
        latency.labelValues(route).observe(nanos / NANOS_PER_SECOND);
    }

    /** Counts a request that was refused without being executed. */
    public void countRefusal(ResultCode code) {
        refusals.labelValues(code.name()).inc();
    }

    /** Counts a request that was refused for its key, also among all refusals. */
    public void countKeyRejection(KeyRejection cause) {
        keyRejections.labelValues(cause.label()).inc();
        countRefusal(ResultCode.INVALID_KEY);
    }

    /** Counts a batch item with an outcome. */
    public void countItem(String outcome) {
        items.labelValues(outcome).inc();
    }

    /** Counts a message to another gateway. */
    public void countControlMessage(String kind, int bytes) {
        controlMessages.labelValues(kind).inc();
        controlBytes.labelValues(kind).inc(bytes);
    }

    /** Counts an event on a connection to another gateway. */
    public void countPeerEvent(String event) {
        peers.labelValues(event).inc();
    }

    /** Counts an event on a slot or on a request for one. */
    public void countSlotEvent(String event) {
        slots.labelValues(event).inc();
    }

    /** Records how long a request took on its target, relative to the estimate. */
    public void recordWorkEstimate(double ratio) {
        workEstimates.observe(ratio);
    }

    /** Counts an event about prompt parts that crash targets. */
    public void countPromptEvent(String event) {
        prompts.labelValues(event).inc();
    }

    /** Counts an event about answers that did not follow their requests as they must. */
    public void countAnswerEvent(String event) {
        answers.labelValues(event).inc();
    }

    /** Counts a target that was found silent or heard again, or a call that stalled alone. */
    public void countTargetSilence(String event) {
        targetSilences.labelValues(event).inc();
    }

    /** Counts an event on a request under the limit of its workspace. */
    public void countLimitEvent(String event) {
        limits.labelValues(event).inc();
    }

    /**
     * Sets the source of the number of targets that accept new requests; read on the thread that
     * serves the metrics.
     */
    public void observeTargets(IntSupplier targets) {
        GaugeWithCallback.builder()
                .name("fuchsiaspindle_targets")
                .help("Targets that accept new requests.")
                .callback(callback -> callback.call(targets.getAsInt()))
                .register(registry);
    }

    /**
     * Sets the sources of the size of the batch items in memory and of the number of own jobs that
     * wait for memory; read on the thread that serves the metrics.
     */
    public void observeItemMemory(LongSupplier bytes, IntSupplier waitingJobs) {
        GaugeWithCallback.builder()
                .name("fuchsiaspindle_batch_item_bytes")
                .help("Bytes of the batch items in memory.")
                .callback(callback -> callback.call(bytes.getAsLong()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("fuchsiaspindle_batch_jobs_waiting_for_memory")
                .help("Own batch jobs that are not in memory yet.")
                .callback(callback -> callback.call(waitingJobs.getAsInt()))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return out.toByteArray();
    }
}
