package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Admits requests at one entry within its shares of all customers' limits.
 *
 * <p>Thread-safe; each customer is locked separately. Times are monotonic nanoseconds.
 */
public final class ShareHolder {

    private final String self;
    private final Map<String, CustomerShare> shares = new ConcurrentHashMap<>();

    /** The time until which each granter counts as responsive. */
    private final Map<String, Long> responsiveUntil = new ConcurrentHashMap<>();

    private volatile View view = new View(EntryRing.of(Set.of()), ImmutableSet.of());

    /** The listed entries, and those of them that this entry considers gone. */
    private record View(EntryRing ring, ImmutableSet<String> gone) {}

    private ShareHolder(String self) {
        this.self = self;
    }

    /**
     * Creates a holder without grants, for a fleet of one entry.
     *
     * @param self the identifier of the entry that it belongs to, not null
     */
    public static ShareHolder create(String self) {
        return new ShareHolder(checkNotNull(self, "self"));
    }

    /** Sets the listed entries, and those of them that this entry considers gone. */
    public void updateMembers(EntryRing ring, ImmutableSet<String> gone) {
        view = new View(ring, gone);
    }

    /** Tries to admit one request of a customer; an admitted request must be released once. */
    public CustomerShare.Result acquire(String customer, CustomerLimits limits, long nowNanos) {
        Share ungranted = ungrantedShare(customer, limits, nowNanos);
        CustomerShare.Result[] result = new CustomerShare.Result[1];
        shares.compute(
                customer,
                (key, existing) -> {
                    CustomerShare share =
                            existing == null
                                    ? CustomerShare.create(limits, ungranted, nowNanos)
                                    : existing;
                    result[0] = share.acquire(limits, ungranted, nowNanos);
                    return share;
                });
        return result[0];
    }

    /** Records the end of an admitted request. */
    public void release(String customer) {
        shares.computeIfPresent(
                customer,
                (key, share) -> {
                    share.release();
                    return share;
                });
    }

    /**
     * Returns the time until a refused request of a customer may be retried, bounded by a maximum.
     */
    public Duration retryAfter(String customer, long nowNanos, Duration atMost) {
        Duration[] result = {atMost};
        shares.computeIfPresent(
                customer,
                (key, share) -> {
                    result[0] = share.retryAfter(nowNanos, atMost);
                    return share;
                });
        return result[0];
    }

    /** Returns true while a grant for the customer is valid. */
    public boolean hasGrant(String customer, long nowNanos) {
        boolean[] result = new boolean[1];
        shares.computeIfPresent(
                customer,
                (key, share) -> {
                    result[0] = share.hasGrant(nowNanos);
                    return share;
                });
        return result[0];
    }

    /** Returns the share of a customer's limits that this entry may use now. */
    public Share inUse(String customer, CustomerLimits limits, long nowNanos) {
        Share ungranted = ungrantedShare(customer, limits, nowNanos);
        Share[] result = {ungranted};
        shares.computeIfPresent(
                customer,
                (key, share) -> {
                    result[0] = share.inUse(limits, ungranted, nowNanos);
                    return share;
                });
        return result[0];
    }

    /** Returns the number of running requests of a customer. */
    public int running(String customer, long nowNanos) {
        int[] result = new int[1];
        shares.computeIfPresent(
                customer,
                (key, share) -> {
                    result[0] = share.demand(nowNanos).running();
                    return share;
                });
        return result[0];
    }

    /** Returns the demands to send, by granter and customer. Idle customers are omitted. */
    public ImmutableMap<String, ImmutableMap<String, Demand>> demands(long nowNanos) {
        Map<String, ImmutableMap.Builder<String, Demand>> byGranter = new TreeMap<>();
        for (String customer : shares.keySet()) {
            shares.computeIfPresent(
                    customer,
                    (key, share) -> {
                        Optional<String> granter = granter(customer);
                        if (granter.isPresent() && !share.isIdle(nowNanos)) {
                            byGranter
                                    .computeIfAbsent(granter.get(), g -> ImmutableMap.builder())
                                    .put(customer, share.demand(nowNanos));
                        }
                        return share;
                    });
        }
        ImmutableMap.Builder<String, ImmutableMap<String, Demand>> demands = ImmutableMap.builder();
        byGranter.forEach((granter, builder) -> demands.put(granter, builder.buildOrThrow()));
        return demands.buildOrThrow();
    }

    /**
     * Applies the response of a granter to a share request.
     *
     * @param granter the granter
     * @param grants the granted shares by customer, possibly none
     * @param validUntilNanos the time at which the request was sent, plus the validity of grants
     */
    public void applyGrants(String granter, Map<String, Share> grants, long validUntilNanos) {
        responsiveUntil.merge(granter, validUntilNanos, (a, b) -> a - b >= 0 ? a : b);
        grants.forEach(
                (customer, grant) ->
                        shares.computeIfPresent(
                                customer,
                                (key, share) -> {
                                    share.applyGrant(grant, validUntilNanos);
                                    return share;
                                }));
    }

    /**
     * Drops the state of customers that no longer affects admission, and expired records of
     * responsive granters.
     */
    public void prune(long nowNanos) {
        for (String customer : shares.keySet()) {
            shares.computeIfPresent(
                    customer, (key, share) -> share.isDroppable(nowNanos) ? null : share);
        }
        responsiveUntil.values().removeIf(until -> nowNanos - until >= 0);
    }

    /** Returns the granter of a customer, or empty if all candidates are gone. */
    public Optional<String> granter(String customer) {
        View current = view;
        return current.ring().granter(customer, current.gone());
    }

    /**
     * Returns the share that this entry may use without a grant. While the granter responds,
     * obtaining a grant takes only a round trip, so one request may run even if the equal share
     * rounds down to zero. Otherwise a customer with a small concurrency limit would be refused at
     * most entries.
     */
    private Share ungrantedShare(String customer, CustomerLimits limits, long nowNanos) {
        View current = view;
        Share equal = current.ring().equalShare(customer, limits, self);
        if (equal.concurrency() > 0) {
            return equal;
        }
        Long until =
                current.ring()
                        .granter(customer, current.gone())
                        .map(responsiveUntil::get)
                        .orElse(null);
        boolean responsive = until != null && nowNanos - until < 0;
        return responsive ? new Share(equal.rate(), 1) : equal;
    }
}
