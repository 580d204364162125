package org.fuchsiaspindle.gateway.online;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.limit.LimitRefusal;
import org.fuchsiaspindle.core.limit.Permit;
import org.fuchsiaspindle.core.limit.PermitHolder;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.RouteKind;
import org.fuchsiaspindle.core.serving.StallLimit;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.slot.LeaseOutcome;
import org.fuchsiaspindle.core.slot.RunReport;
import org.fuchsiaspindle.core.slot.SlotDecision;
import org.fuchsiaspindle.core.work.RequestSize;
import org.fuchsiaspindle.core.workspace.CallerAccess;
import org.fuchsiaspindle.gateway.slot.SlotAcquisition;
import org.fuchsiaspindle.gateway.slot.SlotLease;
import org.fuchsiaspindle.gateway.target.CallDescription;
import org.fuchsiaspindle.gateway.target.CallFailure;
import org.fuchsiaspindle.gateway.target.CallListener;
import org.fuchsiaspindle.gateway.target.TargetCall;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.telemetry.KeyRejection;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.ingress.Refusal;
import org.fuchsiaspindle.platform.target.PromptHeader;
import org.fuchsiaspindle.platform.target.TargetProtocol;
import org.fuchsiaspindle.platform.target.TargetResponse;

/**
 * Processes one client request: waits for a target, makes the attempts and forwards the response.
 *
 * <p>A request that a target did not execute may always be sent to another one. If it may have been
 * executed, it is sent again only if the route is idempotent and has attempts left. A refusal
 * states that the request was not executed only if no attempt had an unknown outcome. Confined to
 * the event loop of the request path.
 */
final class OnlineCall {

    private static final int SERVER_ERROR = 500;

    /** Number of refusals by targets after which the request is refused with a retry time. */
    private static final int MAX_TARGET_REFUSALS = 6;

    /** Time between two checks whether the target of an idempotent call still sends data. */
    private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(150);

    /** Assumed time from sending a request to the first event of a stream. */
    private static final Duration FIRST_EVENT_LATENCY = Duration.ofMillis(70);

    /** Fraction of the latency target for which a request waits if no target is known. */
    private static final int NO_TARGET_WAIT_DIVISOR = 4;

    /**
     * Fraction of the latency target for which a request waits for a permit; a caller that is
     * refused early can still be served in time elsewhere.
     */
    private static final int PERMIT_WAIT_DIVISOR = 6;

    /** Retry time if no target is known; targets register again within some seconds. */
    private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofMillis(300);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

    private final OnlineDispatcher dispatcher;
    private final ClientExchange exchange;
    private final Route route;
    private final String service;
    private final ImmutableList<String> promptParts;
    private final RequestSize size;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final boolean clientDeadlineFirst;
    private final Set<String> triedTargets = new HashSet<>();
    private CallerAccess access;
    private ScheduledFuture<?> deadlineTimer;
    private TargetCall call;
    private long startedNanos;
    private int attempts;
    private int refusals;
    private boolean mayHaveRun;

    /** Set after an answer that could not be attributed, see {@link CallDescription}. */
    private boolean needsNewConnection;

    private PermitHolder.Waiting permitWaiting;

    /** A permit that no target has used yet. */
    private Optional<Permit> permit = Optional.empty();

    private SlotAcquisition acquisition;
    private boolean finished;
    private OptionalLong lastEvent = OptionalLong.empty();
    private String lastTarget = "-";

    OnlineCall(
            OnlineDispatcher dispatcher,
            ClientExchange exchange,
            Route route,
            String service,
            CallerAccess access) {
        this.dispatcher = dispatcher;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.access = access;
        this.promptParts = PromptHeader.sharedParts(exchange.request().headers());
        this.size = PromptHeader.size(route.name(), exchange.request().headers());
        this.arrivedNanos = exchange.request().arrivedNanos();
        Duration deadline = exchange.request().deadline().orElse(route.timeout());
        this.clientDeadlineFirst = deadline.compareTo(route.timeout()) < 0;
        this.deadlineNanos =
                arrivedNanos + (clientDeadlineFirst ? deadline : route.timeout()).toNanos();
    }

