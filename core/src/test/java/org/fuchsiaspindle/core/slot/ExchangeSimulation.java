package org.fuchsiaspindle.core.slot;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.fuchsiaspindle.core.serving.TargetInstance;

/**
 * Gateways that share the slots of one pool, over connections that lose and delay frames, in
 * virtual time. The decisions of both sides are those of the product.
 *
 * <p>Each gateway sends to each other one on a connection of its own, as in the product: a frame
 * that is handed to a connection is delivered in order, or lost with the connection.
 */
final class ExchangeSimulation {

    static final long MILLI = 1_000_000;
    static final long SECOND = 1000 * MILLI;
    static final int SLOTS = 4;

    private static final long TICK = 50 * MILLI;
    private static final long HEARTBEAT = 500 * MILLI;

    /** A part of a second before a gateway that does not answer is replaced. */
    static final long REPLACEMENT = 500 * MILLI;

    private static final String SERVICE = "model";
    private static final String ZONE = "zone-a";

    final Random random;
    final List<SimulatedGateway> gateways = new ArrayList<>();
    final List<String> violations = new ArrayList<>();

    /** Whether no slot may be granted twice at any time, because one gateway coordinates always. */
    boolean strict;

    /** How many grants a gateway returned because they belong to an earlier exchange. */
    int returnedGrants;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final List<Link> links = new ArrayList<>();
    private long now = SECOND;
    private long nextNumber;
    private long nextUnique = 1;
    private List<String> targets = List.of();

    private record Event(long atNanos, long number, Runnable action) {}

    /** Something that one gateway sends to another one. */
    sealed interface Message {

        /**
         * A heartbeat.
         *
         * @param first whether it is the first one on its connection
         */
        record Heartbeat(boolean first) implements Message {}

        record Holdings(long exchange, List<HeldSlot> slots) implements Message {}

        record Demand(BatchDemand demand) implements Message {}

        record Request(SlotRequest request) implements Message {}

        record Release(long ticket, RunReport report) implements Message {}

        record Decision(SlotDecision decision) implements Message {}

        /** The query of a new coordinator. */
        record Query() implements Message {}
    }

    ExchangeSimulation(long seed, int gatewayCount) {
        random = new Random(seed * 7919 + 13);
        for (int index = 0; index < gatewayCount; index++) {
            gateways.add(new SimulatedGateway(this, index));
        }
        for (int from = 0; from < gatewayCount; from++) {
            for (int to = 0; to < gatewayCount; to++) {
                links.add(new Link(from, to));
            }
        }
    }

    long now() {
        return now;
    }

    /** Returns a number that was never returned before. */
    long unique() {
        return nextUnique++;
    }

    void at(long nanos, Runnable action) {
        events.add(new Event(Math.max(nanos, now), nextNumber++, action));
    }

    void after(long nanos, Runnable action) {
        at(now + nanos, action);
    }

