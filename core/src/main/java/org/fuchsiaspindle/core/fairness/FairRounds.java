package org.fuchsiaspindle.core.fairness;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;
import org.fuchsiaspindle.core.collect.LruMap;

/**
 * Weighted fair queueing between flows, in rounds of service. A flow is what competes for capacity:
 * a customer or a workspace.
 *
 * <p>Each flow has a virtual time that grows with its service divided by its weight. Flows in an
 * earlier round are served first; within a round the caller's order decides. A flow that was idle
 * starts at the current round, so idle time earns no credit. Not thread-safe; O(1).
 */
public final class FairRounds {

    /** Largest number of flows whose virtual time is kept; bounds the memory for idle flows. */
    private static final int MAX_FLOWS = 4_096;

    private final Map<String, Double> virtualTimes = new LruMap<>(MAX_FLOWS);
    private final double roundService;
    private double currentTime;

    /**
     * Creates rounds in which no flow was served yet.
     *
     * @param roundService the service per unit of weight that one round grants, positive, in the
     *     unit of the costs that are charged
     */
    public FairRounds(double roundService) {
        checkArgument(roundService > 0, "service of a round not positive: %s", roundService);
        this.roundService = roundService;
    }

    /** Returns the round in which the next request or item of a flow is served. */
    public long round(String flow) {
        return (long) (virtualTime(flow) / roundService);
    }

    /** Advances to the earliest round that has a waiting request or item. */
    public void advanceTo(long earliestRound) {
        currentTime = Math.max(currentTime, roundService * earliestRound);
    }

    /** Records service that a flow received. */
    public void charge(String flow, int weight, double cost) {
        virtualTimes.put(flow, virtualTime(flow) + cost / weight);
    }

    /** Returns the virtual time of a flow, in service per unit of weight. */
    public double virtualTime(String flow) {
        return Math.max(currentTime, virtualTimes.getOrDefault(flow, 0.0));
    }
}
