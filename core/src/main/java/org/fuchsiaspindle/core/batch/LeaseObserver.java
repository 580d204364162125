package org.fuchsiaspindle.core.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects by this process's monotonic clock when the session of another lease holder has expired.
 * Not thread-safe.
 */
public final class LeaseObserver {

    private static final int MAX_SESSIONS = 4096;

    private final long leaseNanos;
    private final long maxGapNanos;
    private final Map<String, Observation> observations = new HashMap<>();

    private record Observation(long version, long firstNanos, long lastNanos) {}

    /**
     * Creates an observer of the sessions of segment holders, with the durations of {@link
     * BatchLimits}.
     */
    public LeaseObserver() {
        this(BatchLimits.LEASE_DURATION, BatchLimits.HOLDER_VALIDITY);
    }

    /**
     * Creates an observer.
     *
     * @param lease a session whose row has not changed for this long is expired
     * @param maxGap an observation restarts after a longer gap between two reads: while the table
     *     service is down a holder cannot renew, so time without a successful read is no evidence
     *     of expiry
     */
    public LeaseObserver(Duration lease, Duration maxGap) {
        this.leaseNanos = lease.toNanos();
        this.maxGapNanos = maxGap.toNanos();
    }

    /**
     * Records the version of a session's row.
     *
     * @param session key of the session's row
     * @param version its version
     * @param nowNanos monotonic time at which the read was sent
     * @return true if the session has not changed for the duration of a lease
     */
    public boolean isExpired(String session, long version, long nowNanos) {
        Observation last = observations.get(session);
        if (last == null
                || last.version() != version
                || nowNanos - last.lastNanos() > maxGapNanos) {
            if (observations.size() >= MAX_SESSIONS) {
                observations.clear();
            }
            observations.put(session, new Observation(version, nowNanos, nowNanos));
            return false;
        }
        observations.put(session, new Observation(version, last.firstNanos(), nowNanos));
        return nowNanos - last.firstNanos() >= leaseNanos;
    }

    /** Discards the observation of a session that has ended. */
    public void forget(String session) {
        observations.remove(session);
    }
}
