package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.membership.Backoff;

/**
 * Decides which jobs of a process are in memory and which wait until there is room for them.
 *
 * <p>A process may own more jobs than its memory holds, for example after it has taken over those
 * of all others. The jobs that are due first are loaded first; the others stay in the store, which
 * has them anyway.
 *
 * <p>All processes may load their jobs at the same time, for example after a restart of the whole
 * fleet, and share the bandwidth of the store. Loads that each get too little of it would all time
 * out and begin again for ever. So a failure halves the number of loads at a time and doubles the
 * time limit of its job, and each success allows one more load again. Not thread-safe.
 */
public final class JobLoadQueue {

    /** Delay before a job whose load failed is loaded again, doubled with each failure. */
    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(100);

    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

    /** Time without progress after which a load has failed, doubled with each failure. */
    private static final Duration FIRST_SILENCE_LIMIT = Duration.ofSeconds(3);

    private static final Duration MAX_SILENCE_LIMIT = Duration.ofSeconds(24);

    private record Waiting(String id, long dueMillis) {}

    /** The failures of a job since it was added, and the earliest time of its next load. */
    private record Failures(int count, long retryAtNanos) {}

    private static final Comparator<Waiting> FIRST_DUE =
            Comparator.comparingLong(Waiting::dueMillis).thenComparing(Waiting::id);

    private final long maxBytes;
    private final long maxJobBytes;
    private final int maxLoads;
    private final Map<String, Waiting> waitingById = new HashMap<>();
    private final TreeSet<Waiting> waiting = new TreeSet<>(FIRST_DUE);
    private final Map<String, Waiting> loading = new HashMap<>();
    private final Map<String, Failures> failuresById = new HashMap<>();
    private final Map<String, Long> bytesByHeldJob = new HashMap<>();
    private int concurrentLoads;
    private long heldBytes;

    private JobLoadQueue(long maxBytes, long maxJobBytes, int maxLoads) {
        this.maxBytes = maxBytes;
        this.maxJobBytes = maxJobBytes;
        this.maxLoads = maxLoads;
        this.concurrentLoads = maxLoads;
    }

    /**
     * Creates an empty queue.
     *
     * @param maxBytes the size of all jobs in memory, in bytes; if it is less than that of one job,
     *     one is held at a time
     * @param maxJobBytes the largest size of one job, in bytes, positive; reserved while a job is
     *     loaded, because its size is not known before
     * @param maxLoads the largest number of jobs that are loaded at a time, positive
     */
    public static JobLoadQueue create(long maxBytes, long maxJobBytes, int maxLoads) {
        checkArgument(maxJobBytes > 0, "job size not positive: %s", maxJobBytes);
        checkArgument(maxLoads > 0, "number of loads not positive: %s", maxLoads);
        return new JobLoadQueue(maxBytes, maxJobBytes, maxLoads);
    }

    /** Returns whether a job waits or is being loaded. */
    public boolean isPending(String id) {
        return waitingById.containsKey(id) || loading.containsKey(id);
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

    /**
     * Returns the next job to load, empty if none waits or none may be loaded now.
     *
     * @param nowNanos the current time, in monotonic nanoseconds
     */
    public Optional<String> poll(long nowNanos) {
        if (loading.size() >= concurrentLoads || !hasRoom(maxJobBytes)) {
            return Optional.empty();
        }
        Optional<Waiting> next =
                waiting.stream().filter(job -> isRetryDue(job.id(), nowNanos)).findFirst();
        next.ifPresent(
                job -> {
                    waiting.remove(job);
                    waitingById.remove(job.id());
                    loading.put(job.id(), job);
                });
        return next.map(Waiting::id);
    }

    private boolean isRetryDue(String id, long nowNanos) {
        Failures failures = failuresById.get(id);
        return failures == null || nowNanos - failures.retryAtNanos() >= 0;
    }

    /** Returns for how long the store may send nothing before the load of a job has failed. */
    public Duration silenceLimit(String id) {
        Failures failures = failuresById.get(id);
        int count = failures == null ? 0 : failures.count();
        return Backoff.bound(count + 1, FIRST_SILENCE_LIMIT, MAX_SILENCE_LIMIT);
    }

    /**
     * Records that a job which is being loaded is in memory.
     *
     * @return false if the job was removed meanwhile, so that it must not be held
     */
    public boolean loaded(String id, long bytes) {
        if (loading.remove(id) == null) {
            return false;
        }
        failuresById.remove(id);
        concurrentLoads = Math.min(maxLoads, concurrentLoads + 1);
        hold(id, bytes);
        return true;
    }

    /**
     * Records that a load failed; the job waits and is loaded again later.
     *
     * @param id the job
     * @param nowNanos the current time, in monotonic nanoseconds
     * @param random spreads the retries of several processes
     * @return the time until the job may be loaded again
     */
    public Duration failed(String id, long nowNanos, RandomGenerator random) {
        Waiting job = loading.remove(id);
        if (job == null) {
            return Duration.ZERO;
        }
        Failures previous = failuresById.get(id);
        int count = previous == null ? 1 : previous.count() + 1;
        Duration maxDelay = Backoff.bound(count, FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        Duration delay = Backoff.jittered(maxDelay, random);
        failuresById.put(id, new Failures(count, nowNanos + delay.toNanos()));
        concurrentLoads = Math.max(1, concurrentLoads / 2);
        waitingById.put(id, job);
        waiting.add(job);
        return delay;
    }

    /** Forgets a job in any state, for example because it has ended or has another owner. */
    public void remove(String id) {
        Waiting entry = waitingById.remove(id);
        if (entry != null) {
            waiting.remove(entry);
        }
        loading.remove(id);
        failuresById.remove(id);
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
