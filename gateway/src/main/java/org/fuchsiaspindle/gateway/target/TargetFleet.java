package org.fuchsiaspindle.gateway.target;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.serving.BatchUrgency;
import org.fuchsiaspindle.core.serving.BatchYield;
import org.fuchsiaspindle.core.serving.SlotTurn;
import org.fuchsiaspindle.core.serving.TargetChoice;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.serving.TargetLoad;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.fuchsiaspindle.gateway.view.TargetDirectory;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.fuchsiaspindle.platform.target.TargetResponse;
import org.fuchsiaspindle.platform.target.TargetResponse.Meaning;
import org.fuchsiaspindle.wire.peer.LoadUpdate;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.TargetCount;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All targets with the calls that run there, over this and all other gateways.
 *
 * <p>Each gateway tells the others which calls it runs, a few milliseconds after a change, so that
 * all of them choose targets and stop batch items from nearly the same loads.
 */
public final class TargetFleet implements PeerMesh.LoadListener {

    private static final Logger LOG = LoggerFactory.getLogger(TargetFleet.class);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration LOAD_DELAY = Duration.ofMillis(5);
    private static final Duration TURN_CHECK = Duration.ofMillis(6);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /** Called when work may start that could not start before. */
    @FunctionalInterface
    public interface CapacityListener {

        /** Called on the event loop, without arguments since any service may have room. */
        void onCapacity();
    }

    private final EventLoop loop;
    private final String ip;
    private final String dataCentre;
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Map<String, Map<String, TargetLoad>> loadsOfUnknown = new HashMap<>();
    private final Set<TargetState> changed = new HashSet<>();
    private final List<CapacityListener> capacityListeners = new ArrayList<>();
    private final Map<String, BatchUrgency> peerUrgencies = new HashMap<>();
    private Supplier<BatchUrgency> urgency = () -> BatchUrgency.IDLE;
    private BatchUrgency sharedUrgency = BatchUrgency.IDLE;
    private Runnable excessListener = () -> {};
    private PeerMesh mesh;
    private boolean loadScheduled;
    private boolean capacityScheduled;
    private boolean laterSignalScheduled;

    private TargetFleet(EventLoop loop, String ip, String dataCentre) {
        this.loop = loop;
        this.ip = ip;
        this.dataCentre = dataCentre;
    }

    /** Creates an empty fleet for a gateway at an address in a data centre. */
    public static TargetFleet create(EventLoop loop, String ip, String dataCentre) {
        return new TargetFleet(
                checkNotNull(loop, "loop"),
                checkNotNull(ip, "ip"),
                checkNotNull(dataCentre, "dataCentre"));
    }

