package org.fuchsiaspindle.gateway.target;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.gateway.prompt.PromptGuard;
import org.fuchsiaspindle.gateway.slot.SlotClient;
import org.fuchsiaspindle.gateway.slot.SlotLease;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.TargetDirectory;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.fuchsiaspindle.platform.target.TargetResponse;
import org.fuchsiaspindle.platform.target.TargetResponse.Meaning;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All targets, with the calls and connections of this gateway and its view of their health.
 *
 * <p>Confined to the event loop of the request path.
 */
public final class TargetFleet implements SlotClient.Targets {

    private static final Logger LOG = LoggerFactory.getLogger(TargetFleet.class);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** Time between two checks while calls run, and while none does. */
    private static final Duration HEALTH_CHECK_INTERVAL = Duration.ofMillis(100);

    private static final Duration REST_CHECK_INTERVAL = Duration.ofMillis(400);

    /** A check that is later than this missed data that waits in the sockets of this process. */
    private static final Duration LATE_CHECK = Duration.ofMillis(200);

    private final EventLoop loop;
    private final Map<String, TargetState> targets = new HashMap<>();
    private final CrashDetector crashDetector;
    private final PromptGuard promptGuard;
    private final AnswerEvents answerEvents;
    private final GatewayMetrics metrics;
    private Consumer<TargetInstance> silenceListener = target -> {};
    private Consumer<TargetInstance> silenceEndListener = target -> {};
    private RequestLimitListener requestLimitListener = (target, limit) -> {};

    private TargetFleet(EventLoop loop, PromptGuard promptGuard, GatewayMetrics metrics) {
        this.loop = loop;
        this.promptGuard = promptGuard;
        this.metrics = metrics;
        this.answerEvents = new AnswerEvents(metrics);
        this.crashDetector = new CrashDetector(loop, promptGuard::onCrash);
    }

    /**
     * Creates an empty fleet.
     *
     * @param loop its event loop
     * @param promptGuard learns which prompts crash targets and which are answered
     * @param metrics counts irregular answers and silences
     */
    public static TargetFleet create(
            EventLoop loop, PromptGuard promptGuard, GatewayMetrics metrics) {
        return new TargetFleet(
                checkNotNull(loop, "loop"),
                checkNotNull(promptGuard, "promptGuard"),
                checkNotNull(metrics, "metrics"));
    }

    /** Receives the limits that targets announce. */
    @FunctionalInterface
    public interface RequestLimitListener {

        /**
         * Called when a target announces a limit, or none any more.
         *
         * @param target the target
         * @param requestsPerSecond how many requests a second it accepts from all gateways together
         */
        void onRequestLimit(TargetInstance target, OptionalDouble requestsPerSecond);
    }

    /**
     * Starts the periodic checks.
     *
     * @param newSilenceListener called for each target that is found silent, and again for each
     *     later call that confirms it
     * @param newSilenceEndListener called when data comes from a target that was found silent
     * @param newLimitListener called for each target that announces a limit
     */
    public void start(
            Consumer<TargetInstance> newSilenceListener,
            Consumer<TargetInstance> newSilenceEndListener,
            RequestLimitListener newLimitListener) {
        silenceListener = checkNotNull(newSilenceListener, "newSilenceListener");
        silenceEndListener = checkNotNull(newSilenceEndListener, "newSilenceEndListener");
        requestLimitListener = checkNotNull(newLimitListener, "newLimitListener");
        scheduleCheck();
    }

    /** Replaces the known targets with those of a directory; running calls continue. */
    public void apply(TargetDirectory directory) {
        for (TargetInstance instance : directory.targets().values()) {
            TargetState state = targets.get(instance.id());
            if (state != null && state.instance().isSameIncarnation(instance)) {
                state.register(instance);
            } else {
                addTarget(state, instance);
            }
        }
        for (TargetState state : List.copyOf(targets.values())) {
            if (directory.target(state.instance().id()).isEmpty()) {
                state.unregister();
                if (state.isUnused()) {
                    targets.remove(state.instance().id());
                }
            }
        }
    }

    private void addTarget(TargetState previous, TargetInstance instance) {
        if (previous != null) {
            previous.unregister();
        }
        targets.put(instance.id(), new TargetState(instance, answerEvents));
    }

    @Override
    public Optional<TargetInstance> usableTarget(String id) {
        return Optional.ofNullable(targets.get(id))
                .filter(TargetState::isOpen)
                .map(TargetState::instance);
    }

    /** Returns the number of targets that are registered and accept new requests. */
    public int openTargets() {
        return (int) targets.values().stream().filter(TargetState::isOpen).count();
    }

    @Override
    public OptionalDouble requestLimit(String id) {
        TargetState state = targets.get(id);
        return state == null ? OptionalDouble.empty() : state.requestLimit();
    }

    @Override
    public boolean isAvoided(String id) {
        TargetState state = targets.get(id);
        return state != null && (!state.isOpen() || !state.acceptsCalls(System.nanoTime()));
    }

