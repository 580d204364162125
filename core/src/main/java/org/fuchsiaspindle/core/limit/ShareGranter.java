package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Divides the limits of the customers for which this entry is the granter.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. Handling a request takes O(requested
 * customers x entries).
 *
 * <p>The granter divides a pool, which consists of the equal shares of its followers. An entry is a
 * follower if, by its own view of the fleet, this entry is the customer's granter. The sum of a
 * customer's unexpired grants never exceeds the pool, so the share of one entry grows only after
 * the grants of others have shrunk.
 */
public final class ShareGranter {

    /** Time for which a grant is valid after its request was sent. */
    public static final Duration VALIDITY = Duration.ofSeconds(2);

    /** Time without requests after which an entry is no longer a follower. */
    public static final Duration SILENT_AFTER = Duration.ofSeconds(2);

    /**
     * Time for which an entry must have been a follower before its equal share enters the pool.
     * Until then the share may still be in the pool of the former granter (for {@link
     * #SILENT_AFTER}), or back the last grant of the former granter (for {@link #VALIDITY}).
     */
    public static final Duration POOLED_AFTER = SILENT_AFTER.plus(VALIDITY);

    /**
     * Time for which the requests that ran at an entry are still counted after its last request,
     * because they may still run.
     */
    private static final Duration RETENTION_AFTER_LAST_REQUEST = Duration.ofMinutes(10);

    /**
     * Fraction of the remainder of the pool above the total demand that is reserved for followers
     * without demand. Without the reserve, the first request at such an entry would be refused
     * until the grants of others have shrunk.
     */
    private static final double RESERVED_FRACTION = 0.25;

    private final String self;
    private final Map<String, Requester> requesters = new HashMap<>();
    private final Map<String, Map<String, Deque<IssuedGrant>>> issued = new HashMap<>();

    /**
     * The state of an entry that sends requests to this granter, which may be this entry itself.
     */
    private static final class Requester {
        private final long sinceNanos;
        private final Deque<FormerView> formerViews = new ArrayDeque<>();
        private long lastRequestNanos;
        private View view;
        private ImmutableMap<String, Demand> demands = ImmutableMap.of();

        Requester(long sinceNanos, View view) {
            this.sinceNanos = sinceNanos;
            this.view = view;
        }

        void update(View newView, ImmutableMap<String, Demand> newDemands, long nowNanos) {
            if (!newView.equals(view)) {
                formerViews.add(new FormerView(view, nowNanos));
                view = newView;
            }
            formerViews.removeIf(former -> nowNanos - former.atNanos() >= POOLED_AFTER.toNanos());
            lastRequestNanos = nowNanos;
            demands = newDemands;
        }
    }

    /**
     * An entry's view of the fleet, which determines its choice of granters. The ring is compared
     * by identity.
     */
    private record View(EntryRing ring, ImmutableSet<String> gone) {

        boolean follows(String granter, String customer) {
            return ring.granter(customer, gone).equals(Optional.of(granter));
        }
    }

    /** A former view of an entry and the time at which its successor was received. */
    private record FormerView(View view, long atNanos) {}

    /** An issued grant and its expiry time. */
    private record IssuedGrant(Share share, long untilNanos) {}

    /**
     * The granter's own view of the fleet.
     *
     * @param ring the listed entries
     * @param gone the listed entries that this entry considers gone
     * @param assumed the entries that count as followers although they send no requests to this
     *     entry, because in a large fleet not every entry sends requests to every other
     */
    public record Fleet(EntryRing ring, ImmutableSet<String> gone, ImmutableSet<String> assumed) {

        /** Validates the components. */
        public Fleet {
            checkNotNull(ring, "ring");
            checkNotNull(gone, "gone");
            checkNotNull(assumed, "assumed");
        }
    }

    private ShareGranter(String self) {
        this.self = self;
    }

    /**
     * Creates a granter that has issued no grants.
     *
     * @param self the identifier of the entry that it belongs to, not null
     */
    public static ShareGranter create(String self) {
        return new ShareGranter(checkNotNull(self, "self"));
    }

    /**
     * Handles a share request of an entry, which may be this one.
     *
     * @param from the requesting entry
     * @param gone the entries that it considers gone
     * @param demands its demand by customer; a missing customer means no demand
     * @param fleet this entry's view of the fleet
     * @param limits returns the limits of a customer, empty if there are none
     * @param nowNanos the time
     * @return the granted shares by customer, without customers of other granters
     */
    public ImmutableMap<String, Share> handleRequest(
            String from,
            ImmutableSet<String> gone,
            ImmutableMap<String, Demand> demands,
            Fleet fleet,
            Function<String, Optional<CustomerLimits>> limits,
            long nowNanos) {
        View view = new View(fleet.ring(), gone);
        Requester requester = requesters.get(from);
        if (requester == null || isSilent(requester, nowNanos)) {
            requester = new Requester(nowNanos, view);
            requesters.put(from, requester);
        }
        requester.update(view, demands, nowNanos);
        ImmutableMap.Builder<String, Share> grants = ImmutableMap.builder();
        for (String customer : demands.keySet()) {
            boolean granter =
                    fleet.ring().granter(customer, fleet.gone()).equals(Optional.of(self));
            if (granter && follows(from, customer, nowNanos)) {
                limits.apply(customer)
                        .map(limit -> grant(from, customer, limit, fleet, nowNanos))
                        .ifPresent(share -> grants.put(customer, share));
            }
        }
        return grants.buildOrThrow();
    }

