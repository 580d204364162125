package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which jobs of a process are in memory and which wait until there is room for them.
 *
 * <p>A process may own more jobs than its memory holds, for example after it has taken over those
 * of all others. The jobs that are due first are loaded first; the others stay in the store, which
 * has them anyway. Not thread-safe.
 */
public final class JobLoadQueue {

    private record Waiting(String id, long dueMillis) {}

    private static final Comparator<Waiting> FIRST_DUE =
            Comparator.comparingLong(Waiting::dueMillis).thenComparing(Waiting::id);

    private final long maxBytes;
    private final long maxJobBytes;
    private final int maxLoads;
    private final Map<String, Waiting> waitingById = new HashMap<>();
    private final TreeSet<Waiting> waiting = new TreeSet<>(FIRST_DUE);
    private final Set<String> loading = new HashSet<>();
    private final Map<String, Long> bytesByHeldJob = new HashMap<>();
    private long heldBytes;

    private JobLoadQueue(long maxBytes, long maxJobBytes, int maxLoads) {
        this.maxBytes = maxBytes;
        this.maxJobBytes = maxJobBytes;
        this.maxLoads = maxLoads;
    }

    /**
     * Creates an empty queue.
     *
     * @param maxBytes the size of all jobs in memory, in bytes; if it is less than that of one job,
     *     one is held at a time
     * @param maxJobBytes the largest size of one job, in bytes, positive; reserved while a job is
     *     loaded, because its size is not known before
     * @param maxLoads the number of jobs that are loaded at a time, positive
     */
    public static JobLoadQueue create(long maxBytes, long maxJobBytes, int maxLoads) {
        checkArgument(maxJobBytes > 0, "job size not positive: %s", maxJobBytes);
        checkArgument(maxLoads > 0, "number of loads not positive: %s", maxLoads);
        return new JobLoadQueue(maxBytes, maxJobBytes, maxLoads);
    }

    /** Returns whether a job waits or is being loaded. */
    public boolean isPending(String id) {
        return waitingById.containsKey(id) || loading.contains(id);
    }

    /** Returns the number of jobs that wait. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns the size of the jobs in memory, in bytes. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Adds a job that must be loaded; no effect if it is pending. */
    public void add(String id, long dueMillis) {
        checkNotNull(id, "id");
        if (!isPending(id)) {
            Waiting entry = new Waiting(id, dueMillis);
            waitingById.put(id, entry);
            waiting.add(entry);
        }
    }

    /**
     * Holds a job that is in memory already, unless jobs wait or there is no room.
     *
     * @return whether the job is held; otherwise it must be added and loaded later
     */
    public boolean tryHold(String id, long bytes) {
        if (!waiting.isEmpty() || !hasRoom(bytes)) {
            return false;
        }
        hold(id, bytes);
        return true;
    }

    /** Returns the next job to load, empty if none waits or none may be loaded now. */
    public Optional<String> poll() {
        if (waiting.isEmpty() || loading.size() >= maxLoads || !hasRoom(maxJobBytes)) {
            return Optional.empty();
        }
        String id = waiting.pollFirst().id();
        waitingById.remove(id);
        loading.add(id);
        return Optional.of(id);
    }

    /** Records that a job which is being loaded is in memory. */
    public void loaded(String id, long bytes) {
        if (loading.remove(id)) {
            hold(id, bytes);
        }
    }

    /** Forgets a job in any state, for example because it has ended or has another owner. */
    public void remove(String id) {
        Waiting entry = waitingById.remove(id);
        if (entry != null) {
            waiting.remove(entry);
        }
        loading.remove(id);
        Long bytes = bytesByHeldJob.remove(id);
        heldBytes -= bytes == null ? 0 : bytes;
    }

    private void hold(String id, long bytes) {
        Long previous = bytesByHeldJob.put(id, bytes);
        heldBytes += bytes - (previous == null ? 0 : previous);
    }

    private boolean hasRoom(long bytes) {
        long reserved = loading.size() * maxJobBytes;
        boolean isEmpty = heldBytes + reserved == 0;
        return isEmpty || heldBytes + reserved + bytes <= maxBytes;
    }
}
