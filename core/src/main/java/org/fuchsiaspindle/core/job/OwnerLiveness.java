package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Judges from the renewals in the store which processes live.
 *
 * <p>A process counts as lost if its row names another incarnation, is missing, or was not renewed
 * for a while in which the store was read without a gap. Wall time plays no part. Not thread-safe.
 */
public final class OwnerLiveness {

    /** A process that has not renewed its row for longer counts as lost. */
    static final Duration LEASE = Duration.ofMillis(3500);

    /** A longer gap between two reads proves nothing of the time in between. */
    static final Duration MAX_READ_GAP = Duration.ofMillis(2500);

    /**
     * The row of a process.
     *
     * @param incarnation the life of the process that renewed it last
     * @param version the version of the last renewal
     */
    public record Renewal(String incarnation, long version) {

        /** Checks the arguments. */
        public Renewal {
            checkNotNull(incarnation, "incarnation");
        }
    }

    private record Seen(Renewal renewal, long changedNanos) {}

    private final Map<String, Seen> seen = new HashMap<>();
    private boolean readBefore;
    private long lastReadNanos;

    /** Creates a judge that has read nothing. */
    public OwnerLiveness() {}

    /** Notes the rows of all processes by address, as read at a monotonic time. */
    public void read(Map<String, Renewal> rows, long nowNanos) {
        boolean gap = readBefore && nowNanos - lastReadNanos > MAX_READ_GAP.toNanos();
        seen.keySet().retainAll(rows.keySet());
        rows.forEach(
                (ip, renewal) -> {
                    Seen before = seen.get(ip);
                    if (before == null || gap || !before.renewal().equals(renewal)) {
                        seen.put(ip, new Seen(renewal, nowNanos));
                    }
                });
        readBefore = true;
        lastReadNanos = nowNanos;
    }

    /** Returns whether an owner is known to be lost. */
    public boolean isLost(JobOwner owner) {
        if (owner.equals(JobOwner.NONE)) {
            return true;
        }
        if (!readBefore) {
            return false;
        }
        Seen row = seen.get(owner.ip());
        return row == null
                || !row.renewal().incarnation().equals(owner.incarnation())
                || lastReadNanos - row.changedNanos() > LEASE.toNanos();
    }

    /** Returns the addresses of the processes that live as of the last read. */
    public Set<String> livingIps() {
        ImmutableSet.Builder<String> living = ImmutableSet.builder();
        seen.forEach(
                (ip, row) -> {
                    if (lastReadNanos - row.changedNanos() <= LEASE.toNanos()) {
                        living.add(ip);
                    }
                });
        return living.build();
    }
}
