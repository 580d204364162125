package org.fuchsiaspindle.gateway.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.fuchsiaspindle.core.serving.ConnectionReuse;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.serving.TargetSilence;
import org.fuchsiaspindle.platform.channel.HttpConnection;

/** The connections, calls and health of one incarnation of a target; not thread-safe. */
final class TargetState {

    private final AnswerEvents answerEvents;
    private TargetInstance instance;
    private boolean registered = true;
    private final TargetHealth health = new TargetHealth();
    private final TargetSilence silence = new TargetSilence(System.nanoTime());
    private final Deque<HttpConnection> idleConnections = new ArrayDeque<>();
    private final Set<TargetCall> calls = new LinkedHashSet<>();
    private boolean leavingAnnounced;
    private OptionalDouble requestLimit = OptionalDouble.empty();

    TargetState(TargetInstance instance, AnswerEvents answerEvents) {
        this.instance = instance;
        this.answerEvents = answerEvents;
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

    /** Returns whether the target is registered and has not said that it is leaving. */
    boolean isOpen() {
        return registered && !instance.leaving() && !leavingAnnounced;
    }

    /**
     * Records that the target said in a response that it is shutting down, which its registration
     * may say later or never; returns whether this is new.
     */
    boolean recordLeaving() {
        boolean isNew = !leavingAnnounced;
        leavingAnnounced = true;
        return isNew;
    }

    /** Returns whether the target may receive a call now. */
    boolean acceptsCalls(long now) {
        return !health.isBlocked(now) && silence.acceptsCalls(now);
    }

    void add(TargetCall call, long now) {
        calls.add(call);
        silence.callStarted(now);
    }

    boolean remove(TargetCall call) {
        return calls.remove(call);
    }

    /** Records data from the target; returns whether this ends a silence. */
    boolean dataReceived(long now) {
        health.dataReceived();
        return silence.dataReceived(now);
    }

    /** Returns whether the target was silent while a call waited, and has not sent data since. */
    boolean isSilentFor(TargetCall call) {
        return silence.isMetBy(call.waitingSinceNanos());
    }

    /** Returns whether the target is found silent now, or again by a call after that. */
    boolean checkSilence(long now) {
        if (calls.isEmpty()) {
            return false;
        }
        List<TargetSilence.WaitingCall> waiting = new ArrayList<>();
        for (TargetCall call : calls) {
            if (call.isReading()) {
                waiting.add(
                        new TargetSilence.WaitingCall(
                                call.waitingSinceNanos(), call.isStream(), call.isOnline()));
            }
        }
        return silence.check(waiting, now);
    }

    /** Returns the calls that are found now to wait for data of a connection that sends none. */
    List<TargetCall> checkStalls(long now) {
        return calls.stream().filter(call -> call.checkStall(now)).toList();
    }

    /** Returns how many requests a second the target accepted according to its last response. */
    OptionalDouble requestLimit() {
        return requestLimit;
    }

    /** Records the limit of a response; returns whether it has changed. */
    boolean recordRequestLimit(OptionalDouble newLimit) {
        boolean changed = !newLimit.equals(requestLimit);
        requestLimit = newLimit;
        return changed;
    }

    /**
     * Removes and returns a connection that may carry a request, null if there is none. One that
     * has carried the same request before may not: the identifier of a late answer names a request,
     * not one of its runs.
     */
    HttpConnection pollIdleConnection(String requestId, long now) {
        Iterator<HttpConnection> connections = idleConnections.iterator();
        while (connections.hasNext()) {
            HttpConnection connection = connections.next();
            Duration idle = idleTime(connection, now);
            if (!connection.isIdle() || ConnectionReuse.isTooLate(idle, connection.keepAlive())) {
                connections.remove();
                connection.close();
            } else if (!ConnectionReuse.isTooEarly(idle) && !connection.hasCarried(requestId)) {
                connections.remove();
                return connection;
            }
        }
        return null;
    }

    /**
     * Keeps a connection for other requests if it may carry any, else closes it.
     *
     * @param connection the connection
     * @param lastRequest the identifier of the request that it was used or opened for
     */
    void returnToPool(HttpConnection connection, String lastRequest) {
        if (registered && connection.isIdle()) {
            connection.onClose(() -> idleConnectionClosed(connection, lastRequest));
            idleConnections.addFirst(connection);
        } else {
            connection.close();
        }
    }

    private void idleConnectionClosed(HttpConnection connection, String lastRequest) {
        idleConnections.remove(connection);
        if (connection.receivedUnexpectedData()) {
            answerEvents.dataAfterComplete(instance.id(), lastRequest, connection);
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
        return ConnectionReuse.isTooLate(idleTime(connection, now), connection.keepAlive());
    }

    private static Duration idleTime(HttpConnection connection, long now) {
        return Duration.ofNanos(now - connection.idleSinceNanos());
    }

    /** Closes the connections without a call. */
    void closeIdleConnections() {
        idleConnections.forEach(HttpConnection::close);
        idleConnections.clear();
    }
}
