package org.fuchsiaspindle.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Weighted fair queueing between customers, in rounds of service.
 *
 * <p>Each customer has a virtual time that grows with its service divided by its weight. Customers
 * in an earlier round are served first; within a round the caller's order decides. A customer that
 * was idle starts at the current round, so idle time earns no credit. Not thread-safe; O(1).
 */
final class CustomerRounds {

    /** Service per unit of weight that one round grants, in tokens. */
    private static final long ROUND_TOKENS = 2_000;

    /**
     * Largest number of customers whose virtual time is kept; bounds the memory for idle customers.
     */
    private static final int MAX_CUSTOMERS = 4_096;

    private final Map<String, Double> virtualTimes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > MAX_CUSTOMERS;
                }
            };
    private double currentTime;

    /** Returns the round in which the customer's next request or item is served. */
    long round(String customer) {
        return (long) (virtualTime(customer) / ROUND_TOKENS);
    }

    /** Advances to the earliest round that has a waiting request or item. */
    void advanceTo(long earliestRound) {
        currentTime = Math.max(currentTime, (double) ROUND_TOKENS * earliestRound);
    }

    /** Records service that a customer received. */
    void charge(String customer, int weight, long cost) {
        virtualTimes.put(customer, virtualTime(customer) + (double) cost / weight);
    }

    private double virtualTime(String customer) {
        return Math.max(currentTime, virtualTimes.getOrDefault(customer, 0.0));
    }
}
