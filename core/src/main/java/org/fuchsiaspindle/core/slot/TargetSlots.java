package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.fuchsiaspindle.core.work.TargetSpeed;

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
     * @param work what was expected of the run when the slot was granted
     */
    record Lease(
            String holder,
            long ticket,
            TargetSlots target,
            TrafficClass trafficClass,
            long dueMillis,
            long grantNumber,
            long grantedNanos,
            ExpectedRun work) {

        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(this);
        }
    }

    /**
     * Smallest share of its duration that a run is expected to have left. One that has outlived the
     * estimate goes on the longer the longer it has run.
     */
    private static final double MIN_REMAINING_SHARE = 0.25;

    /** Factor of the time of an average target from which a target is slow for batch items. */
    private static final double SLOW_FOR_ITEMS = 1.4;

    /** Due times in the same step of this length count as equal for preemption. */
    private static final Duration DUE_STEP = Duration.ofSeconds(5);

    private final String id;
    private final TargetReliability reliability = new TargetReliability();
    private final TargetSpeed speed = new TargetSpeed();
    private final Set<Lease> leases = new LinkedHashSet<>();
    private int slots = 1;
    private boolean open;
    private int online;
    private int memoryTokens;
    private long reservedTokens;
    private long onlineTokens;
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

    /** Returns how fast the target works now. */
    TargetSpeed speed() {
        return speed;
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

    /** Sets the memory for requests and prompts, in tokens; 0 if unknown. */
    void setMemory(int tokens) {
        memoryTokens = tokens;
    }

    /** Returns whether a request can start without preempting a batch item. */
    boolean hasRoom(int tokens) {
        return hasFreeSlot() && fits(reservedTokens, tokens);
    }

    /**
     * Returns whether a request fits beside some tokens. One of unknown size always does, and so do
     * all while the memory is unknown.
     */
    private boolean fits(long occupiedTokens, int tokens) {
        return memoryTokens == 0 || tokens == 0 || occupiedTokens + tokens <= memoryTokens;
    }

    /** Returns whether more runs on the target than it has slots and memory for. */
    boolean isOverfull() {
        return leases.size() > slots || memoryTokens > 0 && reservedTokens > memoryTokens;
    }

    /** Returns whether an online request of unknown size can start. */
    boolean hasSlotForOnline(long now) {
        return hasRoomForOnline(0, now);
    }

    /** Returns whether an online request can start, possibly in place of batch items. */
    boolean hasRoomForOnline(int tokens, long now) {
        return online < slots
                && fits(onlineTokens, tokens)
                && (requestLimit == null || requestLimit.allowsOnline(now));
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
        count(lease, 1);
        lastGrantNanos = lease.grantedNanos();
    }

    void remove(Lease lease) {
        if (leases.remove(lease)) {
            count(lease, -1);
        }
    }

    private void count(Lease lease, int sign) {
        int tokens = lease.work().reservedTokens();
        reservedTokens += (long) sign * tokens;
        if (lease.trafficClass() == TrafficClass.ONLINE) {
            online += sign;
            onlineTokens += (long) sign * tokens;
        }
    }

    /**
     * Returns how many of the present requests run beside a new one on average.
     *
     * @param nanos how long the new one is expected to take, positive
     * @param now the time
     */
    double expectedRunning(double nanos, long now) {
        double running = 0;
        for (Lease lease : leases) {
            running += Math.min(1, remainingNanos(lease, now) / nanos);
        }
        return running;
    }

    /** Returns how long a run is expected to go on, infinite if unknown. */
    private static double remainingNanos(Lease lease, long now) {
        double expected = lease.work().nanos();
        if (expected == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double elapsed = now - lease.grantedNanos();
        return Math.max(expected - elapsed, MIN_REMAINING_SHARE * Math.max(expected, elapsed));
    }

    /**
     * Returns the cost of a further batch item: the load, higher if requests fail here. A slow
     * target costs more than any other one that has room, because items are long: it is left to
     * online requests.
     */
    double batchCost(long now) {
        double slowCost = speed.slowness(now) > SLOW_FOR_ITEMS ? slots : 0;
        return leases.size() + slots * reliability.failureShare(now) + slowCost;
    }

    /** Returns the gateways that hold slots of the target. */
    private Set<String> holders() {
        Set<String> holders = new HashSet<>();
        leases.forEach(lease -> holders.add(lease.holder()));
        return holders;
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
        long due = dueStep(lease);
        long otherDue = dueStep(other);
        if (due != otherDue) {
            return due > otherDue;
        }
        long startedLater = lease.grantedNanos() - other.grantedNanos();
        return startedLater == 0 ? lease.dueMillis() > other.dueMillis() : startedLater > 0;
    }

    /** Returns the due time of a batch item in steps of the differences that matter. */
    static long dueStep(Lease lease) {
        return lease.dueMillis() / DUE_STEP.toMillis();
    }

    /** Returns whether the target refuses requests, or is silent and gets no trial now. */
    boolean isUnavailable(long now) {
        return reliability.isBlocked(now)
                || reliability.isSilent()
                        && reliability.isWithheld(
                                leases.stream().mapToLong(Lease::grantedNanos), now);
    }

    /**
     * Records that the target sends a gateway no data. A report of one that holds no slot here says
     * nothing about the target, because no request of it runs here.
     */
    void recordSilence(String holder, long now) {
        Set<String> holders = holders();
        if (holders.contains(holder)) {
            reliability.recordSilence(holder, holders.size(), now);
        }
    }
}
