package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.slot.HeldSlot;
import org.fuchsiaspindle.core.slot.PoolExchange;

/** What this gateway holds and wants of one pool, as its coordinator knows it; not thread-safe. */
final class PoolHoldings {

    private final Map<Long, SlotLease> leases = new HashMap<>();
    private final Map<Long, SlotAcquisition> acquisitions = new HashMap<>();
    private final Map<String, Long> grantsByCoordinator = new HashMap<>();
    private final PoolExchange exchange;

    PoolHoldings(PoolExchange exchange) {
        this.exchange = checkNotNull(exchange, "exchange");
    }

    PoolExchange exchange() {
        return exchange;
    }

    String coordinator() {
        return exchange.coordinator();
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

    /**
     * Returns how many batch slots the coordinator has granted in all exchanges, which is what
     * coordinators of earlier versions count.
     */
    long grantsInAllExchanges() {
        return grantsByCoordinator.getOrDefault(coordinator(), 0L);
    }

    void countBatchGrant() {
        exchange.countGrant();
        grantsByCoordinator.merge(coordinator(), 1L, Long::sum);
    }

    /** Returns whether this gateway holds slots or waits for slots for online requests. */
    boolean holdsOrRequestsSlots() {
        return !leases.isEmpty() || !acquisitions.isEmpty();
    }

    /** Returns whether the coordinator must notice soon that this gateway is lost. */
    boolean isInUse() {
        return holdsOrRequestsSlots() || exchange.hasSentDemand();
    }
}
