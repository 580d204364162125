package org.fuchsiaspindle.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.fuchsiaspindle.core.fairness.FairRounds;

/**
 * Queue of waiting requests or items, fair between customers and ordered by deadline within a
 * round.
 *
 * <p>Not thread-safe; each operation is O(log n).
 */
final class WaitingQueue {

    /** A waiting request or item. */
    record Entry(
            long id, String customer, int weight, long deadlineNanos, long cost, boolean resumed) {}

    /** Service per unit of weight that one round grants, in tokens. */
    private static final double ROUND_TOKENS = 2_000;

    private static final Comparator<Entry> BY_DEADLINE =
            Comparator.comparingLong(Entry::deadlineNanos).thenComparingLong(Entry::id);

    /** Preempted items go first, because the target may still hold their prefix in its cache. */
    private static final Comparator<Entry> RESUMED_FIRST =
            Comparator.comparing(Entry::resumed, Comparator.reverseOrder())
                    .thenComparing(BY_DEADLINE);

    private static final Comparator<Customer> BY_ROUND =
            Comparator.comparingLong((Customer customer) -> customer.round)
                    .thenComparing(customer -> customer.entries.first(), RESUMED_FIRST);

    private static final class Customer {
        private final TreeSet<Entry> entries = new TreeSet<>(RESUMED_FIRST);
        private long round;
    }

    private final FairRounds rounds = new FairRounds(ROUND_TOKENS);
    private final Map<String, Customer> customers = new HashMap<>();
    private final TreeSet<Customer> order = new TreeSet<>(BY_ROUND);
    private final TreeSet<Entry> byDeadline = new TreeSet<>(BY_DEADLINE);

    int size() {
        return byDeadline.size();
    }

    boolean isEmpty() {
        return byDeadline.isEmpty();
    }

    void add(Entry entry) {
        byDeadline.add(entry);
        Customer customer = customers.computeIfAbsent(entry.customer(), name -> new Customer());
        if (!customer.entries.isEmpty()) {
            order.remove(customer);
        }
        customer.entries.add(entry);
        customer.round = rounds.round(entry.customer());
        order.add(customer);
    }

    void remove(Entry entry) {
        if (!byDeadline.remove(entry)) {
            return;
        }
        Customer customer = customers.get(entry.customer());
        order.remove(customer);
        customer.entries.remove(entry);
        if (customer.entries.isEmpty()) {
            customers.remove(entry.customer());
        } else {
            customer.round = rounds.round(entry.customer());
            order.add(customer);
        }
    }

    /** Returns the entry with the earliest deadline, or null. */
    Entry earliest() {
        return byDeadline.isEmpty() ? null : byDeadline.first();
    }

    /** Returns the entry to serve next, or null. */
    Entry next() {
        return order.isEmpty() ? null : order.first().entries.first();
    }

    /**
     * Removes an entry that is about to start, and charges its customer unless it was charged at an
     * earlier start.
     */
    void take(Entry entry) {
        rounds.advanceTo(order.first().round);
        if (!entry.resumed()) {
            rounds.charge(entry.customer(), entry.weight(), entry.cost());
        }
        remove(entry);
    }
}
