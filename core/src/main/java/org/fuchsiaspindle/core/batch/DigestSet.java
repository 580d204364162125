package org.fuchsiaspindle.core.batch;

import java.util.Arrays;

/** A hash set of 64-bit digests with open addressing, which uses 16 to 32 bytes per digest. */
final class DigestSet {

    private static final int INITIAL_CAPACITY = 1024;

    private long[] slots = new long[INITIAL_CAPACITY];
    private int size;

    /** Adds a digest; returns false if the set already contains it. */
    boolean add(long digest) {
        // 0 marks an empty slot.
        long key = digest == 0 ? 1 : digest;
        if (size * 2 >= slots.length) {
            long[] old = slots;
            slots = new long[old.length * 2];
            Arrays.stream(old).filter(value -> value != 0).forEach(this::insert);
        }
        if (!insert(key)) {
            return false;
        }
        size++;
        return true;
    }

    private boolean insert(long key) {
        int mask = slots.length - 1;
        int slot = (int) key & mask;
        while (slots[slot] != 0) {
            if (slots[slot] == key) {
                return false;
            }
            slot = (slot + 1) & mask;
        }
        slots[slot] = key;
        return true;
    }
}