    /** Starts the periodic checks and shares loads over a mesh. */
    public void start(PeerMesh newMesh) {
        mesh = checkNotNull(newMesh, "newMesh");
        newMesh.onConnected(this::sendCompleteLoad);
        loop.scheduleAtFixedRate(
                this::check,
                CHECK_INTERVAL.toMillis(),
                CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Adds a listener for free capacity; listeners are called in the order of their addition. */
    public void addCapacityListener(CapacityListener listener) {
        capacityListeners.add(checkNotNull(listener, "listener"));
    }

    /** Sets what tells how urgent the own batch items are. */
    public void batchUrgency(Supplier<BatchUrgency> newUrgency) {
        urgency = checkNotNull(newUrgency, "newUrgency");
    }

    /** Tells the peers how urgent the own batch items are, if that changed. */
    public void shareUrgency() {
        if (!urgency.get().equals(sharedUrgency)) {
            scheduleLoad();
        }
    }

    /** Sets what is called when a target may have more work than slots. */
    public void onExcess(Runnable listener) {
        excessListener = checkNotNull(listener, "listener");
    }

    /** Takes over the registered targets. */
    public void apply(TargetDirectory directory) {
        for (TargetInstance instance : directory.targets().values()) {
            TargetState state = targets.get(instance.id());
            if (state != null && state.instance().isSameIncarnation(instance)) {
                state.register(instance);
            } else {
                replace(state, instance);
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
        signalCapacity();
    }

    private void replace(TargetState old, TargetInstance instance) {
        if (old != null) {
            old.unregister();
        }
        TargetState state = new TargetState(instance);
        targets.put(instance.id(), state);
        Map<String, TargetLoad> loads = loadsOfUnknown.remove(instance.id());
        if (loads != null) {
            loads.forEach(state::peerLoad);
        }
    }

    /** Returns the total slots of the targets of a service that accept work. */
    public int openSlots(String service) {
        return openTargets(service).stream().mapToInt(state -> state.instance().slots()).sum();
    }

    /** Returns the online calls to a service, of this gateway and of all. */
    public OnlineShare onlineShare(String service) {
        int own = 0;
        int all = 0;
        for (TargetState state : targets.values()) {
            if (state.instance().service().equals(service)) {
                own += state.ownLoad().online();
                all += state.load().online();
            }
        }
        return new OnlineShare(own, all);
    }

    /**
     * Online calls that run at a service.
     *
     * @param own those of this gateway
     * @param all those of all gateways
     */
    public record OnlineShare(int own, int all) {}

    /**
     * Chooses a target for a request.
     *
     * @param service the service
     * @param sort whether a client waits for it
     * @param avoided targets that are chosen only if no other accepts work
     */
    public Optional<TargetInstance> choose(
            String service, CallSort sort, Collection<String> avoided) {
        List<TargetState> open = openTargets(service);
        List<TargetState> preferred =
                open.stream().filter(state -> !avoided.contains(state.instance().id())).toList();
        List<TargetChoice.Candidate> candidates =
                (preferred.isEmpty() ? open : preferred)
                        .stream()
                                .map(
                                        state ->
                                                new TargetChoice.Candidate(
                                                        state.instance(), state.load()))
                                .toList();
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return switch (sort) {
            case ONLINE -> TargetChoice.forOnline(candidates, dataCentre, random);
            case BATCH -> TargetChoice.forBatch(onTurn(candidates), dataCentre, random);
        };
    }

    /** Returns the targets that accept work; if none does, those that are merely silent. */
    private List<TargetState> openTargets(String service) {
        long now = System.nanoTime();
        List<TargetState> ofService =
                targets.values().stream()
                        .filter(state -> state.instance().service().equals(service))
                        .toList();
        List<TargetState> accepting =
                ofService.stream().filter(state -> state.acceptsWork(now)).toList();
        return accepting.isEmpty()
                ? ofService.stream().filter(state -> state.isLastResort(now)).toList()
                : accepting;
    }

    /** Returns the targets whose free slots it is this gateway's turn to fill. */
    private List<TargetChoice.Candidate> onTurn(List<TargetChoice.Candidate> candidates) {
        BatchUrgency own = urgency.get();
        int ahead = 0;
        for (Map.Entry<String, BatchUrgency> peer : peerUrgencies.entrySet()) {
            boolean firstIfEqual = peer.getKey().compareTo(ip) < 0;
            ahead += own.waitsBehind(peer.getValue(), firstIfEqual) ? 1 : 0;
        }
        long now = System.nanoTime();
        Duration delay = SlotTurn.delay(ahead);
        List<TargetChoice.Candidate> onTurn =
                candidates.stream()
                        .filter(
                                candidate ->
                                        targets.get(candidate.instance().id())
                                                .isFreeFor(delay, now))
                        .toList();
        if (onTurn.size() < candidates.size()) {
            signalCapacityLater();
        }
        return onTurn;
    }

    /**
     * Sends a request to a target.
     *
     * @param instance a target that was chosen just before
     * @param sort whether a client waits for it
     * @param expectsEvents whether the answer is a stream of events
     * @param requestId the identifier that the answer carries
     * @param request makes the request at the moment it is sent
     * @param listener receives the answer
     */
    public TargetCall call(
            TargetInstance instance,
            CallSort sort,
            boolean expectsEvents,
            String requestId,
            Supplier<FullHttpRequest> request,
            CallListener listener) {
        TargetState state = targets.get(instance.id());
        TargetCall call =
                new TargetCall(this, state, sort, expectsEvents, requestId, request, listener);
        long now = System.nanoTime();
        state.add(call);
        state.health().callStarted(now);
        loadChanged(state);
        HttpConnection kept = state.pollIdle(now);
        if (kept != null) {
            call.send(kept);
            return call;
        }
        HttpConnection.open(
                loop,
                instance.address(),
                CONNECT_TIMEOUT,
                call::send,
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

    /** Returns how many own batch items have to leave each target. */
    public Map<String, Integer> batchExcess() {
        Map<String, Integer> excess = new HashMap<>();
        List<String> yieldingBefore = peersYieldingBefore();
        for (TargetState state : targets.values()) {
            int own = state.ownLoad().batch();
            if (own > 0) {
                int stop =
                        BatchYield.itemsToStop(
                                state.instance().slots(),
                                state.load(),
                                own,
                                state.batchOf(yieldingBefore));
                if (stop > 0) {
                    excess.put(state.instance().id(), stop);
                }
            }
        }
        return excess;
    }

    private List<String> peersYieldingBefore() {
        BatchUrgency own = urgency.get();
        List<String> before = new ArrayList<>();
        peerUrgencies.forEach(
                (peerIp, peer) -> {
                    if (own.staysBefore(peer, peerIp.compareTo(ip) < 0)) {
                        before.add(peerIp);
                    }
                });
        return before;
    }

    void ended(TargetCall call) {
        TargetState state = call.target();
        if (state.remove(call)) {
            loadChanged(state);
            if (state.isUnused()) {
                targets.remove(state.instance().id(), state);
            }
            signalCapacity();
        }
    }

    void heard(TargetState state) {
        state.heard(System.nanoTime());
    }

    void answered(TargetState state, TargetResponse answer) {
        if (answer.meaning() == Meaning.NOT_RUN) {
            state.health().refusedAsFull(System.nanoTime());
        } else if (answer.meaning() == Meaning.OTHER_TARGET) {
            LOG.info("target: address taken over target={}", state.instance().id());
            state.health().connectFailed(System.nanoTime());
        }
    }

    private void loadChanged(TargetState state) {
        state.updateFree(System.nanoTime());
        changed.add(state);
        scheduleLoad();
        excessListener.run();
    }

    private void scheduleLoad() {
        if (!loadScheduled) {
            loadScheduled = true;
            loop.schedule(this::sendLoad, LOAD_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void sendLoad() {
        loadScheduled = false;
        LoadUpdate.Builder update = newUpdate();
        changed.forEach(state -> update.addCounts(count(state)));
        changed.clear();
        mesh.broadcast(PeerFrame.newBuilder().setLoad(update).build());
    }

    private void sendCompleteLoad() {
        LoadUpdate.Builder update = newUpdate().setComplete(true);
        for (TargetState state : targets.values()) {
            if (state.ownLoad().total() > 0) {
                update.addCounts(count(state));
            }
        }
        mesh.broadcast(PeerFrame.newBuilder().setLoad(update).build());
    }

    private LoadUpdate.Builder newUpdate() {
        sharedUrgency = urgency.get();
        return LoadUpdate.newBuilder()
                .setWaitingDueMillis(sharedUrgency.waitingDue())
                .setRunningDueMillis(sharedUrgency.runningDue());
    }

    private static TargetCount count(TargetState state) {
        return TargetCount.newBuilder()
                .setTarget(state.instance().id())
                .setOnline(state.ownLoad().online())
                .setBatch(state.ownLoad().batch())
                .build();
    }

    @Override
    public void onLoad(String peerIp, LoadUpdate update) {
        if (update.getComplete()) {
            forgetPeer(peerIp);
        }
        peerUrgencies.put(
                peerIp,
                new BatchUrgency(update.getWaitingDueMillis(), update.getRunningDueMillis()));
        for (TargetCount count : update.getCountsList()) {
            TargetLoad load = new TargetLoad(count.getOnline(), count.getBatch());
            TargetState state = targets.get(count.getTarget());
            if (state != null) {
                state.peerLoad(peerIp, load);
                state.updateFree(System.nanoTime());
            } else {
                loadsOfUnknown
                        .computeIfAbsent(count.getTarget(), id -> new HashMap<>())
                        .put(peerIp, load);
            }
        }
        excessListener.run();
        signalCapacity();
    }

    @Override
    public void onPeerLost(String peerIp) {
        forgetPeer(peerIp);
        signalCapacity();
    }

    private void forgetPeer(String peerIp) {
        peerUrgencies.remove(peerIp);
        targets.values().forEach(state -> state.peerLoad(peerIp, TargetLoad.NONE));
        loadsOfUnknown.values().forEach(loads -> loads.remove(peerIp));
        loadsOfUnknown.values().removeIf(Map::isEmpty);
    }

    private void check() {
        long now = System.nanoTime();
        for (TargetState state : targets.values()) {
            state.updateFree(now);
            state.closeStale(now);
            if (!state.calls().isEmpty()
                    && state.health()
                            .checkSilence(now, state.quietSinceNanos(now), state.silenceLimit())) {
                LOG.info(
                        "target: silent target={} calls={}",
                        state.instance().id(),
                        state.calls().size());
            }
        }
        signalCapacity();
    }

    private void signalCapacityLater() {
        if (!laterSignalScheduled) {
            laterSignalScheduled = true;
            loop.schedule(
                    () -> {
                        laterSignalScheduled = false;
                        signalCapacity();
                    },
                    TURN_CHECK.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Calls the capacity listeners once, after the present event was handled. */
    private void signalCapacity() {
        if (!capacityScheduled) {
            capacityScheduled = true;
            loop.execute(
                    () -> {
                        capacityScheduled = false;
                        capacityListeners.forEach(CapacityListener::onCapacity);
                    });
        }
    }
}
