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
    private TargetLoad peerSum = TargetLoad.NONE;
    private int ownOnline;
    private int ownBatch;
    private long lastHeardNanos;
    private boolean free = true;
    private long freeSinceNanos = System.nanoTime();

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
        return isOpen() && health.admits(now);
    }

    /** Returns whether the target takes calls if no other does, although it is silent. */
    boolean isLastResort(long now) {
        return isOpen() && !health.isBlocked(now);
    }

    private boolean isOpen() {
        return registered && !instance.leaving();
    }

    /** Returns how long the target may be silent while its present calls run. */
    Duration silenceLimit() {
        return calls.stream().anyMatch(TargetCall::expectsEvents)
                ? TargetHealth.EVENT_SILENCE
                : TargetHealth.PLAIN_SILENCE;
    }

    /** Notes since when a slot has been free, after the load changed. */
    void updateFree(long now) {
        boolean nowFree = load().total() < instance.slots();
        if (nowFree && !free) {
            freeSinceNanos = now;
        }
        free = nowFree;
    }

    /** Returns whether a slot has been free for some time. */
    boolean isFreeFor(Duration time, long now) {
        return free && now - freeSinceNanos >= time.toNanos();
    }

    TargetLoad ownLoad() {
        return new TargetLoad(ownOnline, ownBatch);
    }

    TargetLoad load() {
        return peerSum.plus(ownLoad());
    }

    /** Returns the batch items of some peers. */
    int batchOf(Collection<String> peerIps) {
        int sum = 0;
        for (String ip : peerIps) {
            sum += peerLoads.getOrDefault(ip, TargetLoad.NONE).batch();
        }
        return sum;
    }

    void peerLoad(String ip, TargetLoad load) {
        TargetLoad before = load.total() == 0 ? peerLoads.remove(ip) : peerLoads.put(ip, load);
        peerSum = peerSum.plus(load).minus(before == null ? TargetLoad.NONE : before);
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
