package org.fuchsiaspindle.daemon.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.membership.Backoff;

/** Tracks when each instance may be dialled again, with a backoff on failure. Not thread-safe. */
final class DialSchedule {

    private final RandomGenerator random;
    private final Set<String> running = new HashSet<>();
    private final Map<String, Integer> failures = new HashMap<>();
    private final Map<String, Long> notBefore = new HashMap<>();

    DialSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Returns true and records a running attempt if the instance may be dialled now. */
    boolean tryBegin(String id, long nowNanos) {
        Long earliest = notBefore.get(id);
        boolean allowed = earliest == null || nowNanos - earliest >= 0;
        return allowed && running.add(id);
    }

    void succeeded(String id) {
        running.remove(id);
        failures.remove(id);
        notBefore.remove(id);
    }

    void failed(String id, long nowNanos) {
        running.remove(id);
        int count = failures.merge(id, 1, Integer::sum);
        notBefore.put(id, nowNanos + Backoff.delay(count, random).toNanos());
    }

    /**
     * Removes the instances that are no longer listed, and the seeds, whose keys are not instance
     * identifiers.
     */
    void retain(Set<String> ids) {
        failures.keySet().removeIf(id -> !ids.contains(id));
        notBefore.keySet().removeIf(id -> !ids.contains(id));
    }
}
