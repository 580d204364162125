package org.fuchsiaspindle.core.collect;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of bounded size: a new entry removes the least recently used one if the map is full.
 *
 * <p>Reading an entry uses it. Not thread-safe; all operations are O(1).
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    /**
     * Creates an empty map.
     *
     * @param maxEntries the largest number of entries, positive
     */
    public LruMap(int maxEntries) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        checkArgument(maxEntries > 0, "number of entries not positive: %s", maxEntries);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
