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
import org.fuchsiaspindle.core.serving.BatchPreemption;
import org.fuchsiaspindle.core.serving.BatchUrgency;
import org.fuchsiaspindle.core.serving.SlotFillDelay;
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
 * All targets, with the calls that this and all other gateways run on them.
 *
 * <p>A few milliseconds after a change, each gateway broadcasts the number of calls that it runs,
 * so that all of them choose targets and preempt batch items from nearly the same loads. Confined
 * to the event loop of the request path.
 */
public final class TargetFleet implements PeerMesh.LoadListener {

    private static final Logger LOG = LoggerFactory.getLogger(TargetFleet.class);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration LOAD_BROADCAST_DELAY = Duration.ofMillis(5);

    /** Delay before checking again a free slot that a more urgent gateway may fill first. */
    private static final Duration SLOT_RECHECK_DELAY = Duration.ofMillis(6);

    private static final Duration HEALTH_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Receives a notification when a target may have a free slot for waiting work. */
    @FunctionalInterface
    public interface CapacityListener {

        /** Called on the event loop; the free slot may belong to any service. */
        void onCapacity();
    }

    private final EventLoop loop;
    private final String ip;
    private final String dataCentre;
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Map<String, Map<String, TargetLoad>> peerLoadsOfUnknownTargets = new HashMap<>();
    private final Set<TargetState> changedTargets = new HashSet<>();
    private final List<CapacityListener> capacityListeners = new ArrayList<>();
    private final Map<String, BatchUrgency> peerUrgencies = new HashMap<>();
    private Supplier<BatchUrgency> urgency = () -> BatchUrgency.IDLE;
    private BatchUrgency broadcastUrgency = BatchUrgency.IDLE;
    private Runnable overloadListener = () -> {};
    private PeerMesh mesh;
    private boolean loadBroadcastScheduled;
    private boolean capacityNotificationScheduled;
    private boolean slotRecheckScheduled;

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

