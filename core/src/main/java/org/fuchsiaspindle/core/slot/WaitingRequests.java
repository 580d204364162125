package org.fuchsiaspindle.core.slot;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.fuchsiaspindle.core.serving.Pace;
import org.fuchsiaspindle.core.serving.RequestQueue;
import org.fuchsiaspindle.core.serving.RequestQueue.Entry;
import org.fuchsiaspindle.core.serving.RequestQueue.Position;
import org.fuchsiaspindle.core.slot.RejectionPolicy.Rejection;
import org.fuchsiaspindle.core.slot.SlotDecision.Refusal;

/**
 * The online requests of a pool that wait for a slot, and which of them are refused.
 *
 * <p>{@link RequestQueue} decides the order, {@link RejectionPolicy} on refusals. While no target
 * is known, none is refused for its expected wait. Not thread-safe.
 */
final class WaitingRequests {

    private final RequestQueue<SlotRequest> queue = new RequestQueue<>();
    private final RejectionPolicy rejections;

    WaitingRequests(OnlineWaves waves) {
        this.rejections = new RejectionPolicy(waves);
    }

    int size() {
        return queue.size();
    }

    /** Returns how long a request would wait. */
    Duration expectedWait(SlotRequest request, double cost, Pace pace) {
        return pace.expectedWait(queue.costAheadIfAdded(entry(request, cost, pace), pace));
    }

    /**
     * Adds a request, or refuses it if it cannot start in time. Others may be refused in its
     * favour.
     *
     * @param request the request
     * @param cost its expected work in multiples of that of an average request
     * @param hasRoom whether a target has room for a request, which then is not refused
     * @param pace how fast requests start
     */
    List<SlotDecision> add(
            SlotRequest request, double cost, Predicate<SlotRequest> hasRoom, Pace pace) {
        Duration wait = expectedWait(request, cost, pace);
        Optional<Rejection> rejection =
                rejections.ifTooLate(request, Refusal.OVERLOADED, wait, pace.nowNanos());
        if (rejection.isPresent()) {
            queue.recordRefused(request.priority(), request.workspace());
            return List.of(refusal(request, rejection.get()));
        }
        queue.add(entry(request, cost, pace));
        List<SlotDecision> decisions = new ArrayList<>();
        decisions.add(new SlotDecision.Queued(request.holder(), request.ticket()));
        decisions.addAll(refuseSurplus(hasRoom, pace));
        return decisions;
    }

    private static Entry<SlotRequest> entry(SlotRequest request, double cost, Pace pace) {
        return new Entry<>(
                request,
                request.priority(),
                request.workspace(),
                cost,
                request.onTimeUntilNanos(),
                request.startUntilNanos(),
                pace.nowNanos());
    }

    /** Refuses requests that gave way to others and for which that is better than to wait. */
    private List<SlotDecision> refuseSurplus(Predicate<SlotRequest> hasRoom, Pace pace) {
        List<SlotDecision> decisions = new ArrayList<>();
        double refusedCost = 0;
        List<Position<SlotRequest>> surplus = pace.isKnown() ? queue.surplus(pace) : List.of();
        for (Position<SlotRequest> position : surplus) {
            Entry<SlotRequest> entry = position.entry();
            Duration wait = pace.expectedWait(position.costAhead() - refusedCost);
            Optional<Rejection> rejection =
                    hasRoom.test(entry.request())
                            ? Optional.empty()
                            : rejectionOfSurplus(entry, wait, pace);
            if (rejection.isPresent()) {
                refusedCost += entry.cost();
                decisions.add(refuse(entry.request(), rejection.get()));
            }
        }
        return decisions;
    }

    private Optional<Rejection> rejectionOfSurplus(
            Entry<SlotRequest> entry, Duration wait, Pace pace) {
        Optional<Rejection> tooLate =
                rejections.ifTooLate(entry.request(), Refusal.DISPLACED, wait, pace.nowNanos());
        if (tooLate.isPresent() || queue.isStarved(entry.priority(), entry.workspace())) {
            return tooLate;
        }
        return rejections.ifBetterAfterWave(entry, wait, pace.timePerRequest(), pace.nowNanos());
    }

    /**
     * Refuses late requests that will not start in time. Those without a workspace wait until their
     * latest start has passed.
     */
    List<SlotDecision> refuseExpectedTimeouts(Predicate<SlotRequest> hasRoom, Pace pace) {
        List<SlotDecision> decisions = new ArrayList<>();
        List<Position<SlotRequest>> timeouts =
                pace.isKnown() ? queue.expectedTimeouts(pace) : List.of();
        for (Position<SlotRequest> position : timeouts) {
            SlotRequest request = position.entry().request();
            if (!request.workspace().isEmpty() && !hasRoom.test(request)) {
                Duration wait = pace.expectedWait(position.costAhead());
                decisions.add(refuse(request, new Rejection(Refusal.DISPLACED, wait)));
            }
        }
        return decisions;
    }

    /** Refuses the requests whose latest useful start has passed. */
    List<SlotDecision> refuseExpired(long now) {
        List<SlotDecision> decisions = new ArrayList<>();
        for (SlotRequest request : queue.removeExpired(now)) {
            decisions.add(refusal(request, new Rejection(Refusal.EXPIRED, Duration.ZERO)));
        }
        return decisions;
    }

    private SlotDecision refuse(SlotRequest request, Rejection rejection) {
        queue.remove(request);
        return refusal(request, rejection);
    }

    private static SlotDecision refusal(SlotRequest request, Rejection rejection) {
        return new SlotDecision.Refused(
                request.holder(), request.ticket(), rejection.reason(), rejection.retryAfter());
    }

    /** Returns the first request in the start order that can start, without removing it. */
    Optional<SlotRequest> next(Pace pace, Predicate<SlotRequest> canStart) {
        return queue.next(pace, canStart);
    }

    /** Removes a request that starts. */
    void start(SlotRequest request) {
        queue.start(request);
    }

    /** Removes the requests that match a condition. */
    void removeIf(Predicate<SlotRequest> condition) {
        queue.removeIf(condition);
    }

    /** Returns whether a request matches a condition. */
    boolean anyMatch(Predicate<SlotRequest> condition) {
        return queue.anyMatch(condition);
    }
}
