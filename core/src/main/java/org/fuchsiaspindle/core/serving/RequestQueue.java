package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A priority queue of the requests of one service that wait for a target.
 *
 * <p>Requests are ordered by the priority of their route. Within a priority, requests that can
 * still meet their latency target go before late ones, because a late response is worth only a
 * fraction of its value; within each group the oldest goes first. Not thread-safe.
 *
 * @param <T> the waiting request
 */
public final class RequestQueue<T> {

    /**
     * A waiting request with its ordering keys.
     *
     * @param request the request, not null
     * @param priority the priority of its route, 0 is the most urgent
     * @param onTimeUntilNanos the latest start for a response within the latency target, in
     *     monotonic nanoseconds
     * @param startUntilNanos the latest start for a response before the request times out, in
     *     monotonic nanoseconds
     * @param arrivedNanos when it arrived, in monotonic nanoseconds
     * @param <T> the request
     */
    public record Entry<T>(
            T request,
            int priority,
            long onTimeUntilNanos,
            long startUntilNanos,
            long arrivedNanos) {

        /** Validates the components. */
        public Entry {
            checkNotNull(request, "request");
        }
    }

    private static final Duration MAX_WAIT = Duration.ofDays(1);

    private final List<Entry<T>> entries = new ArrayList<>();

    /** Creates an empty queue. */
    public RequestQueue() {}

    /** Adds a request. */
    public void add(Entry<T> entry) {
        entries.add(checkNotNull(entry, "entry"));
    }

    /** Removes a request; returns whether it was waiting. */
    public boolean remove(T request) {
        return entries.removeIf(entry -> entry.request() == request);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return entries.size();
    }

    /**
     * Returns how many waiting requests start before a new request that has the given priority and
     * can still meet its latency target.
     */
    public int ahead(int priority, long nowNanos) {
        int count = 0;
        for (Entry<T> entry : entries) {
            boolean onTime = entry.onTimeUntilNanos() - nowNanos >= 0;
            if (entry.priority() < priority || entry.priority() == priority && onTime) {
                count++;
            }
        }
        return count;
    }

    /** Removes the requests that match a condition. */
    public void removeIf(Predicate<T> condition) {
        entries.removeIf(entry -> condition.test(entry.request()));
    }

    /** Returns whether a waiting request matches a condition. */
    public boolean anyMatch(Predicate<T> condition) {
        return entries.stream().anyMatch(entry -> condition.test(entry.request()));
    }

    /** Returns the request that starts next, without removing it. */
    public Optional<T> peek(long nowNanos) {
        return entries.stream().min(startOrder(nowNanos)).map(Entry::request);
    }

    /** Returns all requests in the order in which they start, without removing them. */
    public List<T> inStartOrder(long nowNanos) {
        return entries.stream().sorted(startOrder(nowNanos)).map(Entry::request).toList();
    }

    /** Removes and returns the requests whose latest start has passed. */
    public List<T> removeExpired(long nowNanos) {
        List<T> expired = new ArrayList<>();
        entries.removeIf(
                entry -> {
                    boolean hasExpired = entry.startUntilNanos() - nowNanos < 0;
                    if (hasExpired) {
                        expired.add(entry.request());
                    }
                    return hasExpired;
                });
        return expired;
    }

    /**
     * Estimates the waiting time of a new request; returns one day if the service has no slot.
     *
     * @param ahead the requests that start before it
     * @param slots how many slots of the targets of the service the requests can occupy on average
     * @param serviceTime how long one request occupies a slot
     */
    public static Duration estimateWait(int ahead, double slots, Duration serviceTime) {
        if (slots <= 0) {
            return MAX_WAIT;
        }
        double nanos = serviceTime.toNanos() * (ahead + 1.0) / slots;
        return nanos > MAX_WAIT.toNanos() ? MAX_WAIT : Duration.ofNanos((long) nanos);
    }

    private Comparator<Entry<T>> startOrder(long nowNanos) {
        return Comparator.comparingInt((Entry<T> entry) -> entry.priority())
                .thenComparing(entry -> entry.onTimeUntilNanos() - nowNanos < 0)
                .thenComparingLong(Entry::arrivedNanos);
    }
}