    void start() {
        exchange.onClientDisconnect(this::clientDisconnected);
        exchange.onProcessEnd(this::processEnds);
        long remainingNanos = deadlineNanos - System.nanoTime();
        deadlineTimer =
                dispatcher
                        .loop()
                        .schedule(
                                this::deadlineReached,
                                Math.max(0, remainingNanos),
                                TimeUnit.NANOSECONDS);
        if (dispatcher.slots().fitsTarget(service, size)) {
            dispatch();
        } else {
            refuseTooLarge();
        }
    }

    /** Refuses a request that no target could ever run, without a retry time. */
    private void refuseTooLarge() {
        ResultCode code = ResultCode.REQUEST_TOO_LARGE;
        finish();
        logDecision("refused", code.name());
        dispatcher.metrics().countRefusal(code);
        exchange.refuse(Refusal.of(code));
    }

    /** Obtains what the next attempt needs, waiting if necessary, and sends the request. */
    private void dispatch() {
        Optional<Duration> quarantine = promptQuarantine();
        if (quarantine.isPresent()) {
            refuse(ResultCode.PROMPT_QUARANTINED, quarantine.get());
            return;
        }
        if (!needsPermit()) {
            acquireSlot();
        } else {
            giveBackPermit();
            Duration timeout = route.latencyTarget().dividedBy(PERMIT_WAIT_DIVISOR);
            permitWaiting =
                    dispatcher
                            .limits()
                            .acquire(access.workspaceName(), timeout, new PermitListener());
        }
    }

    /** Returns whether the next attempt counts for a limit for which there is no permit. */
    private boolean needsPermit() {
        String workspace = access.workspaceName();
        return permit.filter(held -> held.workspace().equals(workspace)).isEmpty()
                && dispatcher.limits().isLimited(workspace);
    }

    private void giveBackPermit() {
        permit.ifPresent(dispatcher.limits()::giveBack);
        permit = Optional.empty();
    }

    private void acquireSlot() {
        long latestOnTimeStartNanos =
                arrivedNanos + route.latencyTarget().toNanos() - timeToResultNanos();
        long retryUntilNanos =
                arrivedNanos + route.latencyTarget().dividedBy(NO_TARGET_WAIT_DIVISOR).toNanos();
        acquisition =
                dispatcher
                        .slots()
                        .acquire(
                                new SlotAcquisition.Need(
                                        service,
                                        access.priority(route.priority()),
                                        access.workspaceName(),
                                        size,
                                        latestOnTimeStartNanos,
                                        latestUsefulStartNanos(),
                                        retryUntilNanos,
                                        ImmutableSet.copyOf(triedTargets)),
                                new SlotListener());
    }

    /** Returns how long the prompt of this request is kept from targets, empty if it is not. */
    private Optional<Duration> promptQuarantine() {
        return dispatcher.promptGuard().quarantine(service, promptParts);
    }

    private long timeToResultNanos() {
        // The latency target of a stream applies to its first event, that of other responses to the
        // complete response.
        return route.kind() == RouteKind.STREAM
                ? FIRST_EVENT_LATENCY.toNanos()
                : dispatcher.serviceTimes().average(service).toNanos();
    }

    /**
     * Returns the latest start for a response before the deadline or before the client gives up.
     */
    private long latestUsefulStartNanos() {
        long byDeadline = deadlineNanos - dispatcher.serviceTimes().average(service).toNanos();
        if (route.kind() != RouteKind.STREAM || exchange.isResponseStarted()) {
            return byDeadline;
        }
        long byPatience =
                arrivedNanos + route.firstEventPatience().toNanos() - FIRST_EVENT_LATENCY.toNanos();
        return byDeadline - byPatience < 0 ? byDeadline : byPatience;
    }

