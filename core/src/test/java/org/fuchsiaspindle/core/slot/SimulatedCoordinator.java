package org.fuchsiaspindle.core.slot;

import static org.fuchsiaspindle.core.slot.ExchangeSimulation.SECOND;

import java.util.List;
import org.fuchsiaspindle.core.slot.ExchangeSimulation.Message;

/** The part of a {@link SimulatedGateway} that coordinates the pool while others ask it to. */
final class SimulatedCoordinator {

    /** Shorter than in the product, so that pools are dropped more often. */
    private static final long IDLE_POOL_EXPIRY = 3 * SECOND;

    private final ExchangeSimulation simulation;
    private final SimulatedGateway self;
    private SlotPool pool;
    private long poolUsedNanos;

    SimulatedCoordinator(ExchangeSimulation simulation, SimulatedGateway self) {
        this.simulation = simulation;
        this.self = self;
    }

    /** Forgets everything, as a process that starts again. */
    void reset() {
        pool = null;
    }

    /** Returns the slots that are believed to be occupied. */
    int occupiedSlots() {
        return pool == null ? 0 : pool.occupiedSlots();
    }

    void handle(String holder, Message message) {
        if (pool == null && !startsCoordination(message)) {
            return;
        }
        long now = simulation.now();
        if (pool == null) {
            startPool(now);
        }
        poolUsedNanos = now;
        switch (message) {
            case Message.Holdings holdings ->
                    send(
                            pool.replaceHoldings(
                                    holder,
                                    holdings.slots(),
                                    new ReceivedGrants(holdings.exchange(), 0),
                                    now));
            case Message.Demand demand -> send(pool.demand(holder, demand.demand(), now));
            case Message.Request request -> send(pool.request(request.request(), now));
            case Message.Release release ->
                    send(pool.release(holder, release.ticket(), release.report(), now));
            default -> throw new AssertionError(message);
        }
    }

    private static boolean startsCoordination(Message message) {
        return switch (message) {
            case Message.Request request -> true;
            case Message.Demand demand -> demand.demand().waiting() > 0;
            case Message.Holdings holdings -> !holdings.slots().isEmpty();
            default -> false;
        };
    }

    private void startPool(long now) {
        pool = SlotPool.create(1_000_000_000L * simulation.unique());
        send(pool.setTargets(simulation.targets(), now));
        for (SimulatedGateway peer : simulation.gateways) {
            if (peer != self) {
                self.send(peer.index(), new Message.Query());
            }
        }
    }

    void targetsChanged() {
        if (pool != null) {
            send(pool.setTargets(simulation.targets(), simulation.now()));
        }
    }

    void recordLoss(String holder) {
        if (pool != null) {
            send(pool.recordLoss(holder, simulation.now()));
        }
    }

    void removeHolder(String holder) {
        if (pool != null) {
            send(pool.removeHolder(holder, simulation.now()));
        }
    }

    void tick() {
        if (pool != null) {
            send(pool.checkTimes(simulation.now()));
            if (pool.isIdle() && simulation.now() - poolUsedNanos > IDLE_POOL_EXPIRY) {
                pool = null;
            }
        }
    }

    private void send(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            int holder = SimulatedGateway.indexOf(decision.holder());
            self.send(holder, new Message.Decision(decision));
        }
    }
}
