package org.fuchsiaspindle.core.limit;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.fuchsiaspindle.core.time.ManualClock;

/**
 * Simulates several entries with holders and granters, callers, and a network that loses and delays
 * messages.
 *
 * <p>Deterministic for a seed: all randomness comes from it, and all time from a manual clock.
 */
final class LimitSimulation {

    static final Duration STEP = Duration.ofMillis(10);

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long GONE_AFTER = 2 * SECOND;
    private static final long MIN_RESEND = Duration.ofMillis(50).toNanos();

    final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    final Random random;
    final Map<String, CustomerLimits> limits;
    final List<Node> nodes = new ArrayList<>();

    private final EntryRing ring;
    private final Set<String> cutLinks = new HashSet<>();
    private final PriorityQueue<ScheduledAction> scheduled =
            new PriorityQueue<>((a, b) -> Long.compare(a.at - b.at, 0));
    private long sequence;

    LimitSimulation(long seed, int entries, Map<String, CustomerLimits> limits) {
        this.random = new Random(seed);
        this.limits = limits;
        List<String> ids = new ArrayList<>();
        for (int i = 1; i <= entries; i++) {
            ids.add("entry-" + i);
        }
        ring = EntryRing.of(ids);
        ids.forEach(id -> nodes.add(new Node(id)));
    }

    /** An action scheduled at a node; it is dropped if the node restarts before its time. */
    private static final class ScheduledAction {
        private final long at;
        private final Node node;
        private final int incarnation;
        private final Runnable action;

        ScheduledAction(long at, Node node, Runnable action) {
            this.at = at;
            this.node = node;
            this.incarnation = node.incarnation;
            this.action = action;
        }
    }

    /** One simulated entry. */
    final class Node {
        final String id;
        final Map<String, Double> demand = new HashMap<>();
        final Map<String, Integer> admitted = new HashMap<>();
        boolean paused;
        private int incarnation;
        private ShareHolder holder;
        private ShareGranter granter;
        private Map<String, Long> lastMessageNanos = new HashMap<>();
        private Map<String, Long> requestedAtNanos = new HashMap<>();
        private final List<Runnable> deferred = new ArrayList<>();
        private long nextTickNanos;

        Node(String id) {
            this.id = id;
            restart();
        }

        /** Replaces the process by a new one with empty state. */
        void restart() {
            incarnation++;
            paused = false;
            holder = ShareHolder.create(id);
            granter = ShareGranter.create(id);
            lastMessageNanos = new HashMap<>();
            requestedAtNanos = new HashMap<>();
            deferred.clear();
            nextTickNanos = now() + random.nextLong(SECOND);
            ring.entries().forEach(entry -> lastMessageNanos.put(entry, now()));
            holder.updateMembers(ring, ImmutableSet.of());
        }

        void resume() {
            paused = false;
            List<Runnable> backlog = List.copyOf(deferred);
            deferred.clear();
            backlog.forEach(Runnable::run);
        }

        Share share(String customer) {
            return holder.inUse(customer, limits.get(customer), now());
        }

        int running(String customer) {
            return holder.running(customer, now());
        }

        private void step() {
            if (paused) {
                return;
            }
            if (now() - nextTickNanos >= 0) {
                nextTickNanos = now() + SECOND;
                holder.prune(now());
                granter.prune(ring, now());
                holder.updateMembers(ring, gone());
                ring.entries().forEach(this::requestShare);
            }
            demand.forEach(this::receiveRequests);
        }

        private ImmutableSet<String> gone() {
            ImmutableSet.Builder<String> gone = ImmutableSet.builder();
            lastMessageNanos.forEach(
                    (entry, at) -> {
                        if (!entry.equals(id) && now() - at > GONE_AFTER) {
                            gone.add(entry);
                        }
                    });
            return gone.build();
        }

