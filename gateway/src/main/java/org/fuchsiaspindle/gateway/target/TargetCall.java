package org.fuchsiaspindle.gateway.target;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.platform.channel.ExchangeFailure;
import org.fuchsiaspindle.platform.channel.ExchangeListener;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.fuchsiaspindle.platform.target.TargetProtocol;
import org.fuchsiaspindle.platform.target.TargetResponse;

/** One request that is sent to one target; it holds a slot of the target until it ends. */
public final class TargetCall {

    private final TargetFleet fleet;
    private final TargetState target;
    private final CallSort sort;
    private final boolean expectsEvents;
    private final String requestId;
    private final CallListener listener;
    private final long createdNanos = System.nanoTime();
    private Supplier<FullHttpRequest> request;
    private HttpConnection connection;
    private TargetResponse answer;
    private boolean sent;
    private boolean ended;

    TargetCall(
            TargetFleet fleet,
            TargetState target,
            CallSort sort,
            boolean expectsEvents,
            String requestId,
            Supplier<FullHttpRequest> request,
            CallListener listener) {
        this.fleet = fleet;
        this.target = target;
        this.sort = sort;
        this.expectsEvents = expectsEvents;
        this.requestId = requestId;
        this.request = checkNotNull(request, "request");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Returns the target. */
    public TargetInstance instance() {
        return target.instance();
    }

    /** Returns whether the request was handed to a connection. */
    public boolean isSent() {
        return sent;
    }

    /** Returns whether the target was silent for long while calls ran there. */
    public boolean isTargetSilent() {
        return target.health().isSilent();
    }

    /** Stops or resumes reading the answer. */
    public void setReading(boolean reading) {
        if (connection != null && !ended) {
            connection.setReading(reading);
        }
    }

    /** Ends the call and makes the target drop the request; the listener hears nothing more. */
    public void cancel() {
        if (end() && connection != null) {
            connection.close();
        }
    }

    boolean expectsEvents() {
        return expectsEvents;
    }

    CallSort sort() {
        return sort;
    }

    long sentNanos() {
        return createdNanos;
    }

    TargetState target() {
        return target;
    }

    void send(HttpConnection opened) {
        if (ended) {
            target.keep(opened);
            return;
        }
        connection = opened;
        sent = true;
        opened.send(request.get(), new Exchange());
        request = null;
    }

    void connectFailed() {
        if (end()) {
            listener.onFailure(CallFailure.NOT_SENT);
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        fleet.ended(this);
        return true;
    }

    private final class Exchange implements ExchangeListener {

        @Override
        public boolean onHead(HttpResponse head) {
            fleet.heard(target);
            if (!TargetProtocol.belongsTo(head, requestId)) {
                return false;
            }
            answer = TargetProtocol.decode(head);
            fleet.answered(target, answer);
            listener.onAnswer(answer);
            return true;
        }

        @Override
        public void onData(ByteBuf data) {
            fleet.heard(target);
            if (!ended) {
                listener.onData(data);
            }
        }

        @Override
        public void onComplete() {
            if (connection.isIdle()) {
                connection.setReading(true);
                target.keep(connection);
            }
            if (end()) {
                listener.onComplete();
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            if (end()) {
                listener.onFailure(
                        failure == ExchangeFailure.MALFORMED_ANSWER
                                ? CallFailure.MALFORMED
                                : CallFailure.LOST);
            }
        }
    }
}
