package org.fuchsiaspindle.core.job;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;

/**
 * Decides when this process takes over a job whose owner is lost.
 *
 * <p>The living processes are ranked for each job. The first takes it at once, the others only
 * after a time that grows with their rank, so that the job is not lost if the first cannot.
 */
public final class Takeover {

    /** Time that a rank leaves to the one before it. */
    private static final Duration RANK_DELAY = Duration.ofMillis(1200);

    private Takeover() {}

    /**
     * Returns whether to take over a job now.
     *
     * @param jobId the job
     * @param ownIp the address of this process
     * @param livingIps the addresses of all living processes
     * @param orphanFor how long the job has been known to have no living owner
     */
    public static boolean isDue(
            String jobId, String ownIp, Collection<String> livingIps, Duration orphanFor) {
        long own = weight(jobId, ownIp);
        long rank =
                livingIps.stream()
                        .filter(ip -> !ip.equals(ownIp))
                        .filter(ip -> weight(jobId, ip) < own)
                        .count();
        return orphanFor.compareTo(RANK_DELAY.multipliedBy(rank)) >= 0;
    }

    private static long weight(String jobId, String ip) {
        return Hashing.murmur3_128().hashString(jobId + '\n' + ip, StandardCharsets.UTF_8).asLong();
    }
}
