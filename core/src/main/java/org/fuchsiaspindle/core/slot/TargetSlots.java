package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/** The slots of one target with what occupies them; not thread-safe. */
final class TargetSlots {

    /**
     * One occupied slot.
     *
     * @param holder the gateway that holds it
     * @param ticket the ticket under which it was granted
     * @param target the target
     * @param trafficClass what runs there
     * @param dueMillis the ordered due time of a batch item
     * @param grantNumber the number of the grant among the batch slots that the coordinator granted
     *     to the holder, 0 if the holder reported the slot or it is that of an online request
     * @param grantedNanos when it was granted, in monotonic nanoseconds
     */
    record Lease(
            String holder,
            long ticket,
            TargetSlots target,
            TrafficClass trafficClass,
            long dueMillis,
            long grantNumber,
            long grantedNanos) {

        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(this);
        }
    }

    /** Due times in the same step of this length count as equal for preemption. */
    private static final Duration DUE_STEP = Duration.ofSeconds(5);

    private final String id;
    private final TargetReliability reliability = new TargetReliability();
    private final Set<Lease> leases = new LinkedHashSet<>();
    private int slots = 1;
    private boolean open;
    private int online;
    private long lastGrantNanos;
    private RequestLimit requestLimit;

    TargetSlots(String id) {
        this.id = checkNotNull(id, "id");
    }

    String id() {
        return id;
    }

    TargetReliability reliability() {
        return reliability;
    }

    int slots() {
        return slots;
    }

    int online() {
        return online;
    }

    int total() {
        return leases.size();
    }

    boolean isEmpty() {
        return leases.isEmpty();
    }

    int freeSlots() {
        return Math.max(0, slots - leases.size());
    }

    boolean hasFreeSlot() {
        return freeSlots() > 0;
    }

    boolean hasSlotForOnline(long now) {
        return online < slots && (requestLimit == null || requestLimit.allowsOnline(now));
    }

    boolean hasSlotForBatch(long now) {
        return hasFreeSlot() && (requestLimit == null || requestLimit.allowsBatch(now));
    }

    /** Returns how many slots online requests can occupy if each takes some time on average. */
    double slotsForOnline(double holdNanos) {
        return requestLimit == null
                ? slots
                : Math.min(slots, requestLimit.occupiedSlots(holdNanos));
    }

    /** Returns whether the target announced how many requests it accepts. */
    boolean hasRequestLimit() {
        return requestLimit != null;
    }

    /** Replaces the requests a second that the target accepts; empty for no limit. */
    void limitRequests(OptionalDouble requestsPerSecond, long now) {
        if (requestsPerSecond.isEmpty()) {
            requestLimit = null;
        } else if (requestLimit == null) {
            requestLimit = new RequestLimit(requestsPerSecond.getAsDouble(), now);
        } else {
            requestLimit.setRate(requestsPerSecond.getAsDouble(), now);
        }
    }

    /** Records that a request is about to be sent to the target. */
    void requestGranted(long now) {
        if (requestLimit != null) {
            requestLimit.take(now);
        }
    }

    long lastGrantNanos() {
        return lastGrantNanos;
    }

    /** Returns whether the target is registered and accepts new requests. */
    boolean isOpen() {
        return open;
    }

    void open(int newSlots) {
        open = true;
        slots = newSlots;
    }

    void close() {
        open = false;
    }

    void add(Lease lease) {
        leases.add(lease);
        online += lease.trafficClass() == TrafficClass.ONLINE ? 1 : 0;
        lastGrantNanos = lease.grantedNanos();
    }

    void remove(Lease lease) {
        if (leases.remove(lease)) {
            online -= lease.trafficClass() == TrafficClass.ONLINE ? 1 : 0;
        }
    }

    /** Returns the cost of a further batch item: the load, higher if requests fail here. */
    double batchCost(long now) {
        return leases.size() + slots * reliability.failureShare(now);
    }

    /** Returns the number of gateways that hold slots of the target. */
    int holders() {
        Set<String> holders = new HashSet<>();
        leases.forEach(lease -> holders.add(lease.holder()));
        return holders.size();
    }

    /**
     * Returns the batch item to preempt first, empty if there is none: of those that are due last,
     * give or take {@link #DUE_STEP}, the one that started last and so loses least.
     */
    Optional<Lease> firstToPreempt() {
        Lease first = null;
        for (Lease lease : leases) {
            if (lease.trafficClass() == TrafficClass.BATCH
                    && (first == null || isPreemptedBefore(lease, first))) {
                first = lease;
            }
        }
        return Optional.ofNullable(first);
    }

    private static boolean isPreemptedBefore(Lease lease, Lease other) {
        long dueStep = lease.dueMillis() / DUE_STEP.toMillis();
        long otherDueStep = other.dueMillis() / DUE_STEP.toMillis();
        if (dueStep != otherDueStep) {
            return dueStep > otherDueStep;
        }
        long startedLater = lease.grantedNanos() - other.grantedNanos();
        return startedLater == 0 ? lease.dueMillis() > other.dueMillis() : startedLater > 0;
    }

    boolean isUnavailable(long now) {
        return reliability.isUnavailable(holders(), now);
    }
}
