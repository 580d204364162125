package org.fuchsiaspindle.gateway.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.serving.TargetLoad;
import org.fuchsiaspindle.platform.channel.HttpConnection;

/**
 * The connections, calls, load and health of one incarnation of a target, as known to this gateway;
 * not thread-safe.
 */
final class TargetState {

    /**
     * Idle time after which a connection is not reused if the target announces no keep-alive time.
     */
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(4);

    /** How long before the end of the announced keep-alive time an idle connection is closed. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(700);

    private TargetInstance instance;
    private boolean registered = true;
    private final TargetHealth health = new TargetHealth();
    private final Deque<HttpConnection> idleConnections = new ArrayDeque<>();
    private final Set<TargetCall> calls = new LinkedHashSet<>();
    private final Map<String, TargetLoad> peerLoads = new HashMap<>();
    private TargetLoad totalPeerLoad = TargetLoad.NONE;
    private int localOnlineCalls;
    private int localBatchItems;
    private long lastDataNanos;
    private boolean slotFree = true;
    private long slotFreeSinceNanos = System.nanoTime();

    TargetState(TargetInstance instance) {
        this.instance = instance;
    }

    TargetInstance instance() {
        return instance;
    }

    TargetHealth health() {
        return health;
    }

    Set<TargetCall> calls() {
        return calls;
    }

    void register(TargetInstance newInstance) {
        instance = newInstance;
        registered = true;
    }

    void unregister() {
        registered = false;
        closeIdleConnections();
    }

    boolean isUnused() {
        return !registered && calls.isEmpty();
    }

    boolean acceptsWork(long now) {
        return isOpen() && health.acceptsCalls(now);
    }

    /**
     * Returns whether the target may receive calls if no target accepts work; a silent target may,
     * a blocked one may not.
     */
    boolean isLastResort(long now) {
        return isOpen() && !health.isBlocked(now);
    }

    private boolean isOpen() {
        return registered && !instance.leaving();
    }

    /** Returns how long the target may send no data while its current calls run. */
    Duration silenceLimit() {
        return calls.stream().anyMatch(TargetCall::isStream)
                ? TargetHealth.STREAM_SILENCE_LIMIT
                : TargetHealth.UNARY_SILENCE_LIMIT;
    }

    /**
     * Updates the time since which a slot has been free; called after the load may have changed.
     */
    void updateFreeSlot(long now) {
        boolean hasFreeSlot = load().total() < instance.slots();
        if (hasFreeSlot && !slotFree) {
            slotFreeSinceNanos = now;
        }
        slotFree = hasFreeSlot;
    }

    /** Returns whether a slot has been free for at least the given time. */
    boolean hasFreeSlotFor(Duration time, long now) {
        return slotFree && now - slotFreeSinceNanos >= time.toNanos();
    }

    TargetLoad localLoad() {
        return new TargetLoad(localOnlineCalls, localBatchItems);
    }

    TargetLoad load() {
        return totalPeerLoad.plus(localLoad());
    }

    /** Returns the number of batch items that the given peers run on this target. */
    int batchItemsOf(Collection<String> peerIps) {
        int items = 0;
        for (String ip : peerIps) {
            items += peerLoads.getOrDefault(ip, TargetLoad.NONE).batch();
        }
        return items;
    }

    void setPeerLoad(String ip, TargetLoad load) {
        TargetLoad previous = load.total() == 0 ? peerLoads.remove(ip) : peerLoads.put(ip, load);
        totalPeerLoad =
                totalPeerLoad.plus(load).minus(previous == null ? TargetLoad.NONE : previous);
    }

    void add(TargetCall call) {
        if (calls.add(call)) {
            adjustCallCount(call.trafficClass(), 1);
        }
    }

    boolean remove(TargetCall call) {
        boolean removed = calls.remove(call);
        if (removed) {
            adjustCallCount(call.trafficClass(), -1);
        }
        return removed;
    }

    private void adjustCallCount(TrafficClass trafficClass, int change) {
        switch (trafficClass) {
            case ONLINE -> localOnlineCalls += change;
            case BATCH -> localBatchItems += change;
            default -> throw new AssertionError(trafficClass);
        }
    }

    void dataReceived(long now) {
        lastDataNanos = now;
        health.dataReceived();
    }

    /** Returns the time since which calls have been running without any data from the target. */
    long silentSinceNanos(long now) {
        long earliestStartNanos = now;
        for (TargetCall call : calls) {
            earliestStartNanos =
                    call.createdNanos() - earliestStartNanos < 0
                            ? call.createdNanos()
                            : earliestStartNanos;
        }
        return earliestStartNanos - lastDataNanos > 0 ? earliestStartNanos : lastDataNanos;
    }

    HttpConnection pollIdleConnection(long now) {
        HttpConnection connection;
        while ((connection = idleConnections.pollFirst()) != null) {
            if (connection.isIdle() && !isStale(connection, now)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    void returnToPool(HttpConnection connection) {
        if (registered && connection.isIdle()) {
            connection.onClose(() -> idleConnections.remove(connection));
            idleConnections.addFirst(connection);
        } else {
            connection.close();
        }
    }

    /**
     * Closes idle connections before the target does, so that no request is sent on a closing one.
     */
    void closeStaleConnections(long now) {
        while (!idleConnections.isEmpty() && isStale(idleConnections.peekLast(), now)) {
            idleConnections.pollLast().close();
        }
    }

    private static boolean isStale(HttpConnection connection, long now) {
        Duration maxIdleTime =
                connection
                        .keepAlive()
                        .map(announced -> announced.minus(KEEP_ALIVE_MARGIN))
                        .orElse(DEFAULT_KEEP_ALIVE);
        return now - connection.idleSinceNanos() > maxIdleTime.toNanos();
    }

    private void closeIdleConnections() {
        idleConnections.forEach(HttpConnection::close);
        idleConnections.clear();
    }
}
