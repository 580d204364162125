package org.fuchsiaspindle.gateway.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.fuchsiaspindle.core.serving.SlotTurn;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.serving.TargetLoad;
import org.fuchsiaspindle.platform.channel.HttpConnection;

/** Everything that this gateway keeps of one incarnation of a target; not thread-safe. */
final class TargetState {

    /** A connection idle for longer is not used again if the target states no time of its own. */
    private static final Duration DEFAULT_MAX_IDLE = Duration.ofSeconds(4);

    /** How long before the end of the stated idle time a connection is given up. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

    private TargetInstance instance;
    private boolean registered = true;
    private final TargetHealth health = new TargetHealth();
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private final Set<TargetCall> calls = new LinkedHashSet<>();
    private final Map<String, TargetLoad> peerLoads = new HashMap<>();
    private int ownOnline;
    private int ownBatch;
    private long lastHeardNanos;
    private boolean free = true;
    private long freeSinceNanos = System.nanoTime();
    private int rank;

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

    void register(TargetInstance newer) {
        instance = newer;
        registered = true;
    }

    void unregister() {
        registered = false;
        closeIdle();
    }

    boolean isUnused() {
        return !registered && calls.isEmpty();
    }

    boolean acceptsWork(long now) {
        return registered && !instance.leaving() && health.admits(now);
    }

    /** Sets the rank of this gateway among those that fill free slots of the target. */
    void rank(int newRank) {
        rank = newRank;
    }

    /** Notes since when a slot has been free, after the load changed. */
    void updateFree(long now) {
        boolean nowFree = load().total() < instance.slots();
        if (nowFree && !free) {
            freeSinceNanos = now;
        }
        free = nowFree;
    }

    /** Returns whether it is this gateway's turn to fill a free slot with a batch item. */
    boolean hasBatchTurn(long now) {
        return free && now - freeSinceNanos >= SlotTurn.delay(rank).toNanos();
    }

    TargetLoad ownLoad() {
        return new TargetLoad(ownOnline, ownBatch);
    }

    TargetLoad load() {
        TargetLoad sum = ownLoad();
        for (TargetLoad peer : peerLoads.values()) {
            sum = sum.plus(peer);
        }
        return sum;
    }

    /** Returns the batch items of the peers whose address sorts before the given one. */
    int batchOfPeersBefore(String ip) {
        int sum = 0;
        for (Map.Entry<String, TargetLoad> peer : peerLoads.entrySet()) {
            sum += peer.getKey().compareTo(ip) < 0 ? peer.getValue().batch() : 0;
        }
        return sum;
    }

    void peerLoad(String ip, TargetLoad load) {
        if (load.total() == 0) {
            peerLoads.remove(ip);
        } else {
            peerLoads.put(ip, load);
        }
    }

    void add(TargetCall call) {
        if (calls.add(call)) {
            count(call.sort(), 1);
        }
    }

    boolean remove(TargetCall call) {
        boolean removed = calls.remove(call);
        if (removed) {
            count(call.sort(), -1);
        }
        return removed;
    }

    private void count(CallSort sort, int change) {
        switch (sort) {
            case ONLINE -> ownOnline += change;
            case BATCH -> ownBatch += change;
            default -> throw new AssertionError(sort);
        }
    }

    void heard(long now) {
        lastHeardNanos = now;
        health.heard();
    }

    /** Returns since when calls have been waiting for any sign of the target. */
    long quietSinceNanos(long now) {
        long since = now;
        for (TargetCall call : calls) {
            since = call.sentNanos() - since < 0 ? call.sentNanos() : since;
        }
        return since - lastHeardNanos > 0 ? since : lastHeardNanos;
    }

    HttpConnection pollIdle(long now) {
        HttpConnection connection;
        while ((connection = idle.pollFirst()) != null) {
            if (connection.isIdle() && !isStale(connection, now)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    void keep(HttpConnection connection) {
        if (registered && connection.isIdle()) {
            connection.onClose(() -> idle.remove(connection));
            idle.addFirst(connection);
        } else {
            connection.close();
        }
    }

    /** Closes connections before the target does, so that no request meets its close. */
    void closeStale(long now) {
        while (!idle.isEmpty() && isStale(idle.peekLast(), now)) {
            idle.pollLast().close();
        }
    }

    private static boolean isStale(HttpConnection connection, long now) {
        Duration limit =
                connection
                        .keepAlive()
                        .map(stated -> stated.minus(IDLE_MARGIN))
                        .orElse(DEFAULT_MAX_IDLE);
        return now - connection.idleSinceNanos() > limit.toNanos();
    }

    private void closeIdle() {
        idle.forEach(HttpConnection::close);
        idle.clear();
    }
}
