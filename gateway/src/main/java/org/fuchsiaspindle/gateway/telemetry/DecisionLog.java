package org.fuchsiaspindle.gateway.telemetry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.limit.LimitRefusal;
import org.fuchsiaspindle.core.limit.VersionedLimit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each decision on a request, a job or an item, and each irregular answer of a target, in one
 * line, with a rate limit.
 *
 * <p>Lines beyond the limit are only counted; the count is logged before the first line of a later
 * second. Thread-safe.
 */
public final class DecisionLog {

    private static final Logger LOG = LoggerFactory.getLogger(DecisionLog.class);

    /** Maximum number of lines per second. */
    private static final int MAX_LINES_PER_SECOND = 100;

    private static final Object LOCK = new Object();
    private static long currentSecond;
    private static int linesThisSecond;
    private static int suppressedLines;

    private DecisionLog() {}

    /** Logs the outcome of an online request or of one of its attempts. */
    public static void online(
            String id,
            String route,
            String service,
            String target,
            String outcome,
            String reason,
            int attempts,
            long elapsedMillis) {
        if (tryAcquireLine()) {
            LOG.info(
                    "online: request={} route={} service={} target={} outcome={} reason={}"
                            + " attempts={} elapsed={}ms",
                    id,
                    route,
                    service,
                    target,
                    outcome,
                    reason,
                    attempts,
                    elapsedMillis);
        }
    }

    /** Logs that a request got no permit under the limit of its workspace. */
    public static void limited(
            String id, String workspace, Optional<VersionedLimit> limit, LimitRefusal refusal) {
        if (tryAcquireLine()) {
            LOG.info(
                    "limit: request={} workspace={} cause={} rate={} burst={} config={}"
                            + " granter={} share={} answer_age={}ms retry_after={}ms",
                    id,
                    workspace,
                    refusal.cause(),
                    limit.map(known -> known.limit().requestsPerSecond()).orElse(0.0),
                    limit.map(known -> known.limit().burst()).orElse(0.0),
                    limit.map(VersionedLimit::version).orElse(0L),
                    refusal.granter(),
                    refusal.share(),
                    refusal.grantAge().toMillis(),
                    refusal.retryAfter().toMillis());
        }
    }

    /** Logs the outcome of a batch job or of one of its items; the item is a dash for a job. */
    public static void batch(String job, String item, String outcome, String reason) {
        if (tryAcquireLine()) {
            LOG.info("batch: job={} item={} outcome={} reason={}", job, item, outcome, reason);
        }
    }

    /**
     * Logs an irregularity in the exchange of one request with a target.
     *
     * @param message what happened, with a placeholder for each field
     * @param fields the values of the fields, in order
     */
    public static void target(String message, Object... fields) {
        if (tryAcquireLine()) {
            LOG.info("target: " + message, fields);
        }
    }

    private static boolean tryAcquireLine() {
        synchronized (LOCK) {
            long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
            if (now != currentSecond) {
                if (suppressedLines > 0) {
                    LOG.info(
                            "log: lines left out in the last busy second count={}",
                            suppressedLines);
                }
                currentSecond = now;
                linesThisSecond = 0;
                suppressedLines = 0;
            }
            if (linesThisSecond >= MAX_LINES_PER_SECOND) {
                suppressedLines++;
                return false;
            }
            linesThisSecond++;
            return true;
        }
    }
}