    /** Starts the periodic checks and the exchange of loads over a mesh. */
    public void start(PeerMesh newMesh) {
        mesh = checkNotNull(newMesh, "newMesh");
        newMesh.onConnected(this::broadcastCompleteLoad);
        loop.scheduleAtFixedRate(
                this::checkTargets,
                HEALTH_CHECK_INTERVAL.toMillis(),
                HEALTH_CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Adds a listener for free slots; listeners are called in the order in which they were added.
     */
    public void addCapacityListener(CapacityListener listener) {
        capacityListeners.add(checkNotNull(listener, "listener"));
    }

    /** Sets the source of the urgency of the batch items of this gateway. */
    public void setBatchUrgency(Supplier<BatchUrgency> newUrgency) {
        urgency = checkNotNull(newUrgency, "newUrgency");
    }

    /** Broadcasts the urgency of the batch items of this gateway if it has changed. */
    public void broadcastUrgency() {
        if (!urgency.get().equals(broadcastUrgency)) {
            scheduleLoadBroadcast();
        }
    }

    /** Sets the listener that is called when a target may have more calls than slots. */
    public void onOverload(Runnable listener) {
        overloadListener = checkNotNull(listener, "listener");
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
        notifyCapacityListeners();
    }

    private void addTarget(TargetState previous, TargetInstance instance) {
        if (previous != null) {
            previous.unregister();
        }
        TargetState state = new TargetState(instance);
        targets.put(instance.id(), state);
        Map<String, TargetLoad> loads = peerLoadsOfUnknownTargets.remove(instance.id());
        if (loads != null) {
            loads.forEach(state::setPeerLoad);
        }
    }

    /** Returns the total slots of the targets of a service that accept work. */
    public int openSlots(String service) {
        return openTargets(service).stream().mapToInt(state -> state.instance().slots()).sum();
    }

    /** Returns the number of online calls that run on the targets of a service. */
    public OnlineCalls onlineCalls(String service) {
        int local = 0;
        int total = 0;
        for (TargetState state : targets.values()) {
            if (state.instance().service().equals(service)) {
                local += state.localLoad().online();
                total += state.load().online();
            }
        }
        return new OnlineCalls(local, total);
    }

    /**
     * The number of online calls that run on the targets of a service.
     *
     * @param local the calls of this gateway
     * @param total the calls of all gateways
     */
    public record OnlineCalls(int local, int total) {}

    /**
     * Chooses a target for a request, empty if no target can take it now.
     *
     * @param service the service
     * @param trafficClass the class of the request
     * @param avoidedIds identifiers of targets that are chosen only if no other accepts work
     */
    public Optional<TargetInstance> choose(
            String service, TrafficClass trafficClass, Collection<String> avoidedIds) {
        List<TargetState> openTargets = openTargets(service);
        List<TargetState> preferred =
                openTargets.stream()
                        .filter(state -> !avoidedIds.contains(state.instance().id()))
                        .toList();
        List<TargetChoice.Candidate> candidates =
                (preferred.isEmpty() ? openTargets : preferred)
                        .stream()
                                .map(
                                        state ->
                                                new TargetChoice.Candidate(
                                                        state.instance(), state.load()))
                                .toList();
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return switch (trafficClass) {
            case ONLINE -> TargetChoice.forOnline(candidates, dataCentre, random);
            case BATCH -> TargetChoice.forBatch(withFillableSlot(candidates), dataCentre, random);
        };
    }

    /**
     * Returns the targets that accept work or, if none does, those excluded only by their silence.
     */
    private List<TargetState> openTargets(String service) {
        long now = System.nanoTime();
        List<TargetState> serviceTargets =
                targets.values().stream()
                        .filter(state -> state.instance().service().equals(service))
                        .toList();
        List<TargetState> accepting =
                serviceTargets.stream().filter(state -> state.acceptsWork(now)).toList();
        return accepting.isEmpty()
                ? serviceTargets.stream().filter(state -> state.isLastResort(now)).toList()
                : accepting;
    }

    /**
     * Returns the targets whose free slots this gateway may fill now.
     *
     * <p>A slot first has to be free for a time that grows with the number of gateways whose
     * waiting items are more urgent.
     */
    private List<TargetChoice.Candidate> withFillableSlot(List<TargetChoice.Candidate> candidates) {
        BatchUrgency ownUrgency = urgency.get();
        int gatewaysAhead = 0;
        for (Map.Entry<String, BatchUrgency> peer : peerUrgencies.entrySet()) {
            boolean peerFirstIfEqual = peer.getKey().compareTo(ip) < 0;
            gatewaysAhead += ownUrgency.fillsSlotsAfter(peer.getValue(), peerFirstIfEqual) ? 1 : 0;
        }
        long now = System.nanoTime();
        Duration delay = SlotFillDelay.forGatewaysAhead(gatewaysAhead);
        List<TargetChoice.Candidate> fillable =
                candidates.stream()
                        .filter(
                                candidate ->
                                        targets.get(candidate.instance().id())
                                                .hasFreeSlotFor(delay, now))
                        .toList();
        if (fillable.size() < candidates.size()) {
            scheduleSlotRecheck();
        }
        return fillable;
    }

    /**
     * Sends a request to a target.
     *
     * @param instance a target that {@link #choose} returned in the same event
     * @param trafficClass the class of the request
     * @param isStream whether the response is a stream of events
     * @param requestId the identifier that the response must carry
     * @param request creates the request at the moment it is sent
     * @param listener receives the response
     */
    public TargetCall call(
            TargetInstance instance,
            TrafficClass trafficClass,
            boolean isStream,
            String requestId,
            Supplier<FullHttpRequest> request,
            CallListener listener) {
        TargetState state = targets.get(instance.id());
        TargetCall call =
                new TargetCall(this, state, trafficClass, isStream, requestId, request, listener);
        long now = System.nanoTime();
        state.add(call);
        state.health().callStarted(now);
        loadChanged(state);
        HttpConnection pooled = state.pollIdleConnection(now);
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

    /** Returns how many batch items of this gateway must be preempted, by target identifier. */
    public Map<String, Integer> batchItemsToPreempt() {
        Map<String, Integer> excess = new HashMap<>();
        List<String> preemptedFirst = peersPreemptedFirst();
        for (TargetState state : targets.values()) {
            int ownItems = state.localLoad().batch();
            if (ownItems > 0) {
                int itemsToPreempt =
                        BatchPreemption.itemsToPreempt(
                                state.instance().slots(),
                                state.load(),
                                ownItems,
                                state.batchItemsOf(preemptedFirst));
                if (itemsToPreempt > 0) {
                    excess.put(state.instance().id(), itemsToPreempt);
                }
            }
        }
        return excess;
    }

    private List<String> peersPreemptedFirst() {
        BatchUrgency ownUrgency = urgency.get();
        List<String> peers = new ArrayList<>();
        peerUrgencies.forEach(
                (peerIp, peerUrgency) -> {
                    if (ownUrgency.isPreemptedAfter(peerUrgency, peerIp.compareTo(ip) < 0)) {
                        peers.add(peerIp);
                    }
                });
        return peers;
    }

    void callEnded(TargetCall call) {
        TargetState state = call.target();
        if (state.remove(call)) {
            loadChanged(state);
            if (state.isUnused()) {
                targets.remove(state.instance().id(), state);
            }
            notifyCapacityListeners();
        }
    }

    void dataReceived(TargetState state) {
        state.dataReceived(System.nanoTime());
    }

    void responseReceived(TargetState state, TargetResponse response) {
        if (response.meaning() == Meaning.NOT_RUN) {
            state.health().refusedAsFull(System.nanoTime());
        } else if (response.meaning() == Meaning.OTHER_TARGET) {
            LOG.info(
                    "target: address belongs to another target now target={}",
                    state.instance().id());
            state.health().connectFailed(System.nanoTime());
        }
    }

    private void loadChanged(TargetState state) {
        state.updateFreeSlot(System.nanoTime());
        changedTargets.add(state);
        scheduleLoadBroadcast();
        overloadListener.run();
    }

    private void scheduleLoadBroadcast() {
        if (!loadBroadcastScheduled) {
            loadBroadcastScheduled = true;
            loop.schedule(
                    this::broadcastLoad, LOAD_BROADCAST_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void broadcastLoad() {
        loadBroadcastScheduled = false;
        LoadUpdate.Builder update = newLoadUpdate();
        changedTargets.forEach(state -> update.addCounts(targetCount(state)));
        changedTargets.clear();
        mesh.broadcast(PeerFrame.newBuilder().setLoad(update).build());
    }

    private void broadcastCompleteLoad() {
        LoadUpdate.Builder update = newLoadUpdate().setComplete(true);
        for (TargetState state : targets.values()) {
            if (state.localLoad().total() > 0) {
                update.addCounts(targetCount(state));
            }
        }
        mesh.broadcast(PeerFrame.newBuilder().setLoad(update).build());
    }

    private LoadUpdate.Builder newLoadUpdate() {
        broadcastUrgency = urgency.get();
        return LoadUpdate.newBuilder()
                .setWaitingDueMillis(broadcastUrgency.waitingDue())
                .setRunningDueMillis(broadcastUrgency.runningDue());
    }

    private static TargetCount targetCount(TargetState state) {
        return TargetCount.newBuilder()
                .setTarget(state.instance().id())
                .setOnline(state.localLoad().online())
                .setBatch(state.localLoad().batch())
                .build();
    }

    @Override
    public void onLoad(String peerIp, LoadUpdate update) {
        if (update.getComplete()) {
            removePeerLoads(peerIp);
        }
        peerUrgencies.put(
                peerIp,
                new BatchUrgency(update.getWaitingDueMillis(), update.getRunningDueMillis()));
        for (TargetCount count : update.getCountsList()) {
            TargetLoad load = new TargetLoad(count.getOnline(), count.getBatch());
            TargetState state = targets.get(count.getTarget());
            if (state != null) {
                state.setPeerLoad(peerIp, load);
                state.updateFreeSlot(System.nanoTime());
            } else {
                peerLoadsOfUnknownTargets
                        .computeIfAbsent(count.getTarget(), id -> new HashMap<>())
                        .put(peerIp, load);
            }
        }
        overloadListener.run();
        notifyCapacityListeners();
    }

    @Override
    public void onPeerLost(String peerIp) {
        removePeerLoads(peerIp);
        notifyCapacityListeners();
    }

    private void removePeerLoads(String peerIp) {
        peerUrgencies.remove(peerIp);
        targets.values().forEach(state -> state.setPeerLoad(peerIp, TargetLoad.NONE));
        peerLoadsOfUnknownTargets.values().forEach(loads -> loads.remove(peerIp));
        peerLoadsOfUnknownTargets.values().removeIf(Map::isEmpty);
    }

    private void checkTargets() {
        long now = System.nanoTime();
        for (TargetState state : targets.values()) {
            state.updateFreeSlot(now);
            state.closeStaleConnections(now);
            if (!state.calls().isEmpty()
                    && state.health()
                            .checkSilence(now, state.silentSinceNanos(now), state.silenceLimit())) {
                LOG.info(
                        "target: silent target={} calls={}",
                        state.instance().id(),
                        state.calls().size());
            }
        }
        notifyCapacityListeners();
    }

    private void scheduleSlotRecheck() {
        if (!slotRecheckScheduled) {
            slotRecheckScheduled = true;
            loop.schedule(
                    () -> {
                        slotRecheckScheduled = false;
                        notifyCapacityListeners();
                    },
                    SLOT_RECHECK_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Schedules one call of the capacity listeners after the current event. */
    private void notifyCapacityListeners() {
        if (!capacityNotificationScheduled) {
            capacityNotificationScheduled = true;
            loop.execute(
                    () -> {
                        capacityNotificationScheduled = false;
                        capacityListeners.forEach(CapacityListener::onCapacity);
                    });
        }
    }
}
