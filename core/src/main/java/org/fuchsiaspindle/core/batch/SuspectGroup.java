package org.fuchsiaspindle.core.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Items of a segment that are suspected of crashing targets and run together until the one that
 * does so is isolated. Not thread-safe.
 */
final class SuspectGroup {

    private final List<Integer> items;
    private final Set<Integer> running = new HashSet<>();
    private long notBeforeNanos = Long.MIN_VALUE;

    SuspectGroup(List<Integer> items) {
        this.items = new ArrayList<>(items);
    }

    List<Integer> items() {
        return items;
    }

    /** Returns true if none of the items is running and no retry delay is pending. */
    boolean isWaiting(long nowNanos) {
        return running.isEmpty()
                && (notBeforeNanos == Long.MIN_VALUE || nowNanos - notBeforeNanos >= 0);
    }

    /** Delays the next attempt, because a target returned an error for an item. */
    void delayUntil(long nanos) {
        notBeforeNanos = nanos;
    }

    void started() {
        running.addAll(items);
    }

    void stopped(int item) {
        running.remove(item);
    }

    void finished(int item) {
        items.remove((Integer) item);
        running.remove(item);
    }

    /**
     * Splits items that were lost together into two halves, or one group if there is only one item.
     */
    static List<SuspectGroup> halves(List<Integer> lost) {
        List<SuspectGroup> groups = new ArrayList<>();
        int middle = Math.ceilDiv(lost.size(), 2);
        groups.add(new SuspectGroup(lost.subList(0, middle)));
        if (middle < lost.size()) {
            groups.add(new SuspectGroup(lost.subList(middle, lost.size())));
        }
        return groups;
    }
}
