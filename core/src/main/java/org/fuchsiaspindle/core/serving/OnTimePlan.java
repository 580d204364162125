package org.fuchsiaspindle.core.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.fuchsiaspindle.core.fairness.FairRounds;

/**
 * Decides which of the requests that are not late yet start on time.
 *
 * <p>They go oldest first, as this makes the fewest late. If one would be late, the newest request
 * of the workspace that is furthest over its fair share gives way, counting the service that it got
 * and its requests that start on time. With a single workspace no request gives way. O(n log n).
 *
 * @param <T> the waiting request
 */
final class OnTimePlan<T> {

    /** Safety margin on the work that starts before a request, as its duration varies. */
    private static final double WAIT_MARGIN = 1.5;

    /** The requests of one workspace that start on time. */
    private static final class Share<T> {
        private final String workspace;
        private final Deque<Waiting<T>> kept = new ArrayDeque<>();
        private double virtualTime;

        Share(String workspace, double virtualTime) {
            this.workspace = workspace;
            this.virtualTime = virtualTime;
        }
    }

    private final Map<String, Share<T>> shares = new HashMap<>();
    private final TreeSet<Share<T>> furthestOverShare =
            new TreeSet<>(
                    Comparator.comparingDouble((Share<T> share) -> -share.virtualTime)
                            .thenComparing(share -> share.workspace));
    private final List<Waiting<T>> surplus = new ArrayList<>();
    private final FairRounds rounds;
    private final List<Waiting<T>> kept;
    private double cost;

    private OnTimePlan(
            Collection<Waiting<T>> requests, double costAhead, FairRounds rounds, Pace pace) {
        this.rounds = rounds;
        this.cost = costAhead;
        if (hasOneWorkspace(requests)) {
            kept = List.copyOf(requests);
            return;
        }
        for (Waiting<T> request : requests) {
            keep(request);
            Waiting<T> removed = null;
            while (removed != request && !startsOnTime(request, pace)) {
                removed = removeFurthestOverShare();
            }
        }
        Set<Long> removed = new HashSet<>();
        surplus.forEach(request -> removed.add(request.sequence()));
        kept = requests.stream().filter(request -> !removed.contains(request.sequence())).toList();
    }

    /**
     * Decides on requests.
     *
     * @param requests the requests, oldest first
     * @param costAhead the expected work of more urgent requests
     * @param rounds the service that the workspaces got
     * @param pace how fast requests start
     */
    static <T> OnTimePlan<T> of(
            Collection<Waiting<T>> requests, double costAhead, FairRounds rounds, Pace pace) {
        return new OnTimePlan<>(requests, costAhead, rounds, pace);
    }

    /** Returns the requests that start on time, oldest first. */
    List<Waiting<T>> kept() {
        return kept;
    }

    /** Returns the requests that give way, in no particular order. */
    List<Waiting<T>> surplus() {
        return surplus;
    }

    private static <T> boolean hasOneWorkspace(Collection<Waiting<T>> requests) {
        return requests.stream().map(Waiting::workspace).distinct().limit(2).count() <= 1;
    }

    private boolean startsOnTime(Waiting<T> request, Pace pace) {
        double costAhead = cost - request.cost();
        Duration wait = pace.expectedWait(costAhead * WAIT_MARGIN);
        return request.isOnTime(pace.nowNanos() + wait.toNanos());
    }

    private void keep(Waiting<T> request) {
        Share<T> share =
                shares.computeIfAbsent(
                        request.workspace(), name -> new Share<>(name, rounds.virtualTime(name)));
        furthestOverShare.remove(share);
        share.kept.addLast(request);
        share.virtualTime += request.cost();
        furthestOverShare.add(share);
        cost += request.cost();
    }

    private Waiting<T> removeFurthestOverShare() {
        Share<T> share = furthestOverShare.pollFirst();
        Waiting<T> newest = share.kept.removeLast();
        share.virtualTime -= newest.cost();
        if (!share.kept.isEmpty()) {
            furthestOverShare.add(share);
        }
        cost -= newest.cost();
        surplus.add(newest);
        return newest;
    }
}
