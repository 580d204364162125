package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;

/**
 * Start-time fair queueing between customers: each item that is sent advances its customer's
 * virtual time by 1 / weight, and the customer with the lowest virtual time is served next. Not
 * thread-safe.
 *
 * <p>A customer that was idle starts at the current virtual time, so idle time earns no credit.
 */
public final class CustomerVirtualTimes {

    private static final int MAX_CUSTOMERS = 20_000;

    private final Map<String, Double> times = new HashMap<>();
    private double currentTime;

    /** Returns a customer's virtual time; the lowest is served next. */
    public double virtualTime(String customer) {
        return Math.max(currentTime, times.getOrDefault(customer, currentTime));
    }

    /** Records that items of a customer were sent. */
    public void charge(String customer, int weight, int items) {
        checkArgument(weight > 0, "weight not positive: %s", weight);
        double start = virtualTime(customer);
        currentTime = Math.max(currentTime, start);
        if (times.size() >= MAX_CUSTOMERS) {
            times.values().removeIf(time -> time <= currentTime);
        }
        times.put(customer, start + (double) items / weight);
    }
}
