package org.fuchsiaspindle.gateway.telemetry;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one line for each decision that ends or moves a request, up to a number of lines a second.
 *
 * <p>Thread-safe. Lines beyond the limit are counted, and the count is written once a second.
 */
public final class DecisionLog {

    private static final Logger LOG = LoggerFactory.getLogger(DecisionLog.class);

    /** Lines of one second after which further ones are only counted. */
    private static final int MAX_LINES_PER_SECOND = 100;

    private static final Object LOCK = new Object();
    private static long second;
    private static int lines;
    private static int suppressed;

    private DecisionLog() {}

    /** Writes what became of an online request. */
    public static void online(
            String id,
            String route,
            String service,
            String target,
            String outcome,
            String reason,
            int attempts,
            long elapsedMillis) {
        if (admit()) {
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

    /** Writes what became of a batch job or one of its items. */
    public static void batch(String job, String item, String outcome, String reason) {
        if (admit()) {
            LOG.info("batch: job={} item={} outcome={} reason={}", job, item, outcome, reason);
        }
    }

    private static boolean admit() {
        synchronized (LOCK) {
            long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
            if (now != second) {
                if (suppressed > 0) {
                    LOG.info("log: lines left out in the last busy second count={}", suppressed);
                }
                second = now;
                lines = 0;
                suppressed = 0;
            }
            if (lines >= MAX_LINES_PER_SECOND) {
                suppressed++;
                return false;
            }
            lines++;
            return true;
        }
    }
}
