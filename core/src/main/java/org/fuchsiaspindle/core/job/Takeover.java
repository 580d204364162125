package org.fuchsiaspindle.core.job;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.fuchsiaspindle.core.membership.Rendezvous;

/**
 * Decides when this process takes over a job whose owner is lost.
 *
 * <p>The live processes are ranked for each job by rendezvous hashing. The first takes the job over
 * at once; each of the others waits a time that grows with its rank, so that the job is taken over
 * even if the processes ranked before it fail to do so.
 */
public final class Takeover {

    /** Delay per rank. */
    private static final Duration RANK_DELAY = Duration.ofMillis(1200);

    private Takeover() {}

    /**
     * Returns whether this process should take over a job now.
     *
     * @param jobId the identifier of the job
     * @param ownIp the address of this process
     * @param liveIps the addresses of all live processes
     * @param orphanedFor how long the job has been known to have no live owner
     */
    public static boolean isDue(
            String jobId, String ownIp, Collection<String> liveIps, Duration orphanedFor) {
        Set<String> candidates = new HashSet<>(liveIps);
        candidates.add(ownIp);
        int rank = Rendezvous.lowest(jobId, candidates, candidates.size()).indexOf(ownIp);
        return orphanedFor.compareTo(RANK_DELAY.multipliedBy(rank)) >= 0;
    }
}
