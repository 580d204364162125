package org.fuchsiaspindle.daemon.entry.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/**
 * The items that were sent to agents and whose results have not arrived yet. Guarded by the
 * worker's lock.
 */
final class OutstandingItems {

    /**
     * An agent that reports no batch items for this long while items are outstanding has lost them,
     * for example because it dropped a frame when it restarted its queue.
     */
    private static final long LOST_ITEMS_TIMEOUT_NANOS = 5_000_000_000L;

    private final Map<FleetConnection, Agent> agents = new IdentityHashMap<>();

    /** Identifies one attempt of one item under one lease. */
    record Attempt(SegmentKey segment, long epoch, int index, int attempt) {}

    /** A dispatched attempt. */
    record Sent(Attempt attempt, long sentNanos, boolean suspect) {}

    private static final class Agent {

        private final Map<Attempt, Sent> sent = new HashMap<>();
        private int suspects;
        private long lastSentNanos;
        private long idleSinceNanos;
        private boolean idle;
    }

    int countAt(FleetConnection connection) {
        Agent agent = agents.get(connection);
        return agent == null ? 0 : agent.sent.size();
    }

    int total() {
        return agents.values().stream().mapToInt(agent -> agent.sent.size()).sum();
    }

    /** Returns true if suspect items of this entry are outstanding at the agent. */
    boolean hasSuspects(FleetConnection connection) {
        Agent agent = agents.get(connection);
        return agent != null && agent.suspects > 0;
    }

    void add(FleetConnection connection, Sent sent) {
        Agent agent = agents.computeIfAbsent(connection, c -> new Agent());
        agent.sent.put(sent.attempt(), sent);
        agent.suspects += sent.suspect() ? 1 : 0;
        agent.lastSentNanos = sent.sentNanos();
    }

    /**
     * Removes an attempt; empty if it was not outstanding, for example because its result was
     * received twice.
     */
    Optional<Sent> remove(FleetConnection connection, Attempt attempt) {
        Agent agent = agents.get(connection);
        if (agent == null) {
            return Optional.empty();
        }
        Sent sent = agent.sent.remove(attempt);
        if (sent != null && sent.suspect()) {
            agent.suspects--;
        }
        if (agent.sent.isEmpty()) {
            agents.remove(connection);
        }
        return Optional.ofNullable(sent);
    }

    /** Removes and returns all attempts at an agent. */
    List<Sent> removeAll(FleetConnection connection) {
        Agent agent = agents.remove(connection);
        return agent == null ? List.of() : List.copyOf(agent.sent.values());
    }

    /** Removes all attempts of a job; returns the agents at which some were outstanding. */
    List<FleetConnection> removeJob(String job) {
        List<FleetConnection> connections = new ArrayList<>();
        for (FleetConnection connection : List.copyOf(agents.keySet())) {
            List<Attempt> attempts =
                    agents.get(connection).sent.keySet().stream()
                            .filter(attempt -> attempt.segment().job().equals(job))
                            .toList();
            if (!attempts.isEmpty()) {
                connections.add(connection);
                attempts.forEach(attempt -> remove(connection, attempt));
            }
        }
        return connections;
    }

    /**
     * Records whether an agent reports batch items.
     *
     * @param reportsNone true if the agent's newest report shows no batch items
     * @return true if its outstanding items must be considered lost
     */
    boolean hasLostItems(FleetConnection connection, boolean reportsNone, long nowNanos) {
        Agent agent = agents.get(connection);
        if (agent == null) {
            return false;
        }
        if (!reportsNone) {
            agent.idle = false;
            return false;
        }
        if (!agent.idle) {
            agent.idle = true;
            agent.idleSinceNanos = nowNanos;
        }
        return nowNanos - Math.max(agent.idleSinceNanos, agent.lastSentNanos)
                >= LOST_ITEMS_TIMEOUT_NANOS;
    }
}
