package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * A ring buffer of the most recent routing decisions. Thread-safe; never blocks; adding is O(1).
 */
public final class RecentRouteDecisions {

    private final AtomicReferenceArray<RouteRecord> records;
    private final AtomicLong next = new AtomicLong();

    private RecentRouteDecisions(int size) {
        records = new AtomicReferenceArray<>(size);
    }

    /**
     * Creates an empty buffer.
     *
     * @param size the number of decisions to keep, positive
     */
    public static RecentRouteDecisions create(int size) {
        checkArgument(size > 0, "size not positive: %s", size);
        return new RecentRouteDecisions(size);
    }

    /** Adds a decision; the oldest one is overwritten if the buffer is full. */
    public void add(RouteRecord record) {
        long position = next.getAndIncrement();
        records.set((int) (position % records.length()), checkNotNull(record, "record"));
    }

    /**
     * Returns the decisions for a request that are still in the buffer, the oldest first, in
     * O(size).
     *
     * @param requestId the identifier of the request, not null
     */
    public ImmutableList<RouteRecord> forRequest(String requestId) {
        checkNotNull(requestId, "requestId");
        ImmutableList.Builder<RouteRecord> found = ImmutableList.builder();
        long end = next.get();
        for (long i = Math.max(0, end - records.length()); i < end; i++) {
            RouteRecord record = records.get((int) (i % records.length()));
            if (record != null && record.requestId().equals(requestId)) {
                found.add(record);
            }
        }
        return found.build();
    }
}