    /**
     * Drops expired grants and the state of entries that are no longer listed or have not sent a
     * request for a long time.
     */
    public void prune(EntryRing ring, long nowNanos) {
        requesters
                .entrySet()
                .removeIf(
                        entry -> {
                            long silentNanos = nowNanos - entry.getValue().lastRequestNanos;
                            boolean listed = ring.entries().contains(entry.getKey());
                            return silentNanos >= RETENTION_AFTER_LAST_REQUEST.toNanos()
                                    || !listed && silentNanos >= SILENT_AFTER.toNanos();
                        });
        issued.values()
                .forEach(
                        byEntry -> {
                            byEntry.values().forEach(list -> dropExpired(list, nowNanos));
                            byEntry.values().removeIf(Deque::isEmpty);
                        });
        issued.values().removeIf(Map::isEmpty);
    }

    private Share grant(
            String to, String customer, CustomerLimits limits, Fleet fleet, long nowNanos) {
        Map<String, Deque<IssuedGrant>> issuedByEntry =
                issued.computeIfAbsent(customer, key -> new HashMap<>());
        issuedByEntry.values().forEach(list -> dropExpired(list, nowNanos));
        Share equal = fleet.ring().equalShare(customer, limits, to);
        Share share = equal;
        if (isPooled(to, customer, fleet, nowNanos)) {
            share = shareFromPool(to, customer, limits, fleet, issuedByEntry, nowNanos);
        }
        issuedByEntry
                .computeIfAbsent(to, key -> new ArrayDeque<>())
                .add(new IssuedGrant(share, nowNanos + VALIDITY.toNanos()));
        return share;
    }

    private Share shareFromPool(
            String to,
            String customer,
            CustomerLimits limits,
            Fleet fleet,
            Map<String, Deque<IssuedGrant>> issuedByEntry,
            long nowNanos) {
        Set<String> pooledEntries = new HashSet<>();
        double poolRate = 0;
        int poolConcurrency = 0;
        double usedRate = 0;
        int usedConcurrency = 0;
        Set<String> knownEntries = new HashSet<>(fleet.ring().entries());
        knownEntries.addAll(requesters.keySet());
        knownEntries.addAll(issuedByEntry.keySet());
        for (String entry : knownEntries) {
            Share equal = fleet.ring().equalShare(customer, limits, entry);
            Share used = outstanding(entry, customer, issuedByEntry);
            if (isPooled(entry, customer, fleet, nowNanos)) {
                pooledEntries.add(entry);
                poolRate += equal.rate();
                poolConcurrency += equal.concurrency();
                if (!entry.equals(to)) {
                    usedRate += used.rate();
                    usedConcurrency += used.concurrency();
                }
            } else {
                // The entry may use its equal share in any case, so only the excess is taken from
                // the pool.
                usedRate += Math.max(0, used.rate() - equal.rate());
                usedConcurrency += Math.max(0, used.concurrency() - equal.concurrency());
            }
        }
        Map<String, Demand> demands = demandsOf(customer, pooledEntries);
        boolean hasIdleFollowers = demands.size() < pooledEntries.size();
        double rate =
                MaxMinDivision.ofRate(
                        poolRate, demands, hasIdleFollowers ? RESERVED_FRACTION : 0, to);
        int concurrency =
                MaxMinDivision.ofConcurrency(
                        poolConcurrency, demands, hasIdleFollowers ? RESERVED_FRACTION : 0, to);
        return new Share(
                Math.max(0, Math.min(rate, poolRate - usedRate)),
                Math.max(0, Math.min(concurrency, poolConcurrency - usedConcurrency)));
    }

    private Map<String, Demand> demandsOf(String customer, Set<String> pooledEntries) {
        Map<String, Demand> demands = new TreeMap<>();
        for (String entry : pooledEntries) {
            Requester requester = requesters.get(entry);
            Demand demand = requester == null ? null : requester.demands.get(customer);
            if (demand != null) {
                demands.put(entry, demand);
            }
        }
        return demands;
    }

    /** Returns the largest share that an entry may be using under grants of this granter. */
    private Share outstanding(
            String entry, String customer, Map<String, Deque<IssuedGrant>> issuedByEntry) {
        double rate = 0;
        int concurrency = 0;
        for (IssuedGrant grant : issuedByEntry.getOrDefault(entry, new ArrayDeque<>())) {
            rate = Math.max(rate, grant.share().rate());
            concurrency = Math.max(concurrency, grant.share().concurrency());
        }
        Requester requester = requesters.get(entry);
        Demand demand = requester == null ? null : requester.demands.get(customer);
        int running = demand == null ? 0 : demand.running();
        return new Share(rate, Math.max(concurrency, running));
    }

    private boolean isPooled(String entry, String customer, Fleet fleet, long nowNanos) {
        Requester requester = requesters.get(entry);
        if (requester == null || isSilent(requester, nowNanos)) {
            return fleet.assumed().contains(entry);
        }
        return follows(entry, customer, nowNanos)
                && (fleet.assumed().contains(entry)
                        || hasFollowedForPoolingTime(requester, customer, nowNanos));
    }

    private boolean hasFollowedForPoolingTime(Requester requester, String customer, long nowNanos) {
        return nowNanos - requester.sinceNanos >= POOLED_AFTER.toNanos()
                && requester.formerViews.stream()
                        .filter(former -> nowNanos - former.atNanos() < POOLED_AFTER.toNanos())
                        .allMatch(former -> former.view().follows(self, customer));
    }

    private boolean follows(String entry, String customer, long nowNanos) {
        Requester requester = requesters.get(entry);
        return requester != null
                && !isSilent(requester, nowNanos)
                && requester.view.follows(self, customer);
    }

    private static boolean isSilent(Requester requester, long nowNanos) {
        return nowNanos - requester.lastRequestNanos >= SILENT_AFTER.toNanos();
    }

    private static void dropExpired(Deque<IssuedGrant> grants, long nowNanos) {
        grants.removeIf(grant -> nowNanos - grant.untilNanos() >= 0);
    }
}
