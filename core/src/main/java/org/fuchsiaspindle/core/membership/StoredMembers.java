package org.fuchsiaspindle.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The processes of a fleet as their rows in the store show them.
 *
 * <p>Each process renews its row. A row that is renewed between two reads belongs to a process that
 * is alive; one that is not may be left over, or belong to a process that only the store cannot be
 * reached from. Wall-clock time is not used. Not thread-safe; times are monotonic nanoseconds.
 */
public final class StoredMembers {

    /** Time between the first two reads, in which each live process renews its row. */
    public static final Duration CONFIRMATION_TIME = Duration.ofMillis(1200);

    private static final Duration ALONE_INTERVAL = Duration.ofSeconds(3);
    private static final Duration MIN_INTERVAL = Duration.ofSeconds(20);
    private static final Duration INTERVAL_PER_MEMBER = Duration.ofMillis(500);

    private final Map<String, Member> members = new HashMap<>();
    private int reads;
    private long readNanos;

    /** A row, and when a read last showed that it was renewed; empty if none did. */
    private record Member(long version, long firstReadNanos, Optional<Long> renewedNanos) {}

    /** Creates an instance that has read nothing. */
    public StoredMembers() {}

    /**
     * Records a read of all rows.
     *
     * @param versions the version of the row of each process, by address; not null
     * @param nowNanos the time
     */
    public void update(Map<String, Long> versions, long nowNanos) {
        checkNotNull(versions, "versions");
        if (reads > 0 && nowNanos - readNanos < CONFIRMATION_TIME.toNanos()) {
            return;
        }
        members.keySet().retainAll(versions.keySet());
        versions.forEach((ip, version) -> update(ip, version, nowNanos));
        reads++;
        readNanos = nowNanos;
    }

    private void update(String ip, long version, long now) {
        Member known = members.get(ip);
        if (known == null) {
            boolean written = reads > 0;
            members.put(
                    ip, new Member(version, now, written ? Optional.of(now) : Optional.empty()));
        } else if (known.version() != version) {
            members.put(ip, new Member(version, known.firstReadNanos(), Optional.of(now)));
        }
    }

    /** Returns whether the reads so far tell which processes are alive. */
    public boolean isConfirmed() {
        return reads > 1;
    }

    /**
     * Returns whether no further live process can have a row: those that are heard have all rows,
     * or it is known which rows are left over.
     *
     * @param heard the processes that are known to be alive, by address
     */
    public boolean isComplete(Collection<String> heard) {
        return isConfirmed() || reads == 1 && heard.containsAll(members.keySet());
    }

    /** Returns the processes whose rows were renewed not longer ago than a time. */
    public ImmutableSet<String> renewedWithin(Duration time, long nowNanos) {
        return select(member -> isWithin(member.renewedNanos(), time, nowNanos));
    }

    /**
     * Returns the processes whose rows were renewed or first seen not longer ago than a time: all
     * that may be alive.
     */
    public ImmutableSet<String> presentWithin(Duration time, long nowNanos) {
        return select(
                member ->
                        isWithin(member.renewedNanos(), time, nowNanos)
                                || isWithin(Optional.of(member.firstReadNanos()), time, nowNanos));
    }

    private ImmutableSet<String> select(Predicate<Member> condition) {
        ImmutableSet.Builder<String> selected = ImmutableSet.builder();
        members.forEach(
                (ip, member) -> {
                    if (condition.test(member)) {
                        selected.add(ip);
                    }
                });
        return selected.build();
    }

    private static boolean isWithin(Optional<Long> nanos, Duration time, long now) {
        return nanos.isPresent() && now - nanos.get() < time.toNanos();
    }

    /**
     * Returns whether the rows should be read again.
     *
     * @param readStartNanos when the last read began
     * @param alone whether no other process is heard
     * @param nowNanos the time
     */
    public boolean isReadDue(long readStartNanos, boolean alone, long nowNanos) {
        if (nowNanos - readStartNanos < interval(alone).toNanos()) {
            return false;
        }
        // The second answer must come late enough after the first one, which may have taken long.
        return reads != 1 || nowNanos - readNanos >= CONFIRMATION_TIME.toNanos();
    }

    /**
     * Returns the time from one read to the next, which grows with the fleet, so that the reads of
     * all processes together do not.
     */
    private Duration interval(boolean alone) {
        if (!isConfirmed()) {
            return CONFIRMATION_TIME;
        }
        if (alone) {
            return ALONE_INTERVAL;
        }
        Duration bySize = INTERVAL_PER_MEMBER.multipliedBy(members.size());
        return bySize.compareTo(MIN_INTERVAL) > 0 ? bySize : MIN_INTERVAL;
    }
}
