package org.fuchsiaspindle.gateway.online;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.RouteKind;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.serving.WaitingLine;
import org.fuchsiaspindle.gateway.target.CallFailure;
import org.fuchsiaspindle.gateway.target.CallListener;
import org.fuchsiaspindle.gateway.target.CallSort;
import org.fuchsiaspindle.gateway.target.TargetCall;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.ingress.Refusal;
import org.fuchsiaspindle.platform.target.TargetProtocol;
import org.fuchsiaspindle.platform.target.TargetResponse;

/**
 * One client request on its way through the gateway.
 *
 * <p>It waits for a target, runs there, and goes on at another target only where that is allowed:
 * always if the target did not run it; after that only if the route is idempotent and has attempts
 * left. Every refusal that promises that the request did not run is true, because it is sent only
 * while no send had an open outcome.
 */
final class OnlineCall {

    private static final int SERVER_ERROR = 500;

    /** Refusals by targets after which the client is told to come back. */
    private static final int MAX_REFUSALS = 6;

    /** Time between two looks at a call whose target may have fallen silent. */
    private static final Duration SILENCE_CHECK = Duration.ofMillis(150);

    /** Time from the start at a target to the first event of a stream. */
    private static final Duration FIRST_EVENT_TIME = Duration.ofMillis(70);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

    private final OnlineDispatcher dispatcher;
    private final ClientExchange exchange;
    private final Route route;
    private final String service;
    private final long arrived;
    private final long limit;
    private final boolean clientDeadlineFirst;
    private final Set<String> tried = new HashSet<>();
    private ScheduledFuture<?> limitTimer;
    private TargetCall call;
    private long startedNanos;
    private int attempts;
    private int refusals;
    private boolean mayHaveRun;
    private boolean waiting;
    private boolean finished;
    private OptionalLong lastEvent = OptionalLong.empty();
    private String lastTarget = "-";

    OnlineCall(OnlineDispatcher dispatcher, ClientExchange exchange, Route route, String service) {
        this.dispatcher = dispatcher;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.arrived = exchange.request().arrivedNanos();
        Duration deadline = exchange.request().deadline().orElse(route.timeout());
        this.clientDeadlineFirst = deadline.compareTo(route.timeout()) < 0;
        this.limit = arrived + (clientDeadlineFirst ? deadline : route.timeout()).toNanos();
    }

    String service() {
        return service;
    }

    Set<String> triedTargets() {
        return tried;
    }

    void start() {
        exchange.onClientDisconnect(this::clientGone);
        long left = limit - System.nanoTime();
        limitTimer =
                dispatcher
                        .loop()
                        .schedule(this::limitReached, Math.max(0, left), TimeUnit.NANOSECONDS);
        dispatch();
    }

    /** Starts at a target or waits for one. */
    private void dispatch() {
        if (!dispatcher.hasWaiting(service)) {
            Optional<TargetInstance> target =
                    dispatcher.fleet().choose(service, CallSort.ONLINE, tried);
            if (target.isPresent()) {
                startAt(target.get());
                return;
            }
        }
        waitForTarget();
    }

    private void waitForTarget() {
        long now = System.nanoTime();
        Duration wait = dispatcher.estimateWait(service, route.priority(), now);
        long latestStart = latestUsefulStart();
        if (now + wait.toNanos() - latestStart > 0) {
            refuseNotStarted(ResultCode.OVERLOADED, wait);
            return;
        }
        waiting = true;
        long onTimeUntil = arrived + route.latencyTarget().toNanos() - firstByteNanos();
        dispatcher.await(
                service,
                new WaitingLine.Entry<>(this, route.priority(), onTimeUntil, latestStart, now));
    }

    private long firstByteNanos() {
        // A stream is on time by its first event; other answers have to be complete.
        return route.kind() == RouteKind.STREAM
                ? FIRST_EVENT_TIME.toNanos()
                : dispatcher.times().average(service).toNanos();
    }

    private long latestUsefulStart() {
        return limit - dispatcher.times().average(service).toNanos();
    }

    void startAt(TargetInstance target) {
        waiting = false;
        lastTarget = target.id();
        startedNanos = System.nanoTime();
        Run run = new Run();
        call =
                dispatcher
                        .fleet()
                        .call(
                                target,
                                CallSort.ONLINE,
                                route.kind() == RouteKind.STREAM,
                                exchange.request().id(),
                                () ->
                                        TargetProtocol.forwardRequest(
                                                exchange.request(),
                                                target,
                                                Duration.ofNanos(
                                                        Math.max(1, limit - System.nanoTime())),
                                                lastEvent),
                                run);
        if (route.isIdempotent()) {
            scheduleSilenceCheck(call);
        }
    }

