package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * A set-associative map from the hashes of prompt prefixes to the targets that cache them.
 *
 * <p>Thread-safe; never blocks. The size is fixed: a new prefix replaces the least recently added
 * one of its bucket. The map is only a hint: it may name targets that have evicted a prefix and
 * miss targets that hold it, which costs only a longer prefill.
 */
public final class PrefixMap {

    private static final int WAYS = 4;
    private static final int MAX_HOLDERS = 4;

    /**
     * Entries expire after 300 s, because engines do not reliably report the eviction of a prefix.
     */
    private static final long EXPIRY_NANOS = 300_000_000_000L;

    private static final String[] NO_HOLDERS = {};

    private final AtomicReferenceArray<Entry> entries;
    private final int bucketMask;

    /** The targets known to hold one prefix, the most recently added first. */
    private record Entry(long hash, long nanos, String[] holders) {

        Entry with(String target, long nowNanos) {
            String[] newHolders = new String[Math.min(MAX_HOLDERS, countOthers(target) + 1)];
            newHolders[0] = target;
            int next = 1;
            for (String holder : holders) {
                if (next < newHolders.length && !holder.equals(target)) {
                    newHolders[next++] = holder;
                }
            }
            return new Entry(hash, nowNanos, newHolders);
        }

        Entry without(String target) {
            String[] newHolders = new String[countOthers(target)];
            int next = 0;
            for (String holder : holders) {
                if (!holder.equals(target)) {
                    newHolders[next++] = holder;
                }
            }
            return new Entry(hash, nanos, newHolders);
        }

        private int countOthers(String target) {
            int others = 0;
            for (String holder : holders) {
                others += holder.equals(target) ? 0 : 1;
            }
            return others;
        }
    }

    private PrefixMap(int buckets) {
        entries = new AtomicReferenceArray<>(buckets * WAYS);
        bucketMask = buckets - 1;
    }

    /**
     * Creates an empty map.
     *
     * @param prefixes the largest number of prefixes to hold, a power of two of at least 4
     */
    public static PrefixMap create(int prefixes) {
        checkArgument(
                prefixes >= WAYS && Integer.bitCount(prefixes) == 1,
                "number of prefixes is not a power of two of at least 4: %s",
                prefixes);
        return new PrefixMap(prefixes / WAYS);
    }

    /** Records that a target holds a prefix. */
    public void add(long hash, String target, long nowNanos) {
        while (true) {
            int slot = find(hash);
            Entry old = slot < 0 ? null : entries.get(slot);
            if (slot >= 0 && (old == null || old.hash() != hash)) {
                continue;
            }
            if (slot < 0) {
                slot = slotToReplace(hash);
                old = entries.get(slot);
            }
            Entry replaced =
                    old != null && old.hash() == hash
                            ? old.with(target, nowNanos)
                            : new Entry(hash, nowNanos, new String[] {target});
            if (entries.compareAndSet(slot, old, replaced)) {
                return;
            }
        }
    }

    /** Records that a target no longer holds a prefix. */
    public void remove(long hash, String target) {
        int slot = find(hash);
        if (slot >= 0) {
            entries.updateAndGet(
                    slot, old -> old == null || old.hash() != hash ? old : old.without(target));
        }
    }

    /** Removes a target from all prefixes, in time proportional to the size of the map. */
    public void removeAll(String target) {
        for (int slot = 0; slot < entries.length(); slot++) {
            entries.updateAndGet(slot, old -> old == null ? null : old.without(target));
        }
    }

    /**
     * Returns the targets known to hold a prefix, the most recently added first. The caller must
     * not modify the array.
     */
    public String[] holders(long hash, long nowNanos) {
        int slot = find(hash);
        Entry entry = slot < 0 ? null : entries.get(slot);
        return entry == null || entry.hash() != hash || nowNanos - entry.nanos() > EXPIRY_NANOS
                ? NO_HOLDERS
                : entry.holders();
    }

    private int find(long hash) {
        int bucketStart = bucketStart(hash);
        for (int slot = bucketStart; slot < bucketStart + WAYS; slot++) {
            Entry entry = entries.get(slot);
            if (entry != null && entry.hash() == hash) {
                return slot;
            }
        }
        return -1;
    }

    private int slotToReplace(long hash) {
        int bucketStart = bucketStart(hash);
        int oldest = bucketStart;
        long oldestNanos = Long.MAX_VALUE;
        for (int slot = bucketStart; slot < bucketStart + WAYS; slot++) {
            Entry entry = entries.get(slot);
            if (entry == null) {
                return slot;
            }
            if (entry.nanos() < oldestNanos) {
                oldestNanos = entry.nanos();
                oldest = slot;
            }
        }
        return oldest;
    }

    private int bucketStart(long hash) {
        return ((int) (hash ^ (hash >>> 32)) & bucketMask) * WAYS;
    }
}
