package org.fuchsiaspindle.daemon.agent;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds the work that is queued for the target or runs on it, and tracks its memory use.
 *
 * <p>Confined to the agent's event loop.
 */
final class WorkRegistry {

    /** Limit on the memory of all work; leaves most of the agent's heap of 96 MB free. */
    private static final long MAX_BYTES = 24L * 1024 * 1024;

    private final Map<Long, Work> workById = new HashMap<>();
    private long lastId;
    private long bytes;

    /** Returns an identifier that was not used before. */
    long nextId() {
        return ++lastId;
    }

    /** Returns the estimated memory use of all work in bytes. */
    long bytes() {
        return bytes;
    }

    /** Returns true if the work fits into the memory limit. */
    boolean hasRoomFor(Work work) {
        return bytes + work.bytes() <= MAX_BYTES;
    }

    void add(Work work) {
        workById.put(work.id(), work);
        bytes += work.bytes();
    }

    /** Removes a unit of work; returns true if it was present. */
    boolean remove(Work work) {
        boolean removed = workById.remove(work.id()) != null;
        if (removed) {
            bytes -= work.bytes();
        }
        return removed;
    }

    Optional<Work> find(long id) {
        return Optional.ofNullable(workById.get(id));
    }

    boolean isEmpty() {
        return workById.isEmpty();
    }

    /** Returns a snapshot of all work. */
    ImmutableList<Work> all() {
        return ImmutableList.copyOf(workById.values());
    }

    /** Returns the runs at the target. */
    List<TargetRun> runs() {
        return workById.values().stream().map(Work::run).filter(Objects::nonNull).toList();
    }

    /** Returns true if streams run and none has received anything after a monotonic time. */
    boolean areStreamsSilentSince(long nanos) {
        List<TargetRun> streams =
                runs().stream().filter(run -> run.isEngine() && !run.isPaused()).toList();
        return !streams.isEmpty()
                && streams.stream().allMatch(run -> run.lastEventNanos() - nanos <= 0);
    }
}
