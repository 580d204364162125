package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fuchsiaspindle.core.batch.LeaseObserver;

/**
 * Determines which processes are alive from the lease renewals in the store.
 *
 * <p>A process counts as lost if its row names another incarnation, is missing, or was not renewed
 * for the lease duration, during which the store was read without a gap. Wall-clock time is not
 * used. Not thread-safe.
 */
public final class OwnerLiveness {

    /** The lease duration; a process that does not renew its row for longer counts as lost. */
    static final Duration LEASE = Duration.ofMillis(3500);

    /**
     * The longest gap between two reads after which a missing renewal still counts against the
     * lease.
     */
    static final Duration MAX_READ_GAP = Duration.ofMillis(2500);

    /**
     * The lease row of a process.
     *
     * @param incarnation the incarnation of the process that renewed it last
     * @param version the row version of the last renewal
     */
    public record Renewal(String incarnation, long version) {

        /** Validates the components. */
        public Renewal {
            checkNotNull(incarnation, "incarnation");
        }
    }

    private record ProcessState(String incarnation, boolean expired) {}

    private final LeaseObserver leases = new LeaseObserver(LEASE, MAX_READ_GAP);
    private final Map<String, ProcessState> processes = new HashMap<>();
    private boolean hasRead;

    /** Creates an instance that has read no rows. */
    public OwnerLiveness() {}

    /** Records the lease rows of all processes by address, as read at a monotonic time. */
    public void update(Map<String, Renewal> rows, long nowNanos) {
        for (String ip : processes.keySet()) {
            if (!rows.containsKey(ip)) {
                leases.forget(ip);
            }
        }
        processes.clear();
        // All row versions come from one counter, so a new incarnation also has a new version.
        rows.forEach(
                (ip, renewal) ->
                        processes.put(
                                ip,
                                new ProcessState(
                                        renewal.incarnation(),
                                        leases.isExpired(ip, renewal.version(), nowNanos))));
        hasRead = true;
    }

    /**
     * Returns whether an owner is known to be lost; false for any owner before the first read,
     * except {@link JobOwner#NONE}.
     */
    public boolean isLost(JobOwner owner) {
        if (owner.equals(JobOwner.NONE)) {
            return true;
        }
        if (!hasRead) {
            return false;
        }
        ProcessState process = processes.get(owner.ip());
        return process == null
                || !process.incarnation().equals(owner.incarnation())
                || process.expired();
    }

    /** Returns the addresses of the processes that were alive at the last read. */
    public Set<String> liveIps() {
        return Set.copyOf(Maps.filterValues(processes, process -> !process.expired()).keySet());
    }
}
