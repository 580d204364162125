package org.fuchsiaspindle.gateway.target;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.prompt.CrashSuspicion;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.slot.LeaseOutcome;
import org.fuchsiaspindle.core.slot.RunReport;
import org.fuchsiaspindle.core.slot.TrafficClass;
import org.fuchsiaspindle.gateway.slot.SlotLease;
import org.fuchsiaspindle.platform.channel.Attribution;
import org.fuchsiaspindle.platform.channel.ExchangeFailure;
import org.fuchsiaspindle.platform.channel.ExchangeListener;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.fuchsiaspindle.platform.target.TargetProtocol;
import org.fuchsiaspindle.platform.target.TargetResponse;

/**
 * One request to one target; it occupies a slot of the target until it ends.
 *
 * <p>Confined to the event loop of the request path.
 */
public final class TargetCall {

    private final TargetFleet fleet;
    private final TargetState target;
    private final SlotLease lease;
    private final CallDescription description;
    private final CallListener listener;
    private long waitingSinceNanos = System.nanoTime();
    private long lastDataNanos = waitingSinceNanos;
    private boolean reading = true;
    private boolean stalled;
    private Supplier<FullHttpRequest> request;
    private HttpConnection connection;
    private TargetResponse response;
    private boolean sent;
    private long sentNanos;
    private boolean ended;

    /** Whether the receiver was ever too slow, so that the time held says little of the target. */
    private boolean paused;

    private int events;
    private OptionalLong firstEventNanos = OptionalLong.empty();
    private final CrashSuspicion suspicion = new CrashSuspicion();

    TargetCall(
            TargetFleet fleet,
            TargetState target,
            SlotLease lease,
            CallDescription description,
            Supplier<FullHttpRequest> request,
            CallListener listener) {
        this.fleet = fleet;
        this.target = target;
        this.lease = checkNotNull(lease, "lease");
        this.description = checkNotNull(description, "description");
        this.request = checkNotNull(request, "request");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Returns the target. */
    public TargetInstance instance() {
        return target.instance();
    }

    /**
     * Returns whether the request was written to a connection, so that the target may execute it.
     */
    public boolean isSent() {
        return sent;
    }

    /**
     * Returns whether the call waits in vain: its target sends no data to any call that has waited
     * as long, or its connection sends none although it carries a stream.
     */
    public boolean isInVain() {
        return stalled || target.isSilentFor(this);
    }

    /** Pauses or resumes reading the response, to apply back-pressure to the target. */
    public void setReading(boolean newReading) {
        if (connection != null && !ended) {
            paused |= !newReading;
            if (newReading && !reading) {
                waitingSinceNanos = System.nanoTime();
            }
            reading = newReading;
            connection.setReading(newReading);
        }
    }

    /**
     * Ends the call and closes its connection, so that the target aborts the request; the listener
     * is not called again.
     */
    public void cancel() {
        if (end(LeaseOutcome.CANCELLED) && connection != null) {
            connection.close();
        }
    }

    /** Ends the call like {@link #cancel}, because the target violates the protocol. */
    public void fail() {
        target.health().protocolViolated(System.nanoTime());
        if (end(LeaseOutcome.FAILED) && connection != null) {
            connection.close();
        }
    }

    boolean isStream() {
        return description.isStream();
    }

    boolean isOnline() {
        return lease.trafficClass() == TrafficClass.ONLINE;
    }

    /** Returns whether data of the response is read as it arrives. */
    boolean isReading() {
        return reading;
    }

    /** Returns since when the call waits for data, apart from the data that it got since. */
    long waitingSinceNanos() {
        return waitingSinceNanos;
    }

    /** Returns whether the response is found now to have stalled. */
    boolean checkStall(long now) {
        if (stalled || !description.isStream() || !sent || !reading) {
            return false;
        }
        long sinceData = Math.min(now - lastDataNanos, now - waitingSinceNanos);
        stalled = sinceData > description.stallLimit().toNanos();
        return stalled;
    }

    /** Returns whether the coordinator limited the requests to the target when it granted this. */
    boolean isTargetLimited() {
        return lease.isTargetLimited();
    }

    CallDescription description() {
        return description;
    }

    /** Returns whether the request may be the reason if the target has crashed. */
    boolean isCrashSuspect() {
        return suspicion.isSuspect();
    }

    /** Returns how many exchanges its connection has carried, this call's included. */
    int exchanges() {
        return connection.exchanges();
    }

    /** Returns the time since the request was sent, in milliseconds. */
    long sinceSentMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    }

    TargetState target() {
        return target;
    }

    void sendOn(HttpConnection newConnection) {
        if (ended) {
            target.returnToPool(newConnection, description.requestId());
            return;
        }
        connection = newConnection;
        sent = true;
        sentNanos = System.nanoTime();
        lastDataNanos = sentNanos;
        FullHttpRequest newRequest = request.get();
        request = null;
        newConnection.send(description.requestId(), newRequest, new ResponseReader());
        if (newRequest.method().equals(HttpMethod.HEAD)) {
            // A second answer to HEAD announces a body that does not follow.
            newConnection.closeAfterExchange();
        }
    }

