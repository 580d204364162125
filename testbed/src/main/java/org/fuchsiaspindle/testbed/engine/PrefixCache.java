package org.fuchsiaspindle.testbed.engine;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * A prefix cache of limited size that evicts the least recently used blocks. Its events are
 * published with a delay, and a random fraction of them is never published. Thread-safe.
 */
final class PrefixCache {

    private static final int MAX_EVENTS = 4096;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;
    private final Duration eventDelay;
    private final double eventLoss;
    private final RandomGenerator random;
    private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private final Deque<Event> events = new ArrayDeque<>();
    private long sequence;

    /** A change of the cache: the hashes of the blocks that were added and removed. */
    record Event(
            long sequence,
            String model,
            ImmutableList<String> added,
            ImmutableList<String> removed,
            long atNanos) {}

    PrefixCache(int capacity, Duration eventDelay, double eventLoss, RandomGenerator random) {
        this.capacity = capacity;
        this.eventDelay = eventDelay;
        this.eventLoss = eventLoss;
        this.random = random;
    }

    /** Returns the number of tokens of the longest cached prefix and marks its blocks as used. */
    synchronized int cachedTokens(List<String> prefix) {
        int cached = 0;
        while (cached < prefix.size() && blocks.get(prefix.get(cached)) != null) {
            cached++;
        }
        return cached * PrefixBlocks.BLOCK_TOKENS;
    }

    /** Adds the blocks of a prompt and evicts others to keep within the capacity. */
    synchronized void add(String model, List<String> prefix) {
        ImmutableList.Builder<String> added = ImmutableList.builder();
        for (String hash : prefix) {
            if (blocks.put(hash, true) == null) {
                added.add(hash);
            }
        }
        ImmutableList.Builder<String> removed = ImmutableList.builder();
        Iterator<String> oldest = blocks.keySet().iterator();
        while (blocks.size() > capacity) {
            removed.add(oldest.next());
            oldest.remove();
        }
        publish(model, added.build(), removed.build());
    }

    /** Clears the cache without publishing events, as in a process crash. */
    synchronized void clear() {
        blocks.clear();
        events.clear();
    }

    /** Returns the published events after a sequence number. */
    synchronized List<Event> eventsAfter(long after) {
        long latestVisibleNanos = System.nanoTime() - eventDelay.toNanos();
        List<Event> result = new ArrayList<>();
        for (Event event : events) {
            if (event.sequence() > after && event.atNanos() - latestVisibleNanos <= 0) {
                result.add(event);
            }
        }
        return result;
    }

    private void publish(String model, ImmutableList<String> added, ImmutableList<String> removed) {
        if (added.isEmpty() && removed.isEmpty()) {
            return;
        }
        sequence++;
        if (random.nextDouble() < eventLoss) {
            return;
        }
        events.add(new Event(sequence, model, added, removed, System.nanoTime()));
        if (events.size() > MAX_EVENTS) {
            events.remove();
        }
    }
}