    private void sendTo(TargetInstance target, SlotLease lease) {
        lastTarget = target.id();
        startedNanos = System.nanoTime();
        Attempt attempt = new Attempt();
        call =
                dispatcher
                        .fleet()
                        .call(
                                target,
                                lease,
                                new CallDescription(
                                        exchange.request().id(),
                                        route.kind() == RouteKind.STREAM,
                                        StallLimit.after(attempts),
                                        promptParts,
                                        needsNewConnection),
                                () ->
                                        TargetProtocol.forwardRequest(
                                                exchange.request(),
                                                access.targetIdentity(),
                                                target,
                                                Duration.ofNanos(
                                                        Math.max(
                                                                1,
                                                                deadlineNanos - System.nanoTime())),
                                                lastEvent),
                                attempt);
        if (route.isIdempotent()) {
            scheduleSilenceCheck(call);
        }
    }

    private void scheduleSilenceCheck(TargetCall checkedCall) {
        dispatcher
                .loop()
                .schedule(
                        () -> checkSilence(checkedCall),
                        SILENCE_CHECK_INTERVAL.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void checkSilence(TargetCall checkedCall) {
        if (finished || call != checkedCall) {
            return;
        }
        if (checkedCall.isInVain()
                && checkedCall.isSent()
                && attempts + 1 < route.maxAttempts()
                && isReplaceable()) {
            checkedCall.cancel();
            attemptLost("silent");
        } else {
            scheduleSilenceCheck(checkedCall);
        }
    }

    /** Sends the request again, or fails it, after an attempt with an unknown outcome. */
    private void attemptLost(String reason) {
        mayHaveRun = true;
        // Another attempt needs another permit.
        permit = Optional.empty();
        attempts++;
        triedTargets.add(lastTarget);
        call = null;
        boolean mayResend =
                route.isIdempotent()
                        && attempts < route.maxAttempts()
                        && deadlineNanos - System.nanoTime() > 0
                        && isReplaceable();
        logDecision(mayResend ? "resent" : "lost", reason);
        if (mayResend) {
            dispatch();
        } else if (exchange.isResponseStarted()) {
            abortResponse();
        } else {
            finish();
            exchange.refuse(Refusal.mayHaveRun(ResultCode.TARGET_LOST));
        }
    }

    /**
     * Returns whether another target could give or continue the answer. If a part of an answer
     * without numbered events was forwarded, only its target can end it.
     */
    private boolean isReplaceable() {
        return !exchange.isResponseStarted() || lastEvent.isPresent();
    }

    private void refusedByTarget(String reason) {
        refusals++;
        triedTargets.add(lastTarget);
        call = null;
        logDecision("refused_by_target", reason);
        if (refusals < MAX_TARGET_REFUSALS && deadlineNanos - System.nanoTime() > 0) {
            dispatch();
        } else {
            refuse(ResultCode.NO_TARGET, MIN_RETRY_AFTER);
        }
    }

    /** Refuses a request that no target is executing; an earlier attempt may have executed it. */
    private void refuse(ResultCode code, Duration retryAfter) {
        finish();
        logDecision("refused", code.name());
        if (exchange.isResponseStarted()) {
            exchange.abort();
        } else if (mayHaveRun) {
            exchange.refuse(Refusal.mayHaveRun(code));
        } else {
            dispatcher.metrics().countRefusal(code);
            // Before a quarantine ends or the limit allows more, no retry can succeed.
            boolean isKnownTime =
                    code == ResultCode.PROMPT_QUARANTINED || code == ResultCode.RATE_LIMITED;
            Duration retryTime = isKnownTime ? retryAfter : clampRetryAfter(retryAfter);
            exchange.refuse(Refusal.notRun(code, retryTime));
        }
    }

    /**
     * Returns whether the configuration in force still accepts the key of the caller. A request
     * that may have run ends as it was accepted.
     */
    private boolean isStillAccepted() {
        if (!mayHaveRun) {
            access = dispatcher.access(route, exchange.request().key());
        }
        return !(access instanceof CallerAccess.Denied);
    }

    /** Refuses a request whose key was taken away before a target could run it. */
    private void refuseKey() {
        finish();
        logDecision("refused", ResultCode.INVALID_KEY.name());
        dispatcher.metrics().countKeyRejection(KeyRejection.TAKEN_AWAY);
        exchange.refuse(Refusal.of(ResultCode.INVALID_KEY));
    }

    private static Duration clampRetryAfter(Duration time) {
        if (time.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return time.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : time;
    }

    private void deadlineReached() {
        if (finished) {
            return;
        }
        boolean sent = call != null && call.isSent();
        cancelPendingWork();
        if (exchange.isResponseStarted()) {
            logDecision("cut", clientDeadlineFirst ? "deadline" : "route_timeout");
            abortResponse();
        } else if (sent || mayHaveRun) {
            logDecision("expired", clientDeadlineFirst ? "deadline" : "route_timeout");
            finish();
            exchange.refuse(Refusal.mayHaveRun(ResultCode.DEADLINE_EXCEEDED));
        } else {
            refuse(ResultCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER);
        }
    }

    /** Answers the request before the process ends. */
    private void processEnds() {
        boolean sent = call != null && call.isSent();
        cancelPendingWork();
        if (sent || mayHaveRun) {
            logDecision("lost", ResultCode.DRAINING.name());
            finish();
            exchange.refuse(Refusal.mayHaveRun(ResultCode.CONNECTION_CLOSED));
        } else {
            refuse(ResultCode.DRAINING, MIN_RETRY_AFTER);
        }
    }

    private void clientDisconnected() {
        if (!finished) {
            cancelPendingWork();
            finish();
            logDecision("client_gone", "");
        }
    }

    private void cancelPendingWork() {
        if (permitWaiting != null) {
            permitWaiting.cancel();
            permitWaiting = null;
        }
        if (acquisition != null) {
            acquisition.cancel();
            acquisition = null;
        }
        if (call != null) {
            if (call.isSent()) {
                permit = Optional.empty();
            }
            call.cancel();
            call = null;
        }
    }

    private void abortResponse() {
        finish();
        exchange.abort();
    }

    private void finish() {
        finished = true;
        deadlineTimer.cancel(false);
        giveBackPermit();
    }

    private void recordCompletion(TargetResponse response) {
        long now = System.nanoTime();
        permit = Optional.empty();
        dispatcher.serviceTimes().record(service, now - startedNanos);
        dispatcher.metrics().recordLatency(route.name(), now - arrivedNanos);
        finish();
        logDecision("answered", String.valueOf(response.status().code()));
    }

    private void logDecision(String outcome, String reason) {
        DecisionLog.online(
                exchange.request().id(),
                route.name(),
                service,
                lastTarget,
                outcome,
                reason,
                attempts,
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos));
    }

    /** Receives the permit for the next attempt. */
    private final class PermitListener implements PermitHolder.Listener {

        @Override
        public void onPermitted(Permit granted) {
            permit = Optional.of(granted);
            acquireSlot();
        }

        @Override
        public void onRefused(LimitRefusal refusal) {
            String workspace = access.workspaceName();
            DecisionLog.limited(
                    exchange.request().id(),
                    workspace,
                    dispatcher.limits().limit(workspace),
                    refusal);
            boolean overLimit = refusal.cause() == LimitRefusal.Cause.OVER_LIMIT;
            refuse(
                    overLimit ? ResultCode.RATE_LIMITED : ResultCode.LIMIT_UNDECIDED,
                    refusal.retryAfter());
        }
    }

    /** Receives the slot for the next attempt. */
    private final class SlotListener implements SlotAcquisition.Listener {

        @Override
        public void onGranted(SlotLease lease, TargetInstance target) {
            acquisition = null;
            if (!isStillAccepted()) {
                lease.release(RunReport.unused(LeaseOutcome.CANCELLED));
                refuseKey();
                return;
            }
            if (needsPermit()) {
                // The key belongs to another workspace by now, or there is a limit now.
                lease.release(RunReport.unused(LeaseOutcome.CANCELLED));
                dispatch();
                return;
            }
            // The prompt may have been quarantined while the request waited.
            Optional<Duration> quarantine = promptQuarantine();
            if (quarantine.isPresent()) {
                lease.release(RunReport.unused(LeaseOutcome.CANCELLED));
                refuse(ResultCode.PROMPT_QUARANTINED, quarantine.get());
            } else if (!dispatcher.hasTimeFor(dispatcher.serviceTimes().average(service))) {
                lease.release(RunReport.unused(LeaseOutcome.CANCELLED));
                refuse(ResultCode.DRAINING, MIN_RETRY_AFTER);
            } else {
                sendTo(target, lease);
            }
        }

        @Override
        public void onRefused(SlotDecision.Refusal reason, Duration expectedWait) {
            acquisition = null;
            switch (reason) {
                case FULL, OVERLOADED, DISPLACED, POSTPONED ->
                        refuse(ResultCode.OVERLOADED, expectedWait);
                case EXPIRED -> refuse(ResultCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER);
                case NO_TARGET -> refuse(ResultCode.NO_TARGET, NO_TARGET_RETRY_AFTER);
                default -> throw new AssertionError(reason);
            }
        }
    }

    /** One attempt on one target, with its response. */
    private final class Attempt implements CallListener {

        private TargetResponse response;
        private ResponseForwarder forwarder;

        @Override
        public void onResponse(TargetResponse newResponse) {
            response = newResponse;
            boolean cannotContinue =
                    exchange.isResponseStarted()
                            && newResponse.meaning() == TargetResponse.Meaning.SUCCESS
                            && !newResponse.isEventStream();
            if (cannotContinue) {
                call.fail();
                attemptLost("resumed stream without events");
                return;
            }
            forwarder = new ResponseForwarder(exchange, newResponse, lastEvent, call::countEvent);
        }

        @Override
        public void onData(ByteBuf data) {
            if (finished) {
                return;
            }
            boolean wellFormed = forwarder.add(data);
            lastEvent = forwarder.lastEvent();
            if (!wellFormed) {
                oversized();
            } else if (!exchange.isWritable() && call != null) {
                TargetCall pausedCall = call;
                pausedCall.setReading(false);
                exchange.onWritable(() -> pausedCall.setReading(true));
            }
        }

        /** Ends the attempt because the target sends more than a response may hold. */
        private void oversized() {
            call.fail();
            switch (response.meaning()) {
                case NOT_RUN -> refusedByTarget("full, oversized answer");
                case OTHER_TARGET -> refusedByTarget("address reused, oversized answer");
                case SUCCESS, FAILED, IMPOSSIBLE, UNTRUSTED -> attemptLost("oversized answer");
                default -> throw new AssertionError(response.meaning());
            }
        }

        @Override
        public void onComplete() {
            if (finished) {
                return;
            }
            switch (response.meaning()) {
                case SUCCESS -> completeSuccess();
                case FAILED, IMPOSSIBLE -> completeFailure();
                case NOT_RUN -> refusedByTarget("full");
                case OTHER_TARGET -> refusedByTarget("address reused");
                case UNTRUSTED -> attemptLost("untrusted answer " + response.status().code());
                default -> throw new AssertionError(response.meaning());
            }
        }

        private void completeSuccess() {
            if (forwarder.endsWithinEvent()) {
                attemptLost("stream ended within an event");
                return;
            }
            call = null;
            recordCompletion(response);
            forwarder.endResponse();
        }

        private void completeFailure() {
            boolean retry =
                    response.meaning() == TargetResponse.Meaning.FAILED
                            && response.status().code() >= SERVER_ERROR
                            && route.isIdempotent()
                            && attempts + 1 < route.maxAttempts()
                            && deadlineNanos - System.nanoTime() > 0;
            if (retry || exchange.isResponseStarted()) {
                attemptLost("status " + response.status().code());
                return;
            }
            call = null;
            recordCompletion(response);
            forwarder.endResponse();
        }

        @Override
        public void onFailure(CallFailure failure) {
            if (finished) {
                return;
            }
            switch (failure) {
                case NOT_SENT -> refusedByTarget("no connection");
                case LOST -> attemptLost("connection lost");
                case MALFORMED -> attemptLost("malformed answer");
                case UNATTRIBUTED -> {
                    needsNewConnection = true;
                    attemptLost("unattributed answer");
                }
                case FAILURE_REPORTED -> attemptLost("failure without identifier");
                default -> throw new AssertionError(failure);
            }
        }
    }
}