    void connectFailed() {
        if (end(LeaseOutcome.UNREACHABLE)) {
            listener.onFailure(CallFailure.NOT_SENT);
        }
    }

    private boolean end(LeaseOutcome outcome) {
        if (ended) {
            return false;
        }
        ended = true;
        fleet.callEnded(this);
        lease.release(report(outcome));
        return true;
    }

    private RunReport report(LeaseOutcome outcome) {
        if (!sent) {
            return RunReport.unused(outcome);
        }
        return new RunReport(
                outcome,
                events,
                firstEventNanos.isPresent()
                        ? Optional.of(Duration.ofNanos(firstEventNanos.getAsLong() - sentNanos))
                        : Optional.empty(),
                paused ? Duration.ZERO : Duration.ofNanos(System.nanoTime() - sentNanos));
    }

    /** Counts a complete event of the response that the caller of this method decoded. */
    public void countEvent() {
        if (firstEventNanos.isEmpty()) {
            firstEventNanos = OptionalLong.of(System.nanoTime());
        }
        events++;
    }

    private static LeaseOutcome outcome(TargetResponse.Meaning meaning) {
        return switch (meaning) {
            case SUCCESS, IMPOSSIBLE -> LeaseOutcome.DONE;
            case FAILED, UNTRUSTED -> LeaseOutcome.FAILED;
            case NOT_RUN -> LeaseOutcome.TARGET_FULL;
            case OTHER_TARGET -> LeaseOutcome.UNREACHABLE;
        };
    }

    private final class ResponseReader implements ExchangeListener {

        private int passedOver;

        /** What a response says that could not be attributed; null before one. */
        private TargetResponse.Meaning unattributed;

        /** Whether no other request or answer was seen on the connection before the last head. */
        private boolean firstExchange;

        @Override
        public Attribution onHead(HttpResponse head) {
            dataReceived();
            firstExchange = connection.exchanges() == 1 && passedOver == 0;
            Attribution attribution =
                    TargetProtocol.attribute(head, description.requestId(), firstExchange);
            if (attribution == Attribution.OWN) {
                startResponse(head);
            } else {
                if (attribution == Attribution.UNKNOWN) {
                    unattributed = TargetProtocol.decode(head).meaning();
                }
                passedOver++;
                fleet.answerEvents().notOwn(TargetCall.this, head, attribution);
            }
            return attribution;
        }

        private void dataReceived() {
            lastDataNanos = System.nanoTime();
            stalled = false;
            fleet.dataReceived(target, lastDataNanos);
        }

        private void startResponse(HttpResponse head) {
            if (passedOver > 0) {
                fleet.answerEvents().acceptedAfterOthers(TargetCall.this, head, passedOver);
            }
            response = TargetProtocol.decode(head);
            if (response.isRefusal()) {
                // Refusals may carry no identifier, so one that a faulty target writes again could
                // not be told from the refusal of the next request.
                connection.closeAfterExchange();
            }
            fleet.responseReceived(TargetCall.this, response);
            listener.onResponse(response);
        }

        @Override
        public void onData(ByteBuf data) {
            dataReceived();
            if (suspicion.recordData(System.nanoTime())) {
                fleet.answered(TargetCall.this);
            }
            if (!ended) {
                listener.onData(data);
            }
        }

        @Override
        public void onComplete() {
            if (connection.isIdle()) {
                connection.setReading(true);
                target.returnToPool(connection, description.requestId());
            } else if (connection.receivedUnexpectedData()) {
                fleet.answerEvents()
                        .dataAfterComplete(instance().id(), description.requestId(), connection);
            }
            target.health().responseCompleted();
            if (response.meaning() == TargetResponse.Meaning.SUCCESS && suspicion.recordSuccess()) {
                fleet.answered(TargetCall.this);
            }
            if (end(outcome(response.meaning()))) {
                listener.onComplete();
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            CallFailure callFailure = callFailure(failure);
            boolean connectionLost = callFailure == CallFailure.LOST;
            boolean full = unattributed == TargetResponse.Meaning.NOT_RUN;
            if (full) {
                // Sound targets may refuse without an identifier.
                target.health().refusedAsFull(System.nanoTime());
            } else if (!connectionLost) {
                target.health().protocolViolated(System.nanoTime());
            }
            if (end(full ? LeaseOutcome.TARGET_FULL : LeaseOutcome.FAILED)) {
                if (connectionLost) {
                    fleet.connectionLost(TargetCall.this);
                }
                listener.onFailure(callFailure);
            }
        }

        private CallFailure callFailure(ExchangeFailure failure) {
            return switch (failure) {
                case CLOSED_BEFORE_ANSWER, CLOSED_WITHIN_ANSWER -> CallFailure.LOST;
                case MALFORMED_ANSWER -> CallFailure.MALFORMED;
                case UNATTRIBUTED_ANSWER ->
                        firstExchange && saysFailure()
                                ? CallFailure.FAILURE_REPORTED
                                : CallFailure.UNATTRIBUTED;
            };
        }

        private boolean saysFailure() {
            return unattributed == TargetResponse.Meaning.FAILED
                    || unattributed == TargetResponse.Meaning.IMPOSSIBLE;
        }
    }
}