    private void scheduleSilenceCheck(TargetCall watched) {
        dispatcher
                .loop()
                .schedule(
                        () -> checkSilence(watched),
                        SILENCE_CHECK.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void checkSilence(TargetCall watched) {
        if (finished || call != watched) {
            return;
        }
        if (watched.isTargetSilent() && watched.isSent() && attempts + 1 < route.maxAttempts()) {
            watched.cancel();
            lost("silent");
        } else {
            scheduleSilenceCheck(watched);
        }
    }

    /** Goes on after a send whose outcome is open. */
    private void lost(String reason) {
        mayHaveRun = true;
        attempts++;
        tried.add(lastTarget);
        call = null;
        boolean mayGoOn =
                route.isIdempotent()
                        && attempts < route.maxAttempts()
                        && limit - System.nanoTime() > 0
                        && (!exchange.isBegun() || lastEvent.isPresent());
        log(mayGoOn ? "resent" : "lost", reason);
        if (mayGoOn) {
            dispatch();
        } else if (exchange.isBegun()) {
            abort();
        } else {
            finish();
            exchange.refuse(Refusal.mayHaveRun(ResultCode.TARGET_LOST));
        }
    }

    private void refusedByTarget(String reason) {
        refusals++;
        tried.add(lastTarget);
        call = null;
        log("refused_by_target", reason);
        if (refusals < MAX_REFUSALS && limit - System.nanoTime() > 0) {
            dispatch();
        } else {
            refuseNotStarted(ResultCode.NO_TARGET, MIN_RETRY_AFTER);
        }
    }

    /** Refuses a request that no target works on. */
    private void refuseNotStarted(ResultCode code, Duration comeBack) {
        finish();
        log("refused", code.name());
        if (exchange.isBegun()) {
            exchange.abort();
        } else if (mayHaveRun) {
            exchange.refuse(Refusal.mayHaveRun(code));
        } else {
            dispatcher.metrics().refused(code);
            exchange.refuse(Refusal.notRun(code, clamp(comeBack)));
        }
    }

    private static Duration clamp(Duration time) {
        if (time.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return time.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : time;
    }

    void waitExpired() {
        waiting = false;
        refuseNotStarted(ResultCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER);
    }

    private void limitReached() {
        if (finished) {
            return;
        }
        boolean sent = call != null && call.isSent();
        cancelWork();
        if (exchange.isBegun()) {
            log("cut", clientDeadlineFirst ? "deadline" : "route_timeout");
            abort();
        } else if (sent || mayHaveRun) {
            log("expired", clientDeadlineFirst ? "deadline" : "route_timeout");
            finish();
            exchange.refuse(Refusal.mayHaveRun(ResultCode.DEADLINE_EXCEEDED));
        } else {
            refuseNotStarted(ResultCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER);
        }
    }

    private void clientGone() {
        if (!finished) {
            cancelWork();
            finish();
            log("client_gone", "");
        }
    }

    private void cancelWork() {
        if (waiting) {
            dispatcher.leave(service, this);
            waiting = false;
        }
        if (call != null) {
            call.cancel();
            call = null;
        }
    }

    private void abort() {
        finish();
        exchange.abort();
    }

    private void finish() {
        finished = true;
        limitTimer.cancel(false);
    }

    private void completed(TargetResponse answer) {
        long now = System.nanoTime();
        dispatcher.times().add(service, now - startedNanos);
        dispatcher.metrics().served(route.name(), now - arrived);
        finish();
        log("answered", String.valueOf(answer.status().code()));
    }

    private void log(String outcome, String reason) {
        DecisionLog.online(
                exchange.request().id(),
                route.name(),
                service,
                lastTarget,
                outcome,
                reason,
                attempts,
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrived));
    }

    /** The answer of one target. */
    private final class Run implements CallListener {

        private TargetResponse answer;
        private AnswerForwarder forwarder;

        @Override
        public void onAnswer(TargetResponse newAnswer) {
            answer = newAnswer;
            forwarder = new AnswerForwarder(exchange, newAnswer, lastEvent);
        }

        @Override
        public void onData(ByteBuf data) {
            if (finished) {
                return;
            }
            boolean wellFormed = forwarder.add(data);
            lastEvent = forwarder.lastEvent();
            if (!wellFormed) {
                call.cancel();
                lost("oversized event");
            } else if (!exchange.isWritable() && call != null) {
                TargetCall slowed = call;
                slowed.setReading(false);
                exchange.onWritable(() -> slowed.setReading(true));
            }
        }

        @Override
        public void onComplete() {
            if (finished) {
                return;
            }
            switch (answer.meaning()) {
                case SUCCESS -> completeSuccess();
                case FAILED, IMPOSSIBLE -> completeFailure();
                case NOT_RUN -> refusedByTarget("full");
                case OTHER_TARGET -> refusedByTarget("address reused");
                case UNTRUSTED -> lost("untrusted answer " + answer.status().code());
                default -> throw new AssertionError(answer.meaning());
            }
        }

        private void completeSuccess() {
            if (forwarder.endsWithinEvent()) {
                lost("stream ended within an event");
                return;
            }
            call = null;
            completed(answer);
            forwarder.end();
        }

        private void completeFailure() {
            boolean again =
                    answer.meaning() == TargetResponse.Meaning.FAILED
                            && answer.status().code() >= SERVER_ERROR
                            && route.isIdempotent()
                            && attempts + 1 < route.maxAttempts()
                            && limit - System.nanoTime() > 0;
            if (again || exchange.isBegun()) {
                lost("status " + answer.status().code());
                return;
            }
            call = null;
            completed(answer);
            forwarder.end();
        }

        @Override
        public void onFailure(CallFailure failure) {
            if (finished) {
                return;
            }
            switch (failure) {
                case NOT_SENT -> refusedByTarget("no connection");
                case LOST -> lost("connection lost");
                case MALFORMED -> lost("malformed answer");
                default -> throw new AssertionError(failure);
            }
        }
    }
}