        private void receiveRequests(String customer, double perSecond) {
            double perStep = perSecond * STEP.toNanos() / SECOND;
            int requests = (int) perStep + (random.nextDouble() < perStep % 1 ? 1 : 0);
            for (int i = 0; i < requests; i++) {
                if (holder.acquire(customer, limits.get(customer), now())
                        == CustomerShare.Result.ADMITTED) {
                    admitted.merge(customer, 1, Integer::sum);
                    schedule(20 + random.nextInt(100), this, () -> holder.release(customer));
                }
                if (!holder.hasGrant(customer, now())) {
                    holder.granter(customer).ifPresent(this::requestShareIfDue);
                }
            }
        }

        private void requestShareIfDue(String to) {
            if (now() - requestedAtNanos.getOrDefault(to, now() - SECOND) >= MIN_RESEND) {
                requestShare(to);
            }
        }

        private void requestShare(String to) {
            requestedAtNanos.put(to, now());
            long sentNanos = now();
            ImmutableSet<String> gone = gone();
            ImmutableMap<String, Demand> demands =
                    holder.demands(now()).getOrDefault(to, ImmutableMap.of());
            Node other = node(to);
            send(this, other, () -> other.handleShareRequest(this, gone, demands, sentNanos));
        }

        private void handleShareRequest(
                Node from,
                ImmutableSet<String> gone,
                ImmutableMap<String, Demand> demands,
                long sentNanos) {
            lastMessageNanos.put(from.id, now());
            Function<String, Optional<CustomerLimits>> limitsOf =
                    customer -> Optional.ofNullable(limits.get(customer));
            ImmutableMap<String, Share> grants =
                    granter.handleRequest(
                            from.id,
                            gone,
                            demands,
                            new ShareGranter.Fleet(ring, gone(), ImmutableSet.of()),
                            limitsOf,
                            now());
            int requestIncarnation = from.incarnation;
            send(
                    this,
                    from,
                    () -> {
                        if (from.incarnation == requestIncarnation) {
                            from.lastMessageNanos.put(id, now());
                            from.holder.applyGrants(
                                    id, grants, sentNanos + ShareGranter.VALIDITY.toNanos());
                        }
                    });
        }
    }

    long now() {
        return clock.nanoTime();
    }

    Node node(String id) {
        return nodes.stream().filter(node -> node.id.equals(id)).findFirst().orElseThrow();
    }

    /** Cuts the network link between two nodes in one direction. */
    void cutLink(Node from, Node to) {
        cutLinks.add(from.id + ">" + to.id);
    }

    void restoreLinks() {
        cutLinks.clear();
    }

    void step() {
        clock.advance(STEP);
        while (!scheduled.isEmpty() && now() - scheduled.peek().at >= 0) {
            run(scheduled.poll());
        }
        nodes.forEach(Node::step);
    }

    private void run(ScheduledAction scheduledAction) {
        if (scheduledAction.node.incarnation != scheduledAction.incarnation) {
            return;
        }
        if (scheduledAction.node.paused) {
            scheduledAction.node.deferred.add(scheduledAction.action);
        } else {
            scheduledAction.action.run();
        }
    }

    private void send(Node from, Node to, Runnable delivery) {
        if (from == to) {
            delivery.run();
        } else if (!cutLinks.contains(from.id + ">" + to.id)) {
            schedule(random.nextInt(60), to, delivery);
        }
    }

    private void schedule(long delayMs, Node node, Runnable action) {
        // Ties are broken by the order of scheduling, so that a seed always gives the same run.
        long at = now() + Duration.ofMillis(delayMs).toNanos() + sequence++ % 1000;
        scheduled.add(new ScheduledAction(at, node, action));
    }

    double rateInUse(String customer) {
        return nodes.stream()
                .filter(node -> !node.paused)
                .mapToDouble(node -> node.share(customer).rate())
                .sum();
    }

    int concurrencyInUse(String customer) {
        return nodes.stream()
                .filter(node -> !node.paused)
                .mapToInt(node -> node.share(customer).concurrency())
                .sum();
    }

    int running(String customer) {
        return nodes.stream().mapToInt(node -> node.running(customer)).sum();
    }

    int admitted(String customer) {
        return nodes.stream().mapToInt(node -> node.admitted.getOrDefault(customer, 0)).sum();
    }
}