    /** Returns whether no call of this gateway runs on a target. */
    public boolean isIdle(String id) {
        TargetState state = targets.get(id);
        return state != null && state.calls().isEmpty();
    }

    /**
     * Sends a request to a target.
     *
     * @param instance the target, usable in the same event
     * @param lease the slot that the request occupies; released when the call ends
     * @param description what the request is
     * @param request creates the request at the moment it is sent
     * @param listener receives the response
     */
    public TargetCall call(
            TargetInstance instance,
            SlotLease lease,
            CallDescription description,
            Supplier<FullHttpRequest> request,
            CallListener listener) {
        TargetState state = targets.get(instance.id());
        TargetCall call = new TargetCall(this, state, lease, description, request, listener);
        long now = System.nanoTime();
        state.add(call, now);
        HttpConnection pooled =
                description.newConnection()
                        ? null
                        : state.pollIdleConnection(description.requestId(), now);
        if (pooled != null) {
            call.sendOn(pooled);
            return call;
        }
        HttpConnection.open(
                loop,
                instance.address(),
                CONNECT_TIMEOUT,
                call::sendOn,
                failure -> {
                    state.health().connectFailed(System.nanoTime());
                    LOG.info(
                            "target: connect failed target={} reason={}",
                            instance.id(),
                            failure.getMessage());
                    call.connectFailed();
                });
        return call;
    }

    void callEnded(TargetCall call) {
        TargetState state = call.target();
        if (state.remove(call) && state.isUnused()) {
            targets.remove(state.instance().id(), state);
        }
    }

    /** Handles the loss of the connection of a call whose response was not complete. */
    void connectionLost(TargetCall call) {
        if (call.isCrashSuspect()) {
            crashDetector.connectionLost(call.instance(), call.description());
        }
    }

    /** Handles that a target answered a call, or goes on after the start of its response. */
    void answered(TargetCall call) {
        promptGuard.onAnswer(call.instance().service(), call.description().promptParts());
    }

    /** Returns the log of irregular answers. */
    AnswerEvents answerEvents() {
        return answerEvents;
    }

    void dataReceived(TargetState state, long now) {
        if (state.dataReceived(now)) {
            LOG.info("target: sends data again target={}", state.instance().id());
            metrics.countTargetSilence("ended");
            silenceEndListener.accept(state.instance());
        }
    }

    void responseReceived(TargetCall call, TargetResponse response) {
        TargetState state = call.target();
        if (response.meaning() == Meaning.NOT_RUN) {
            state.health().refusedAsFull(System.nanoTime());
        } else if (response.meaning() == Meaning.OTHER_TARGET) {
            LOG.info(
                    "target: address belongs to another target now target={}",
                    state.instance().id());
            state.health().connectFailed(System.nanoTime());
            return;
        }
        if (response.leaving() && state.recordLeaving()) {
            LOG.info(
                    "target: announced that it is leaving target={} registered_leaving={}",
                    state.instance().id(),
                    state.instance().leaving());
        }
        boolean changed = state.recordRequestLimit(response.requestLimit());
        if (changed) {
            LOG.info(
                    "target: announced request limit target={} limit={}",
                    state.instance().id(),
                    response.requestLimit().isPresent()
                            ? response.requestLimit().getAsDouble() + "/s"
                            : "none");
        }
        // Also without a change, because the coordinator may have lost the limit or missed its end.
        if (changed || call.isTargetLimited() || response.requestLimit().isPresent()) {
            requestLimitListener.onRequestLimit(state.instance(), response.requestLimit());
        }
    }

    private void scheduleCheck() {
        boolean callsRun = targets.values().stream().anyMatch(state -> !state.calls().isEmpty());
        Duration interval = callsRun ? HEALTH_CHECK_INTERVAL : REST_CHECK_INTERVAL;
        long dueNanos = System.nanoTime() + interval.toNanos();
        loop.schedule(() -> checkTargets(dueNanos), interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void checkTargets(long dueNanos) {
        long now = System.nanoTime();
        boolean late = now - dueNanos > LATE_CHECK.toNanos();
        for (TargetState state : targets.values()) {
            state.closeStaleConnections(now);
            if (!late) {
                checkSilence(state, now);
            }
        }
        scheduleCheck();
    }

    private void checkSilence(TargetState state, long now) {
        if (state.checkSilence(now)) {
            LOG.info(
                    "target: silent target={} calls={}",
                    state.instance().id(),
                    state.calls().size());
            metrics.countTargetSilence("found");
            // They may be as dead as the connections of the calls; a trial needs a new one.
            state.closeIdleConnections();
            silenceListener.accept(state.instance());
        }
        for (TargetCall call : state.checkStalls(now)) {
            LOG.info(
                    "target: stalled call target={} request={}",
                    state.instance().id(),
                    call.description().requestId());
            metrics.countTargetSilence("stalled_call");
            state.closeIdleConnections();
        }
    }
}
