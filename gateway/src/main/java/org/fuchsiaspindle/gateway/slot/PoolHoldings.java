package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.slot.BatchDemand;
import org.fuchsiaspindle.core.slot.HeldSlot;

/** What this gateway holds and wants of one pool, as its coordinator knows it; not thread-safe. */
final class PoolHoldings {

    private final Map<Long, SlotLease> leases = new HashMap<>();
    private final Map<Long, SlotAcquisition> acquisitions = new HashMap<>();
    private String coordinator;
    private BatchDemand sentDemand = BatchDemand.NONE;
    private long demandSentNanos;
    private final Map<String, Long> batchGrants = new HashMap<>();

    PoolHoldings(String coordinator) {
        this.coordinator = checkNotNull(coordinator, "coordinator");
    }

    String coordinator() {
        return coordinator;
    }

    void setCoordinator(String newCoordinator) {
        coordinator = newCoordinator;
    }

    Map<Long, SlotAcquisition> acquisitions() {
        return acquisitions;
    }

    void add(SlotLease lease) {
        leases.put(lease.slot().ticket(), lease);
    }

    boolean remove(SlotLease lease) {
        return leases.remove(lease.slot().ticket(), lease);
    }

    Optional<SlotLease> removeTicket(long ticket) {
        return Optional.ofNullable(leases.remove(ticket));
    }

    List<HeldSlot> heldSlots() {
        List<HeldSlot> slots = new ArrayList<>();
        leases.values().forEach(lease -> slots.add(lease.slot()));
        return slots;
    }

    /** Returns how many batch slots the coordinator has granted to this gateway so far. */
    long batchGrants() {
        return batchGrants.getOrDefault(coordinator, 0L);
    }

    void countBatchGrant() {
        batchGrants.merge(coordinator, 1L, Long::sum);
    }

    BatchDemand sentDemand() {
        return sentDemand;
    }

    void setSentDemand(BatchDemand demand, long now) {
        sentDemand = demand;
        demandSentNanos = now;
    }

    /** Returns the time since the last demand was sent. */
    Duration demandAge(long now) {
        return Duration.ofNanos(now - demandSentNanos);
    }

    /** Returns whether the coordinator must notice soon that this gateway is lost. */
    boolean isInUse() {
        return !leases.isEmpty() || !acquisitions.isEmpty() || sentDemand.waiting() > 0;
    }
}
