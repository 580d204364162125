package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * A priority queue of the requests of one service that wait for a target.
 *
 * <p>Requests are ordered by their priority. Within a priority, requests that can still meet their
 * latency target go before late ones, because a late response is worth only a fraction of its
 * value. They go oldest first, unless not all can be on time: then the workspaces that are furthest
 * over their fair share give way ({@link OnTimePlan}). Requests that give way, and after them the
 * late ones, go by weighted fair queueing between workspaces, oldest first. A workspace that is
 * served less than a quarter as often as all goes first.
 *
 * <p>Load pattern: one workspace sends several times its usual rate while arrivals exceed the slots
 * for seconds. Requests without a workspace are those of one workspace without a name, so without
 * workspaces the order is priority, on time or late, age. Not thread-safe. Adding and removing a
 * request is O(log n), a question about the order O(n log n).
 *
 * @param <T> the waiting request, compared by identity
 */
public final class RequestQueue<T> {

    /**
     * A waiting request with its ordering keys.
     *
     * @param request the request, not null
     * @param priority the priority of its route or workspace, 0 is the most urgent
     * @param workspace the workspace of its caller, empty if there are no workspaces
     * @param cost its expected work in multiples of that of an average request, positive
     * @param onTimeUntilNanos the latest start for a response within the latency target, in
     *     monotonic nanoseconds; orders requests by age
     * @param startUntilNanos the latest start for a response before the request times out, in
     *     monotonic nanoseconds
     * @param queuedNanos when it was queued, in monotonic nanoseconds
     * @param <T> the request
     */
    public record Entry<T>(
            T request,
            int priority,
            String workspace,
            double cost,
            long onTimeUntilNanos,
            long startUntilNanos,
            long queuedNanos) {

        /** Validates the components. */
        public Entry {
            checkNotNull(request, "request");
            checkNotNull(workspace, "workspace");
            checkArgument(cost > 0, "cost not positive: %s", cost);
        }
    }

    /**
     * A waiting request and its place in the start order.
     *
     * @param entry the request
     * @param costAhead the expected work that starts before it
     * @param <T> the request
     */
    public record Position<T>(Entry<T> entry, double costAhead) {}

    /** The longest wait that is estimated; that of a service without slots. */
    static final Duration MAX_WAIT = Duration.ofDays(1);

    private final TreeMap<Integer, PriorityLevel<T>> levels = new TreeMap<>();
    private final Map<T, Waiting<T>> waitingByRequest = new IdentityHashMap<>();
    private long nextSequence;

    /** Creates an empty queue. */
    public RequestQueue() {}

    /** Adds a request. */
    public void add(Entry<T> entry) {
        checkNotNull(entry, "entry");
        insert(entry);
        levels.get(entry.priority()).recordArrival(entry.workspace());
    }

    private void insert(Entry<T> entry) {
        Waiting<T> waiting = new Waiting<>(entry, nextSequence++);
        waitingByRequest.put(entry.request(), waiting);
        levels.computeIfAbsent(entry.priority(), priority -> new PriorityLevel<>()).add(waiting);
    }

    /** Records that a request was refused instead of added, which counts for its workspace. */
    public void recordRefused(int priority, String workspace) {
        PriorityLevel<T> level = levels.get(priority);
        if (level != null) {
            level.recordArrival(workspace);
        }
    }

    /** Removes a request that does not start; returns whether it was waiting. */
    public boolean remove(T request) {
        Waiting<T> waiting = waitingByRequest.remove(request);
        if (waiting == null) {
            return false;
        }
        int priority = waiting.entry().priority();
        levels.get(priority).remove(waiting);
        removeIfEmpty(priority);
        return true;
    }

    /** Removes a waiting request that starts, and counts its work for its workspace. */
    public void start(T request) {
        Waiting<T> waiting = waitingByRequest.remove(request);
        checkNotNull(waiting, "request is not waiting");
        int priority = waiting.entry().priority();
        levels.get(priority).start(waiting);
        removeIfEmpty(priority);
    }

    private void removeIfEmpty(int priority) {
        if (levels.get(priority).isEmpty()) {
            levels.remove(priority);
        }
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return waitingByRequest.size();
    }