    void run(long untilNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
            Event event = events.poll();
            now = event.atNanos();
            event.action().run();
        }
        now = untilNanos;
    }

    void start() {
        for (SimulatedGateway gateway : gateways) {
            tick(gateway, random.nextLong(TICK), TICK, () -> gateway.tick());
            tick(gateway, random.nextLong(HEARTBEAT), HEARTBEAT, () -> heartbeat(gateway));
        }
    }

    private void tick(SimulatedGateway gateway, long first, long interval, Runnable action) {
        after(
                first,
                () -> {
                    gateway.execute(action);
                    tick(gateway, interval, interval, action);
                });
    }

    private void heartbeat(SimulatedGateway gateway) {
        if (!strict) {
            gateway.removeSilentPeers();
        }
        for (SimulatedGateway peer : gateways) {
            if (peer != gateway) {
                link(gateway.index(), peer.index()).heartbeat();
            }
        }
    }

    Link link(int from, int to) {
        return links.get(from * gateways.size() + to);
    }

    /** Replaces the targets; gateways learn of it one after the other. */
    void setTargets(String... ids) {
        targets = List.of(ids);
        for (SimulatedGateway gateway : gateways) {
            after(random.nextLong(300 * MILLI), () -> gateway.execute(gateway::targetsChanged));
        }
        gateways.forEach(SimulatedGateway::failRunsOnMissingTargets);
    }

    boolean hasTarget(String id) {
        return targets.contains(id);
    }

    List<TargetInstance> targets() {
        return targets.stream()
                .map(
                        id ->
                                new TargetInstance(
                                        id,
                                        SERVICE,
                                        HostAndPort.fromParts("10.0.0.1", 80),
                                        ZONE,
                                        SLOTS,
                                        false,
                                        0))
                .toList();
    }

    /** Checks that no target runs more than it has slots for. */
    void checkSlots() {
        if (!strict) {
            return;
        }
        for (String target : targets) {
            long running = gateways.stream().mapToLong(gateway -> gateway.runningOn(target)).sum();
            if (running > SLOTS) {
                violations.add(running + " items run on " + target + " at " + time());
            }
        }
    }

    String time() {
        return (now - SECOND) / MILLI + " ms";
    }

    static ImmutableSet<String> none() {
        return ImmutableSet.of();
    }

    /** The connection on which one gateway sends to another one. */
    final class Link {

        private final int from;
        private final int to;
        private final Deque<Message> held = new ArrayDeque<>();
        private boolean open = true;
        private boolean blocked;
        private boolean silent;
        private boolean unwritable;
        private boolean discarded;
        private long generation;
        private long lastDeliveryNanos;

        private Link(int from, int to) {
            this.from = from;
            this.to = to;
        }

        boolean isOpen() {
            return open;
        }

        /** Sends a message; returns whether it was handed to the connection. */
        boolean send(Message message) {
            if (!open) {
                return false;
            }
            if (unwritable) {
                discarded = true;
                return false;
            }
            if (blocked) {
                held.add(message);
            } else if (!silent) {
                deliver(message);
            }
            return true;
        }

        private void deliver(Message message) {
            long delay = MILLI / 2 + random.nextLong(3 * MILLI);
            lastDeliveryNanos = Math.max(lastDeliveryNanos, now + delay);
            long sentIn = generation;
            at(
                    lastDeliveryNanos,
                    () -> {
                        if (sentIn == generation) {
                            gateways.get(to).receive(from, message);
                        }
                    });
        }

        private void heartbeat() {
            if (!open) {
                connect();
                return;
            }
            if (discarded && !unwritable) {
                discarded = false;
                gateways.get(from).framesLost(to);
            }
            send(new Message.Heartbeat(false));
        }

        /** Lets nothing arrive for some time; what was held up arrives afterwards. */
        void hold(long nanos) {
            blocked = true;
            after(
                    nanos,
                    () -> {
                        blocked = false;
                        while (!held.isEmpty()) {
                            deliver(held.poll());
                        }
                    });
        }

        /** Lets nothing that is sent on this connection arrive, until it is replaced. */
        void silence() {
            if (open) {
                silent = true;
                long silenced = generation;
                after(
                        2 * SECOND + random.nextLong(HEARTBEAT),
                        () -> {
                            if (generation == silenced) {
                                replace(true);
                            }
                        });
            }
        }

        /** Discards what is sent for some time, because the receiver reads too slowly. */
        void discard(long nanos) {
            unwritable = true;
            after(nanos, () -> unwritable = false);
        }

        /**
         * Loses what is on its way, and opens a new connection.
         *
         * @param unnoticed whether the receiver hears the new connection before it sees the end of
         *     the old one
         */
        void replace(boolean unnoticed) {
            if (!open) {
                return;
            }
            close();
            if (!unnoticed) {
                after(MILLI, () -> gateways.get(to).execute(() -> gateways.get(to).peerLost(from)));
            }
            after(unnoticed ? MILLI : 10 * MILLI + random.nextLong(90 * MILLI), this::connect);
        }

        void close() {
            open = false;
            silent = false;
            generation++;
            held.clear();
        }

        private void connect() {
            if (!open && !blocked) {
                open = true;
                discarded = false;
                gateways.get(from)
                        .execute(
                                () -> {
                                    send(new Message.Heartbeat(true));
                                    gateways.get(from).connected(to);
                                });
            }
        }
    }
}
