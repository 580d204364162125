package org.fuchsiaspindle.core.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Max-min fair division of a pool by demand. The remainder, which is the part of the pool that
 * exceeds the total demand, is divided equally. Pure functions.
 */
final class MaxMinDivision {

    private MaxMinDivision() {}

    /**
     * Returns one entry's part of a pool of requests per second.
     *
     * @param pool the requests per second to divide
     * @param demands the demands of all requesting entries
     * @param reservedFraction the fraction of the remainder that stays unassigned
     * @param entry the entry, one of the requesting entries
     */
    static double ofRate(
            double pool, Map<String, Demand> demands, double reservedFraction, String entry) {
        double[] remainder = {0};
        double part = maxMinPart(pool, demands, Demand::rate, entry, remainder);
        return part + remainder[0] * (1 - reservedFraction) / demands.size();
    }

    /**
     * Returns one entry's part of a pool of concurrency in whole requests, divided like the rate.
     */
    static int ofConcurrency(
            int pool, Map<String, Demand> demands, double reservedFraction, String entry) {
        double[] remainder = {0};
        double part = maxMinPart(pool, demands, Demand::concurrency, entry, remainder);
        // If the pool is smaller than the number of requesting entries, each is assigned one; the
        // granter subtracts outstanding grants, so the first requesters get them.
        double assigned = Math.max(part, Math.min(1, pool));
        return (int) Math.floor(assigned + remainder[0] * (1 - reservedFraction) / demands.size());
    }

    /**
     * Water-filling in ascending order of demand: every entry gets its demand or an equal part of
     * what is left. Stores the remainder in {@code remainder[0]}.
     */
    private static double maxMinPart(
            double pool,
            Map<String, Demand> demands,
            ToDoubleFunction<Demand> amount,
            String entry,
            double[] remainder) {
        List<Map.Entry<String, Demand>> ascending =
                demands.entrySet().stream()
                        .sorted(
                                Comparator.comparingDouble(
                                        (Map.Entry<String, Demand> demand) ->
                                                amount.applyAsDouble(demand.getValue())))
                        .toList();
        double available = pool;
        double result = 0;
        int unserved = ascending.size();
        for (Map.Entry<String, Demand> demand : ascending) {
            double part = Math.min(amount.applyAsDouble(demand.getValue()), available / unserved);
            available -= part;
            unserved--;
            if (demand.getKey().equals(entry)) {
                result = part;
            }
        }
        remainder[0] = available;
        return result;
    }
}
