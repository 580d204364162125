package org.fuchsiaspindle.core.limit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaspindle.core.membership.Rendezvous;

/**
 * The listed entries, and for each customer their order by rendezvous hashing, which determines the
 * customer's granter.
 *
 * <p>Thread-safe; immutable except for a cache of orders. Processes with the same list compute the
 * same orders.
 */
public final class EntryRing {

    /**
     * Number of entries in a cached order. Entries beyond it never become the granter and receive
     * no part of the remainder.
     */
    private static final int CACHED_ORDER = 32;

    private final ImmutableSet<String> entries;
    private final Map<String, ImmutableList<String>> orders = new ConcurrentHashMap<>();

    private EntryRing(ImmutableSet<String> entries) {
        this.entries = entries;
    }

    /** Creates a ring of the listed entries. */
    public static EntryRing of(Collection<String> entries) {
        return new EntryRing(ImmutableSet.copyOf(entries));
    }

    /** Returns the listed entries. */
    public ImmutableSet<String> entries() {
        return entries;
    }

    /**
     * Returns the granter of a customer.
     *
     * @param customer the customer
     * @param gone the entries that are considered gone
     * @return the granter, or empty if all entries in the cached order are gone
     */
    public Optional<String> granter(String customer, Set<String> gone) {
        for (String entry : order(customer)) {
            if (!gone.contains(entry)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the equal share of an entry. The equal shares of all entries add up to at most the
     * limit; the remainder of dividing the concurrency goes to the first entries of the customer's
     * order.
     *
     * @param customer the customer
     * @param limits the customer's limits
     * @param entry the entry; it counts as an additional one if it is not listed
     */
    public Share equalShare(String customer, CustomerLimits limits, String entry) {
        int count = entries.contains(entry) ? entries.size() : entries.size() + 1;
        int each = limits.concurrency() / count;
        int rank = order(customer).indexOf(entry);
        boolean remainder = rank >= 0 && rank < limits.concurrency() % count;
        return new Share(limits.rate().requestsPerSecond() / count, remainder ? each + 1 : each);
    }

    private ImmutableList<String> order(String customer) {
        return orders.computeIfAbsent(
                customer, key -> Rendezvous.top("granter/" + key, entries, CACHED_ORDER));
    }
}
