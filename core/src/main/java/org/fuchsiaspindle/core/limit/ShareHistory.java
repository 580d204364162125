package org.fuchsiaspindle.core.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * The part of the limits of one shard that a granter holds, over time.
 *
 * <p>Buckets replay the changes when they are used, so a change costs nothing for the workspaces of
 * the shard that send no requests. Not thread-safe. Times are monotonic nanoseconds.
 */
final class ShareHistory {

    /** Number of changes kept; a bucket that missed older ones starts empty at the oldest kept. */
    private static final int MAX_CHANGES = 512;

    private final List<Change> changes = new ArrayList<>();
    private int removed;

    /**
     * A change of the share.
     *
     * @param atNanos the time
     * @param share the share from then on, from 0 to 1
     * @param startShare the part of the start tokens that is added, or removed if negative
     */
    record Change(long atNanos, double share, double startShare) {}

    /** Adds a change, which must not be earlier than the last one. */
    void add(Change change) {
        changes.add(change);
        if (changes.size() > MAX_CHANGES) {
            int count = MAX_CHANGES / 2;
            changes.subList(0, count).clear();
            removed += count;
        }
    }

    /** Returns the present share. */
    double share() {
        return changes.isEmpty() ? 0 : changes.getLast().share();
    }

    /** Returns the time of the last change, the oldest possible time if there was none. */
    long lastChangeNanos() {
        return changes.isEmpty() ? Long.MIN_VALUE / 2 : changes.getLast().atNanos();
    }

    /** Returns the index of the first change kept. */
    int first() {
        return removed;
    }

    /** Returns the index after that of the last change. */
    int end() {
        return removed + changes.size();
    }

    /** Returns the change with an index from {@link #first} to before {@link #end}. */
    Change change(int index) {
        return changes.get(index - removed);
    }
}
