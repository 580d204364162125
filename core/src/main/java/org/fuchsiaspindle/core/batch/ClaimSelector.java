package org.fuchsiaspindle.core.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Selects the job from which a segment is claimed next. */
public final class ClaimSelector {

    private ClaimSelector() {}

    /**
     * An open job with this process's view of its state.
     *
     * @param job the job
     * @param customer the owner
     * @param weight the owner's weight
     * @param onHand unfinished items that this process holds or is claiming
     * @param claimable true if the job may have segments that can be claimed
     * @param atRisk true if the job may miss its deadline
     * @param slackSeconds time until the deadline minus the expected remaining run time, in seconds
     * @param deadlineMs wall-clock time of the deadline in milliseconds
     */
    public record Candidate(
            String job,
            String customer,
            int weight,
            int onHand,
            boolean claimable,
            boolean atRisk,
            double slackSeconds,
            long deadlineMs) {}

    /**
     * Returns the next job to claim a segment from, empty if this process holds enough items.
     *
     * <p>A customer's items count only up to its share of the demand, so a large job held by this
     * process does not keep another customer's small job from being claimed.
     *
     * @param candidates the open jobs of one model
     * @param demand items that this process should hold
     * @param virtualTimes virtual times of the customers; the customer with the lowest is served
     *     first
     */
    public static Optional<String> next(
            List<Candidate> candidates, int demand, CustomerVirtualTimes virtualTimes) {
        if (demand <= 0) {
            return Optional.empty();
        }
        Optional<Candidate> urgent =
                candidates.stream()
                        .filter(c -> c.atRisk() && c.claimable() && c.onHand() < demand)
                        .min(Comparator.comparingDouble(Candidate::slackSeconds));
        if (urgent.isPresent()) {
            return urgent.map(Candidate::job);
        }
        Map<String, Integer> onHand = new HashMap<>();
        Map<String, Integer> weights = new HashMap<>();
        for (Candidate candidate : candidates) {
            if (candidate.claimable() || candidate.onHand() > 0) {
                onHand.merge(candidate.customer(), candidate.onHand(), Integer::sum);
                weights.put(candidate.customer(), candidate.weight());
            }
        }
        double totalWeight = weights.values().stream().mapToInt(Integer::intValue).sum();
        Map<String, Integer> maxOnHand = new HashMap<>();
        weights.forEach(
                (customer, weight) ->
                        maxOnHand.put(customer, (int) Math.ceil(demand * weight / totalWeight)));
        int countedItems = 0;
        for (Map.Entry<String, Integer> entry : onHand.entrySet()) {
            countedItems += Math.min(entry.getValue(), maxOnHand.get(entry.getKey()));
        }
        if (countedItems >= demand) {
            return Optional.empty();
        }
        return candidates.stream()
                .filter(
                        c ->
                                c.claimable()
                                        && onHand.get(c.customer()) < maxOnHand.get(c.customer()))
                .min(
                        Comparator.<Candidate>comparingDouble(
                                        c ->
                                                virtualTimes.virtualTime(c.customer())
                                                        + (double) onHand.get(c.customer())
                                                                / c.weight())
                                .thenComparingLong(Candidate::deadlineMs)
                                .thenComparing(Candidate::job))
                .map(Candidate::job);
    }
}
