package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.slot.TargetSlots.Lease;

/**
 * What the coordinator of a pool knows of one gateway: its slots, its batch demand, and which
 * grants it has confirmed.
 *
 * <p>Not thread-safe; times are monotonic nanoseconds.
 */
final class SlotHolder {

    /** Time after which an unconfirmed grant is lost or its holder is out of step. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(2500);

    /** Time between two queries, each of which may be lost. */
    private static final Duration QUERY_INTERVAL = Duration.ofSeconds(1);

    private final String ip;
    private final Map<Long, Lease> leases = new HashMap<>();
    private BatchDemand demand = BatchDemand.NONE;

    /** The exchange in which the grants are counted. */
    private long exchange = ReceivedGrants.NO_EXCHANGE;

    private long grants;

    /** When the oldest unconfirmed grant was made or a later confirmation arrived. */
    private long unconfirmedSinceNanos;

    private boolean outOfStep;
    private Optional<Long> queriedNanos = Optional.empty();

    SlotHolder(String ip) {
        this.ip = checkNotNull(ip, "ip");
    }

    Map<Long, Lease> leases() {
        return leases;
    }

    BatchDemand demand() {
        return demand;
    }

    long exchange() {
        return exchange;
    }

    /** Returns how many waiting items have no grant on its way to them. */
    int ungrantedItems() {
        return (int) Math.max(0, demand.waiting() - unconfirmedGrants());
    }

    private long unconfirmedGrants() {
        return Math.max(0, grants - demand.received().count());
    }

    /** Replaces the demand. */
    void setDemand(BatchDemand newDemand, long now) {
        checkNotNull(newDemand, "newDemand");
        boolean isProgress = !newDemand.received().equals(demand.received());
        // Slots that were reported in another exchange may still be held.
        outOfStep |= newDemand.received().exchange() != exchange;
        demand = newDemand;
        count(newDemand.received());
        if (isProgress || unconfirmedGrants() == 0) {
            unconfirmedSinceNanos = now;
        }
    }

    /** Begins an exchange, in which nothing is wanted yet. */
    void begin(ReceivedGrants received) {
        demand = BatchDemand.NONE;
        outOfStep = false;
        queriedNanos = Optional.empty();
        count(received);
    }

    /** Continues the count of an exchange, or begins that of another one. */
    private void count(ReceivedGrants received) {
        boolean sameExchange = received.exchange() == exchange;
        exchange = received.exchange();
        grants = sameExchange ? Math.max(grants, received.count()) : received.count();
    }

    /** Counts a grant of a batch slot, and returns its number in the exchange. */
    long countGrant(long now) {
        if (unconfirmedGrants() == 0) {
            unconfirmedSinceNanos = now;
        }
        grants++;
        return grants;
    }

    /** Records that frames to the gateway or from it may be lost. */
    void recordLoss() {
        outOfStep = true;
        queriedNanos = Optional.empty();
    }

    /**
     * Returns the query that is due because the gateway may know of other slots than this
     * coordinator, empty if none is. A gateway of an earlier version reports its slots by itself,
     * and confirms grants only with its next demand.
     */
    Optional<SlotDecision.HoldingsQueried> dueQuery(long now) {
        boolean queried =
                queriedNanos.filter(nanos -> now - nanos < QUERY_INTERVAL.toNanos()).isPresent();
        boolean isDue = outOfStep || isConfirmationOverdue(now);
        if (exchange == ReceivedGrants.NO_EXCHANGE || queried || !isDue) {
            return Optional.empty();
        }
        queriedNanos = Optional.of(now);
        return Optional.of(
                new SlotDecision.HoldingsQueried(
                        ip,
                        exchange,
                        grants,
                        demand.received().count(),
                        demand.waiting(),
                        leases.size()));
    }

    private boolean isConfirmationOverdue(long now) {
        return unconfirmedGrants() > 0
                && now - unconfirmedSinceNanos > CONFIRMATION_TIMEOUT.toNanos();
    }
}
