package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.fuchsiaspindle.core.slot.PoolId;
import org.fuchsiaspindle.core.slot.SlotRequest;
import org.fuchsiaspindle.core.slot.WorkListener;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs, at debug level, why requests of one pool went to their targets, and measures the estimates.
 *
 * <p>Confined to the event loop of the request path.
 */
final class WorkReports implements WorkListener {

    private static final Logger LOG = LoggerFactory.getLogger(WorkReports.class);

    private final PoolId pool;
    private final GatewayMetrics metrics;

    WorkReports(PoolId pool, GatewayMetrics metrics) {
        this.pool = checkNotNull(pool, "pool");
        this.metrics = checkNotNull(metrics, "metrics");
    }

    @Override
    public void onStart(
            SlotRequest request,
            String target,
            Duration expected,
            int readTokens,
            int running,
            double slowness) {
        LOG.debug(
                "slots: chosen pool={} holder={} kind={} prompt={} target={} expected={}ms read={}"
                        + " running={} slowness={}",
                pool,
                request.holder(),
                request.size().kind(),
                request.size().promptTokens(),
                target,
                expected.toMillis(),
                readTokens,
                running,
                slowness);
    }

    @Override
    public void onEnd(Duration expected, Duration held) {
        metrics.recordWorkEstimate((double) held.toNanos() / expected.toNanos());
    }
}
