package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the target of a pool on which a request or a batch item runs, and says whether there can
 * be one.
 *
 * <p>Each choice looks at every target of the pool once. Not thread-safe; times are monotonic
 * nanoseconds.
 */
final class TargetChoice {

    private final Collection<TargetSlots> targets;
    private final PoolWork work;

    /**
     * Creates a choice.
     *
     * @param targets a view of the targets of the pool, not null
     * @param work what is known of the work of the pool, not null
     */
    TargetChoice(Collection<TargetSlots> targets, PoolWork work) {
        this.targets = checkNotNull(targets, "targets");
        this.work = checkNotNull(work, "work");
    }

    /** Returns the target for an online request, empty if the request must wait. */
    Optional<TargetSlots> forOnline(SlotRequest request, long now) {
        Set<TargetSlots> ejected = request.lastResort() ? Set.of() : ejected(now);
        PoolWork.Forecast forecast = work.forecast(request.size(), now);
        TargetSlots best = null;
        for (TargetSlots target : targets) {
            boolean acceptable =
                    target.isOpen()
                            && target.hasRoomForOnline(request.size().maxTokens(), now)
                            && (request.lastResort()
                                    || !ejected.contains(target)
                                            && !request.avoided().contains(target.id())
                                            && !target.isUnavailable(now));
            if (acceptable && (best == null || isBetterForOnline(target, best, forecast))) {
                best = target;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Prefers free slots, then slots whose batch item loses least, then the earlier end, then the
     * lower load.
     */
    private static boolean isBetterForOnline(
            TargetSlots target, TargetSlots other, PoolWork.Forecast forecast) {
        boolean hasRoom = target.hasRoom(forecast.size().maxTokens());
        if (hasRoom != other.hasRoom(forecast.size().maxTokens())) {
            return hasRoom;
        }
        if (!hasRoom) {
            long due = target.firstToPreempt().map(TargetSlots::dueStep).orElse(0L);
            long otherDue = other.firstToPreempt().map(TargetSlots::dueStep).orElse(0L);
            if (due != otherDue) {
                return due > otherDue;
            }
        }
        long steps = forecast.steps(target);
        long otherSteps = forecast.steps(other);
        if (steps != otherSteps) {
            return steps < otherSteps;
        }
        if (target.total() != other.total()) {
            return target.total() < other.total();
        }
        return target.lastGrantNanos() - other.lastGrantNanos() < 0;
    }

    /** Returns whether an online request of unknown size can start on a target. */
    boolean hasSlotForOnline(long now) {
        return targets.stream().anyMatch(target -> target.isOpen() && target.hasSlotForOnline(now));
    }

    /** Returns whether a target has room for an online request, be it one to avoid. */
    boolean hasRoomForOnline(SlotRequest request, long now) {
        int tokens = request.size().maxTokens();
        return targets.stream()
                .anyMatch(target -> target.isOpen() && target.hasRoomForOnline(tokens, now));
    }

    /** Returns whether an online request may run on a target once it has room. */
    boolean isAnyAcceptable(SlotRequest request, long now) {
        return targets.stream()
                .anyMatch(
                        target ->
                                target.isOpen()
                                        && !request.avoided().contains(target.id())
                                        && !target.isUnavailable(now));
    }

    /**
     * Returns the targets with slots for batch items.
     *
     * @param wantedByOnline whether an online request waits for a slot of a target
     * @param now the time
     */
    List<TargetSlots> openToBatchItems(Predicate<TargetSlots> wantedByOnline, long now) {
        List<TargetSlots> open = new ArrayList<>();
        Set<TargetSlots> ejected = null;
        for (TargetSlots target : targets) {
            if (!target.isOpen() || !target.hasSlotForBatch(now) || target.isUnavailable(now)) {
                continue;
            }
            ejected = ejected == null ? ejected(now) : ejected;
            if (!ejected.contains(target) && !wantedByOnline.test(target)) {
                open.add(target);
            }
        }
        return open;
    }

    /**
     * Returns the target for a batch item, empty if none has a free slot and memory.
     *
     * @param open the targets that {@link #openToBatchItems} returned, some of which may be full or
     *     have got their trial by now
     * @param demand the demand of the gateway of the item
     * @param now the time
     */
    Optional<TargetSlots> forBatchItem(List<TargetSlots> open, BatchDemand demand, long now) {
        return open.stream()
                .filter(target -> target.hasSlotForBatch(now) && !target.isUnavailable(now))
                .filter(target -> target.hasRoom(demand.largestItemTokens()))
                .filter(target -> !demand.avoided().contains(target.id()))
                .min(Comparator.comparingDouble(target -> target.batchCost(now)));
    }

    /**
     * Returns the targets that receive no requests because too many fail there, at most half of the
     * open ones.
     */
    private Set<TargetSlots> ejected(long now) {
        List<TargetSlots> unreliable = new ArrayList<>();
        int openTargets = 0;
        for (TargetSlots target : targets) {
            openTargets += target.isOpen() ? 1 : 0;
            if (target.isOpen() && target.reliability().isUnreliable(now)) {
                unreliable.add(target);
            }
        }
        if (unreliable.isEmpty()) {
            return Set.of();
        }
        unreliable.sort(
                Comparator.comparingDouble(
                                (TargetSlots target) -> target.reliability().failureShare(now))
                        .reversed());
        return new HashSet<>(unreliable.subList(0, Math.min(unreliable.size(), openTargets / 2)));
    }
}
