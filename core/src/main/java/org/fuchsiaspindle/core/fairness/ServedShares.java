package org.fuchsiaspindle.core.fairness;

import java.util.Map;
import org.fuchsiaspindle.core.collect.LruMap;

/**
 * Counts the requests of each flow that arrived and that were served, to find a flow that starves.
 *
 * <p>Not thread-safe; O(1).
 */
public final class ServedShares {

    /** A flow starves if its share is smaller than the share of all flows divided by this. */
    private static final double STARVATION_DIVISOR = 4;

    /** Arrivals of a flow before its share says anything. */
    private static final long MIN_ARRIVALS = 4;

    /** Largest number of flows that are counted; bounds the memory. */
    private static final int MAX_FLOWS = 4_096;

    /** The counts of one flow. */
    private static final class Counts {
        private long arrived;
        private long served;
    }

    private final Map<String, Counts> flows = new LruMap<>(MAX_FLOWS);
    private long arrived;
    private long served;

    /** Creates shares without any request. */
    public ServedShares() {}

    /** Records the arrival of a request, whatever becomes of it. */
    public void arrived(String flow) {
        arrived++;
        flows.computeIfAbsent(flow, key -> new Counts()).arrived++;
    }

    /** Records that a request that had arrived is served. */
    public void served(String flow) {
        served++;
        flows.computeIfAbsent(flow, key -> new Counts()).served++;
    }

    /** Returns whether a flow is served less than a quarter as often as all flows together. */
    public boolean isStarved(String flow) {
        Counts counts = flows.get(flow);
        return counts != null
                && counts.arrived >= MIN_ARRIVALS
                && STARVATION_DIVISOR * counts.served * arrived < (double) served * counts.arrived;
    }
}
