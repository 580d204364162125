package org.fuchsiaspindle.daemon.agent;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The work that waits in front of the target or runs on it, with the memory that it holds.
 *
 * <p>Owned by the agent's loop.
 */
final class HeldWork {

    /** Bounds the memory of waiting work, with the agent's heap of 96 MB in mind. */
    private static final long MAX_BYTES = 24L * 1024 * 1024;

    private final Map<Long, Work> work = new HashMap<>();
    private long lastId;
    private long bytes;

    /** Returns an identifier that no other work has had. */
    long nextId() {
        return ++lastId;
    }

    /** Returns the bytes that all work holds. */
    long bytes() {
        return bytes;
    }

    /** Returns whether there is memory for one more piece of work. */
    boolean hasRoomFor(Work entry) {
        return bytes + entry.bytes() <= MAX_BYTES;
    }

    void add(Work entry) {
        work.put(entry.id(), entry);
        bytes += entry.bytes();
    }

    /** Removes a piece of work; returns whether it was there. */
    boolean remove(Work entry) {
        boolean removed = work.remove(entry.id()) != null;
        if (removed) {
            bytes -= entry.bytes();
        }
        return removed;
    }

    Optional<Work> find(long id) {
        return Optional.ofNullable(work.get(id));
    }

    boolean isEmpty() {
        return work.isEmpty();
    }

    /** Returns all work; the list does not change when work ends. */
    ImmutableList<Work> all() {
        return ImmutableList.copyOf(work.values());
    }

    /** Returns the runs at the target. */
    List<TargetRun> runs() {
        return work.values().stream().map(Work::run).filter(Objects::nonNull).toList();
    }

    /** Returns whether streams run and none has shown a sign of life since a monotonic time. */
    boolean areStreamsSilentSince(long nanos) {
        List<TargetRun> streams =
                runs().stream().filter(run -> run.isEngine() && !run.isPaused()).toList();
        return !streams.isEmpty()
                && streams.stream().allMatch(run -> run.lastEventNanos() - nanos <= 0);
    }
}
