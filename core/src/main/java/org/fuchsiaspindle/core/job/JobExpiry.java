package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.fuchsiaspindle.core.membership.Rendezvous;

/**
 * Decides when a job is deleted from the store, and by which process.
 *
 * <p>Without deletion, results fill the store within minutes of a usual load. Pure functions;
 * thread-safe.
 */
public final class JobExpiry {

    /**
     * Multiple of the time for which results must be readable after which a job is deleted; clocks
     * differ, and a client may read late.
     */
    private static final int RETENTION_FACTOR = 2;

    private JobExpiry() {}

    /**
     * Returns whether a job may be deleted: it is closed, and its results were readable for long
     * enough.
     *
     * @param job the job, not null
     * @param age the time since it was accepted, not null
     * @param readableFor the time after acceptance for which its results must be readable, not null
     */
    public static boolean isDue(JobRecord job, Duration age, Duration readableFor) {
        checkNotNull(age, "age");
        return !job.isOpen() && age.compareTo(readableFor.multipliedBy(RETENTION_FACTOR)) > 0;
    }

    /**
     * Returns whether this process deletes a job, so that mostly one does; several do no harm.
     *
     * @param jobId the identifier of the job
     * @param ownIp the address of this process
     * @param peerIps the addresses of the other processes that reach the store
     */
    public static boolean isResponsible(String jobId, String ownIp, Collection<String> peerIps) {
        Set<String> candidates = new HashSet<>(peerIps);
        candidates.add(ownIp);
        return Rendezvous.lowest(jobId, candidates, 1).getFirst().equals(ownIp);
    }
}