    /**
     * Returns the expected work that would start before a request if it were added; for a late one
     * that of the requests which are not late.
     */
    public double costAheadIfAdded(Entry<T> entry, Pace pace) {
        insert(entry);
        int priority = entry.priority();
        PriorityLevel<T> level = levels.get(priority);
        level.update(pace.nowNanos());
        double moreUrgent = costOfMoreUrgent(priority);
        Waiting<T> waiting = waitingByRequest.get(entry.request());
        double cost = moreUrgent + level.costBefore(waiting, moreUrgent, pace);
        remove(entry.request());
        return cost;
    }

    private double costOfMoreUrgent(int priority) {
        double cost = 0;
        for (PriorityLevel<T> level : levels.headMap(priority).values()) {
            cost += level.totalCost();
        }
        return cost;
    }

    /**
     * Returns the requests that are not late, but not expected to start on time either, in the
     * order in which they start.
     */
    public List<Position<T>> surplus(Pace pace) {
        List<Position<T>> surplus = new ArrayList<>();
        double moreUrgent = 0;
        for (PriorityLevel<T> level : levels.values()) {
            level.update(pace.nowNanos());
            surplus.addAll(level.surplus(moreUrgent, pace));
            moreUrgent += level.totalCost();
        }
        return surplus;
    }

    /**
     * Returns the late requests that are not expected to start before they time out, in the order
     * in which they start.
     */
    public List<Position<T>> expectedTimeouts(Pace pace) {
        List<Position<T>> timeouts = new ArrayList<>();
        double costAhead = 0;
        for (PriorityLevel<T> level : levels.values()) {
            level.update(pace.nowNanos());
            costAhead += level.onTimeCost();
            for (Waiting<T> waiting : level.late()) {
                if (waiting.entry().startUntilNanos() - pace.startNanos(costAhead) < 0) {
                    timeouts.add(new Position<>(waiting.entry(), costAhead));
                } else {
                    costAhead += waiting.cost();
                }
            }
        }
        return timeouts;
    }

    /**
     * Returns whether a workspace is served less than a quarter as often as all, in this priority
     * and since requests have to wait.
     */
    public boolean isStarved(int priority, String workspace) {
        PriorityLevel<T> level = levels.get(priority);
        return level != null && level.isStarved(workspace);
    }

    /** Removes the requests that match a condition. */
    public void removeIf(Predicate<T> condition) {
        List<T> matching = waitingByRequest.keySet().stream().filter(condition).toList();
        matching.forEach(this::remove);
    }

    /** Returns whether a waiting request matches a condition. */
    public boolean anyMatch(Predicate<T> condition) {
        return waitingByRequest.keySet().stream().anyMatch(condition);
    }

    /**
     * Returns the request that starts next, without removing it.
     *
     * @param pace how fast requests start
     * @param canStart whether a request can start; others are passed over
     */
    public Optional<T> next(Pace pace, Predicate<T> canStart) {
        double costAhead = 0;
        for (PriorityLevel<T> level : levels.values()) {
            level.update(pace.nowNanos());
            Optional<Waiting<T>> next = level.next(costAhead, pace, canStart);
            if (next.isPresent()) {
                return next.map(Waiting::request);
            }
            costAhead += level.totalCost();
        }
        return Optional.empty();
    }

    /** Removes and returns the requests whose latest start has passed, oldest first. */
    public List<T> removeExpired(long nowNanos) {
        List<T> expired =
                waitingByRequest.values().stream()
                        .filter(waiting -> waiting.entry().startUntilNanos() - nowNanos < 0)
                        .sorted(Waiting.oldestFirst())
                        .map(Waiting::request)
                        .toList();
        expired.forEach(this::remove);
        return expired;
    }

    /**
     * Estimates the time between two starts of waiting requests; one day if the service has no
     * slot.
     *
     * @param slots how many slots of the targets of the service the requests can occupy on average
     * @param serviceTime how long an average request occupies a slot
     */
    public static Duration timePerRequest(double slots, Duration serviceTime) {
        if (slots <= 0) {
            return MAX_WAIT;
        }
        double nanos = serviceTime.toNanos() / slots;
        return nanos > MAX_WAIT.toNanos() ? MAX_WAIT : Duration.ofNanos((long) nanos);
    }
}
