package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request from what is known of the load of all targets.
 *
 * <p>Online requests see batch items as half a request, because batch items give way. A target in
 * another data centre has to be clearly less loaded to be worth its transfer cost.
 */
public final class TargetChoice {

    /** What one batch item counts against an online request. */
    private static final double BATCH_WEIGHT = 0.5;

    /** How many requests of head start a target in the own data centre has. */
    private static final double REMOTE_PENALTY = 1.5;

    /** Difference under which two targets count as equally good, so that chance decides. */
    private static final double TIE_WIDTH = 0.2;

    private TargetChoice() {}

    /**
     * A target that may receive the request.
     *
     * @param instance the target, not null
     * @param load its load over all processes, not null
     */
    public record Candidate(TargetInstance instance, TargetLoad load) {

        /** Checks the arguments. */
        public Candidate {
            checkNotNull(instance, "instance");
            checkNotNull(load, "load");
        }

        private boolean hasOnlineRoom() {
            return load.online() < instance.slots();
        }

        private boolean hasBatchRoom() {
            return load.total() < instance.slots();
        }
    }

    /**
     * Chooses the target of an online request.
     *
     * @param candidates the targets that may run it, not null
     * @param dataCentre the data centre of this process, not null
     * @param random breaks ties, so that several processes do not choose alike
     * @return the target, or empty if online requests fill all of them
     */
    public static Optional<TargetInstance> forOnline(
            List<Candidate> candidates, String dataCentre, RandomGenerator random) {
        List<Candidate> open = candidates.stream().filter(Candidate::hasOnlineRoom).toList();
        return cheapest(open, dataCentre, random);
    }

    /**
     * Chooses the target of a batch item.
     *
     * @param candidates the targets that may run it, not null
     * @param dataCentre the data centre of this process, not null
     * @param random breaks ties
     * @return the target, or empty if none has a free slot
     */
    public static Optional<TargetInstance> forBatch(
            List<Candidate> candidates, String dataCentre, RandomGenerator random) {
        List<Candidate> open = candidates.stream().filter(Candidate::hasBatchRoom).toList();
        return cheapest(open, dataCentre, random);
    }

    private static Optional<TargetInstance> cheapest(
            List<Candidate> open, String dataCentre, RandomGenerator random) {
        double best = Double.POSITIVE_INFINITY;
        TargetInstance chosen = null;
        int ties = 0;
        for (Candidate candidate : open) {
            double cost = cost(candidate, dataCentre);
            if (cost < best - TIE_WIDTH) {
                best = cost;
                chosen = candidate.instance();
                ties = 1;
            } else if (cost <= best + TIE_WIDTH) {
                ties++;
                best = Math.min(best, cost);
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
