package org.fuchsiaspindle.core.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fuchsiaspindle.core.fairness.FairRounds;
import org.fuchsiaspindle.core.fairness.ServedShares;
import org.fuchsiaspindle.core.serving.RequestQueue.Position;

/**
 * The waiting requests of one priority, shared fairly between workspaces.
 *
 * <p>A level lives as long as requests wait in it, so it forgets who was served before. Not
 * thread-safe.
 *
 * @param <T> the waiting request
 */
final class PriorityLevel<T> {

    /** Expected work that a workspace gets in one round: that of an average request. */
    private static final double ROUND_COST = 1;

    private static final int EQUAL_WEIGHT = 1;

    private final TreeSet<Waiting<T>> onTime = new TreeSet<>(Waiting.oldestFirst());
    private final TreeSet<Waiting<T>> late = new TreeSet<>(Waiting.oldestFirst());
    private final FairRounds rounds = new FairRounds(ROUND_COST);
    private final ServedShares shares = new ServedShares();

    boolean isEmpty() {
        return onTime.isEmpty() && late.isEmpty();
    }

    void add(Waiting<T> request) {
        onTime.add(request);
    }

    void remove(Waiting<T> request) {
        if (!onTime.remove(request)) {
            late.remove(request);
        }
    }

    /** Records that a request of a workspace arrived, whether it waits or is refused. */
    void recordArrival(String workspace) {
        shares.arrived(workspace);
    }

    boolean isStarved(String workspace) {
        return shares.isStarved(workspace);
    }

    /** Removes a request that starts, and charges its workspace. */
    void start(Waiting<T> request) {
        rounds.advanceTo(earliestRound());
        rounds.charge(request.workspace(), EQUAL_WEIGHT, request.cost());
        shares.served(request.workspace());
        remove(request);
    }

    private Stream<Waiting<T>> all() {
        return Stream.concat(onTime.stream(), late.stream());
    }

    /** Moves the requests that can be on time no longer to the late ones. */
    void update(long nowNanos) {
        while (!onTime.isEmpty() && !onTime.first().isOnTime(nowNanos)) {
            late.add(onTime.pollFirst());
        }
    }

    /**
     * Returns the first request in the start order that can start.
     *
     * @param costAhead the expected work of more urgent requests
     * @param pace how fast requests start
     * @param canStart whether a request can start
     */
    Optional<Waiting<T>> next(double costAhead, Pace pace, Predicate<T> canStart) {
        OnTimePlan<T> plan = plan(costAhead, pace);
        return firstStarved()
                .filter(waiting -> canStart.test(waiting.request()))
                .or(() -> first(plan.kept(), canStart))
                .or(() -> first(inRounds(plan.surplus()), canStart))
                .or(() -> first(inRounds(late), canStart));
    }

    /**
     * Returns the first request of a workspace that starves. One that got more service than another
     * that waits does not starve, however many of its requests are refused.
     */
    private Optional<Waiting<T>> firstStarved() {
        long earliestRound = earliestRound();
        return all().filter(waiting -> rounds.round(waiting.workspace()) <= earliestRound)
                .filter(waiting -> shares.isStarved(waiting.workspace()))
                .findFirst();
    }

    /** Returns the earliest round of a waiting request, 0 if none waits. */
    private long earliestRound() {
        return all().mapToLong(waiting -> rounds.round(waiting.workspace())).min().orElse(0);
    }

    private static <T> Optional<Waiting<T>> first(List<Waiting<T>> order, Predicate<T> canStart) {
        return order.stream().filter(waiting -> canStart.test(waiting.request())).findFirst();
    }

    /** Returns requests in the order of fair rounds, the oldest first within a round. */
    private List<Waiting<T>> inRounds(Collection<Waiting<T>> requests) {
        List<Waiting<T>> order = new ArrayList<>(requests);
        order.sort(
                Comparator.comparingLong((Waiting<T> waiting) -> rounds.round(waiting.workspace()))
                        .thenComparing(Waiting.oldestFirst()));
        return order;
    }

    private OnTimePlan<T> plan(double costAhead, Pace pace) {
        return OnTimePlan.of(onTime, costAhead, rounds, pace);
    }

    /**
     * Returns the expected work of this level that starts before a waiting request, or all that is
     * not late if the request is late itself.
     */
    double costBefore(Waiting<T> request, double costAhead, Pace pace) {
        OnTimePlan<T> plan = plan(costAhead, pace);
        List<Waiting<T>> order = new ArrayList<>(plan.kept());
        order.addAll(inRounds(plan.surplus()));
        double cost = 0;
        for (Waiting<T> waiting : order) {
            if (waiting.sequence() == request.sequence()) {
                return cost;
            }
            cost += waiting.cost();
        }
        return cost;
    }

    /**
     * Returns the requests that are not late, but not expected to start on time either, in the
     * order in which they start.
     */
    List<Position<T>> surplus(double costAhead, Pace pace) {
        OnTimePlan<T> plan = plan(costAhead, pace);
        double cost = costAhead + cost(plan.kept());
        List<Position<T>> positions = new ArrayList<>();
        for (Waiting<T> waiting : inRounds(plan.surplus())) {
            positions.add(new Position<>(waiting.entry(), cost));
            cost += waiting.cost();
        }
        return positions;
    }

    /** Returns the late requests in the order in which they start. */
    List<Waiting<T>> late() {
        return inRounds(late);
    }

    double onTimeCost() {
        return cost(onTime);
    }

    double totalCost() {
        return cost(onTime) + cost(late);
    }

    private static <T> double cost(Collection<Waiting<T>> requests) {
        return requests.stream().mapToDouble(Waiting::cost).sum();
    }
}
