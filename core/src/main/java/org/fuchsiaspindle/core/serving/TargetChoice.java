package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request by the known load of all targets.
 *
 * <p>For an online request, a batch item counts as half a request, because batch items are
 * preempted in favour of online requests. A target in another data centre is chosen only if it is
 * clearly less loaded, because of the transfer cost.
 */
public final class TargetChoice {

    /** The load of one batch item relative to that of one online request. */
    private static final double BATCH_WEIGHT = 0.5;

    /** The cost added to a target in another data centre, in running online requests. */
    private static final double REMOTE_PENALTY = 1.5;

    /** Cost difference up to which two targets count as equal, so that the choice is random. */
    private static final double TIE_TOLERANCE = 0.2;

    private TargetChoice() {}

    /**
     * A target that may receive the request.
     *
     * @param instance the target, not null
     * @param load its load over all processes, not null
     */
    public record Candidate(TargetInstance instance, TargetLoad load) {

        /** Validates the components. */
        public Candidate {
            checkNotNull(instance, "instance");
            checkNotNull(load, "load");
        }

        private boolean hasCapacityForOnline() {
            return load.online() < instance.slots();
        }

        private boolean hasCapacityForBatch() {
            return load.total() < instance.slots();
        }
    }

    /**
     * Chooses the target of an online request.
     *
     * @param candidates the targets that may run the request, not null
     * @param dataCentre the data centre of this process, not null
     * @param random breaks ties, so that processes do not all choose the same target
     * @return the target, or empty if online requests occupy all slots of all of them
     */
    public static Optional<TargetInstance> forOnline(
            List<Candidate> candidates, String dataCentre, RandomGenerator random) {
        List<Candidate> available =
                candidates.stream().filter(Candidate::hasCapacityForOnline).toList();
        return cheapest(available, dataCentre, random);
    }

    /**
     * Chooses the target of a batch item.
     *
     * @param candidates the targets that may run the request, not null
     * @param dataCentre the data centre of this process, not null
     * @param random breaks ties
     * @return the target, or empty if none has a free slot
     */
    public static Optional<TargetInstance> forBatch(
            List<Candidate> candidates, String dataCentre, RandomGenerator random) {
        List<Candidate> available =
                candidates.stream().filter(Candidate::hasCapacityForBatch).toList();
        return cheapest(available, dataCentre, random);
    }

    private static Optional<TargetInstance> cheapest(
            List<Candidate> available, String dataCentre, RandomGenerator random) {
        double lowest = Double.POSITIVE_INFINITY;
        TargetInstance chosen = null;
        int ties = 0;
        for (Candidate candidate : available) {
            double cost = cost(candidate, dataCentre);
            if (cost < lowest - TIE_TOLERANCE) {
                lowest = cost;
                chosen = candidate.instance();
                ties = 1;
            } else if (cost <= lowest + TIE_TOLERANCE) {
                ties++;
                lowest = Math.min(lowest, cost);
                chosen = random.nextInt(ties) == 0 ? candidate.instance() : chosen;
            }
        }
        return Optional.ofNullable(chosen);
    }

    private static double cost(Candidate candidate, String dataCentre) {
        double cost = candidate.load().online() + BATCH_WEIGHT * candidate.load().batch();
        boolean remote = !candidate.instance().dataCentre().equals(dataCentre);
        return remote ? cost + REMOTE_PENALTY : cost;
    }
}
