package org.fuchsiaspindle.daemon.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.membership.ConnectionPlan;
import org.fuchsiaspindle.core.membership.PeerLiveness;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.instance.InstanceList;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.fuchsiaspindle.wire.transport.Peer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An entry's connections to the other processes, maintained according to the instance list.
 *
 * <p>Thread-safe. Readers use an immutable snapshot and never block; changes are made under a lock
 * that is not held across I/O. Blocking reads of the instance list run on a virtual thread.
 */
public final class Membership implements FleetDirectory, AutoCloseable {

    /** Interval between reads of the instance list. */
    public static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    private static final Duration DIAL_INTERVAL = Duration.ofMillis(100);

    /**
     * Time after which a connection that the plan no longer contains is closed; until then, streams
     * may still run on it.
     */
    private static final Duration SURPLUS_TIMEOUT = Duration.ofMinutes(10);

    private final Peer self;
    private final InstanceList list;
    private final Dialler dialler;
    private final FrameDispatcher dispatcher;
    private final Clock clock;
    private final DialSchedule dials;
    private final ImmutableList<InetSocketAddress> seeds;
    private final ScheduledExecutorService timer;
    private final AtomicBoolean polling = new AtomicBoolean();
    private final List<Consumer<String>> leavingListeners = new CopyOnWriteArrayList<>();
    private final AtomicReference<View> view = new AtomicReference<>(View.EMPTY);

    private volatile Supplier<Set<String>> additionalPeers = Set::of;
    private volatile Predicate<String> drained = id -> false;

    // The fields below are guarded by this object's lock.
    private final PeerLiveness liveness = PeerLiveness.create();
    private final Map<String, List<FleetConnection>> open = new HashMap<>();
    private final Map<FleetConnection, Long> surplusSince = new HashMap<>();
    private final Set<FleetConnection> announcedLeaving = new HashSet<>();
    private ImmutableMap<String, ListedInstance> listed = ImmutableMap.of();
    private ImmutableSet<String> planned = ImmutableSet.of();
    private boolean listKnown;
    private boolean listRead;
    private boolean listAvailable = true;
    private boolean lastLoggedCutOff;

    /** An immutable snapshot for readers. */
    private record View(
            ImmutableList<FleetConnection> agents,
            ImmutableList<FleetConnection> entries,
            ImmutableMap<String, FleetConnection> byId,
            ImmutableList<ListedInstance> instances,
            ImmutableMap<String, ListedInstance> listed,
            ImmutableSet<String> leaving,
            boolean listKnown,
            boolean cutOff) {

        private static final View EMPTY =
                new View(
                        ImmutableList.of(),
                        ImmutableList.of(),
                        ImmutableMap.of(),
                        ImmutableList.of(),
                        ImmutableMap.of(),
                        ImmutableSet.of(),
                        false,
                        false);
    }

    private Membership(
            Peer self,
            InstanceList list,
            Dialler dialler,
            FrameDispatcher dispatcher,
            Clock clock,
            RandomGenerator random,
            List<InetSocketAddress> seeds) {
        this.self = checkNotNull(self, "self");
        this.list = checkNotNull(list, "list");
        this.dialler = checkNotNull(dialler, "dialler");
        this.dispatcher = checkNotNull(dispatcher, "dispatcher");
        this.clock = checkNotNull(clock, "clock");
        this.dials = new DialSchedule(checkNotNull(random, "random"));
        this.seeds = ImmutableList.copyOf(seeds);
        this.timer =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("membership").factory());
    }

    /**
     * Creates a membership that opens no connections before {@link #start}.
     *
     * @param self this entry as others see it
     * @param list the platform's instance list
     * @param dialler opens connections, in production {@code transport::connect}
     * @param dispatcher receives the events of all connections and delivers the {@code Leaving}
     *     messages
     * @param clock the clock
     * @param random random source of the jitter
     * @param seeds addresses to dial until the list has been read once
     */
    public static Membership create(
            Peer self,
            InstanceList list,
            Dialler dialler,
            FrameDispatcher dispatcher,
            Clock clock,
            RandomGenerator random,
            List<InetSocketAddress> seeds) {
        Membership membership =
                new Membership(self, list, dialler, dispatcher, clock, random, seeds);
        dispatcher.onOpened(membership::onOpened);
        dispatcher.onClosed(membership::onClosed);
        dispatcher.register(
                Frame.BodyCase.LEAVING,
                (connection, frame) -> membership.onLeavingMessage(connection));
        dispatcher.register(
                Frame.BodyCase.INSTANCE_LIST_SHARE,
                (connection, frame) -> membership.onListOfPeer(connection, frame));
        return membership;
    }

    /** Starts to read the list and to dial. */
    public void start() {
        timer.scheduleWithFixedDelay(
                this::startPoll, 0, POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                () -> runLoggingErrors(this::dial),
                0,
                DIAL_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the peers that are dialled in addition to the plan, for example the granters of the
     * customers whose requests this entry serves.
     *
     * @param peers returns their identifiers; must not block
     */
    public void setAdditionalPeers(Supplier<Set<String>> peers) {
        additionalPeers = checkNotNull(peers, "peers");
    }

    /**
     * Sets the predicate for targets that an operator drains; they count as leaving.
     *
     * @param predicate takes the identifier of the target's instance; must not block
     */
    public void setDrainedPredicate(Predicate<String> predicate) {
        drained = checkNotNull(predicate, "predicate");
    }

    /**
     * Registers a listener for the identifiers of instances that announce that they are leaving.
     */
    public void onLeaving(Consumer<String> listener) {
        leavingListeners.add(checkNotNull(listener, "listener"));
    }

    @Override
    public ImmutableList<FleetConnection> agents() {
        return view.get().agents();
    }

    @Override
    public ImmutableList<FleetConnection> entries() {
        return view.get().entries();
    }

    @Override
    public ImmutableList<ListedInstance> instances() {
        return view.get().instances();
    }

    /**
     * Returns the last known instance list, including instances that are considered gone.
     *
     * <p>Shares of limits are computed from this list, because processes that are cut off from each
     * other must agree on the number of entries.
     */
    public ImmutableMap<String, ListedInstance> listed() {
        return view.get().listed();
    }

    /** Returns true once the instance list has been read. */
    public boolean isListKnown() {
        return view.get().listKnown();
    }

    /** Returns true while this process assumes that it is itself isolated from its peers. */
    public boolean isCutOff() {
        return view.get().cutOff();
    }

    @Override
    public Optional<FleetConnection> connectionTo(String instanceId) {
        return Optional.ofNullable(view.get().byId().get(instanceId))
                .filter(FleetConnection::isOpen);
    }

    @Override
    public boolean isLeaving(String instanceId) {
        return view.get().leaving().contains(instanceId) || drained.test(instanceId);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void startPoll() {
        if (polling.compareAndSet(false, true)) {
            Thread.ofVirtual().name("instance-list").start(() -> runLoggingErrors(this::poll));
        }
    }

    /** Reads the list once; if that fails, the last known list stays in use. */
    void poll() {
        try {
            ImmutableList<ListedInstance> instances = list.list();
            if (!listAvailable) {
                LOG.info("member: instance list available again");
            }
            listAvailable = true;
            applyReadList(instances);
        } catch (FuchsiaspindleException e) {
            if (listAvailable) {
                LOG.warn(
                        "member: instance list unavailable, using the last known one reason=\"{}\"",
                        e.getMessage());
            }
            listAvailable = false;
        } finally {
            polling.set(false);
            republish();
        }
    }

    private synchronized void applyReadList(ImmutableList<ListedInstance> instances) {
        listRead = true;
        applyList(instances);
    }

    /** Rebuilds the snapshot, because a disconnected peer is considered gone after a timeout. */
    private synchronized void republish() {
        publish();
    }

    /**
     * Takes over the list of a peer until this process has read the list itself, so that a process
     * that starts while the list is unavailable reaches the fleet.
     */
    private synchronized void onListOfPeer(FleetConnection connection, Frame frame) {
        if (listRead) {
            return;
        }
        ImmutableList<ListedInstance> instances =
                InstanceMessages.decode(frame.getInstanceListShare());
        LOG.info(
                "member: instance list taken from a peer instance={} instances={}",
                connection.peer().instanceId(),
                instances.size());
        applyList(instances);
    }

    private synchronized void applyList(ImmutableList<ListedInstance> instances) {
        ImmutableMap.Builder<String, ListedInstance> byId = ImmutableMap.builder();
        instances.forEach(instance -> byId.put(instance.id(), instance));
        ImmutableMap<String, ListedInstance> next = byId.buildKeepingLast();
        if (listKnown && next.equals(listed)) {
            return;
        }
        logChanges(next);
        listed = next;
        listKnown = true;
        planned =
                ConnectionPlan.choose(
                        self.instanceId(),
                        self.dataCentre(),
                        next.values().stream().map(Members::of).toList());
        liveness.updateListedPeers(next.keySet());
        dials.retain(next.keySet());
        publish();
    }

    private void logChanges(ImmutableMap<String, ListedInstance> next) {
        for (ListedInstance instance : next.values()) {
            ListedInstance before = listed.get(instance.id());
            if (before == null || before.leaving() != instance.leaving()) {
                LOG.info(
                        "member: listed instance={} role={} dc={} leaving={}",
                        instance.id(),
                        instance.role(),
                        instance.dataCentre(),
                        instance.leaving());
            }
        }
        for (String id : listed.keySet()) {
            if (!next.containsKey(id)) {
                LOG.info("member: no longer listed instance={}", id);
            }
        }
    }

    /** Dials the needed instances that have no connection and whose backoff delay has passed. */
    void dial() {
        Set<String> additional = additionalPeers.get();
        List<ListedInstance> due = new ArrayList<>();
        long now = clock.nanoTime();
        synchronized (this) {
            for (ListedInstance instance : listed.values()) {
                String id = instance.id();
                boolean needed =
                        !id.equals(self.instanceId())
                                && (planned.contains(id) || additional.contains(id));
                if (needed && !open.containsKey(id) && dials.tryBegin(id, now)) {
                    due.add(instance);
                }
            }
            closeSurplus(additional, now);
        }
        due.forEach(this::dial);
        dialSeeds(now);
    }

    private void dial(ListedInstance instance) {
        dialler.connect(instance.address(), dispatcher)
                .whenComplete((connection, failure) -> onDialled(instance, connection, failure));
    }

    private synchronized void onDialled(
            ListedInstance instance, FleetConnection connection, Throwable failure) {
        long now = clock.nanoTime();
        if (failure == null && connection.peer().instanceId().equals(instance.id())) {
            dials.succeeded(instance.id());
            return;
        }
        dials.failed(instance.id(), now);
        liveness.recordUnreachable(instance.id(), now);
        LOG.debug(
                "member: cannot connect instance={} address={} reason=\"{}\"",
                instance.id(),
                instance.address(),
                failure == null
                        ? "the address belongs to another instance: "
                                + connection.peer().instanceId()
                        : failure.getMessage());
    }

    private void dialSeeds(long now) {
        if (view.get().listKnown() || !view.get().entries().isEmpty()) {
            return;
        }
        for (InetSocketAddress seed : seeds) {
            String key = "seed " + seed;
            boolean mayDial;
            synchronized (this) {
                mayDial = dials.tryBegin(key, now);
            }
            if (mayDial) {
                dialler.connect(seed, dispatcher)
                        .whenComplete((connection, failure) -> onSeedDialled(key));
            }
        }
    }

    /** Schedules the next attempt also after a success, in case the connection closes. */
    private synchronized void onSeedDialled(String key) {
        dials.failed(key, clock.nanoTime());
    }

    private void onOpened(FleetConnection connection) {
        String id = connection.peer().instanceId();
        if (id.equals(self.instanceId())) {
            // A seed address may be this process's own.
            connection.close();
            return;
        }
        synchronized (this) {
            open.computeIfAbsent(id, key -> new ArrayList<>()).add(connection);
            liveness.recordConnected(id);
            publish();
            if (listKnown && connection.peer().role() == Role.ROLE_ENTRY) {
                connection.send(InstanceMessages.share(listed.values()));
            }
        }
        LOG.info(
                "member: connected instance={} role={} dc={}",
                id,
                connection.peer().role(),
                connection.peer().dataCentre());
    }

    private void onClosed(FleetConnection connection) {
        String id = connection.peer().instanceId();
        boolean plannedStop;
        synchronized (this) {
            List<FleetConnection> connections = open.get(id);
            if (connections == null || !connections.remove(connection)) {
                return;
            }
            surplusSince.remove(connection);
            plannedStop = announcedLeaving.remove(connection) || isListedLeaving(id);
            if (connections.isEmpty()) {
                open.remove(id);
                liveness.recordDisconnected(id, plannedStop, clock.nanoTime());
            }
            publish();
        }
        LOG.info("member: disconnected instance={} planned={}", id, plannedStop);
    }

    private void onLeavingMessage(FleetConnection connection) {
        synchronized (this) {
            if (!announcedLeaving.add(connection)) {
                return;
            }
            publish();
        }
        String id = connection.peer().instanceId();
        LOG.info("member: instance announced that it is leaving instance={}", id);
        leavingListeners.forEach(listener -> listener.accept(id));
    }

    private boolean isListedLeaving(String id) {
        ListedInstance instance = listed.get(id);
        return instance != null && instance.leaving();
    }

    /**
     * Closes connections to agents that were not needed for {@link #SURPLUS_TIMEOUT}. Connections
     * to entries stay open, because the other entry may have opened them.
     */
    private void closeSurplus(Set<String> additional, long now) {
        List<FleetConnection> expired = new ArrayList<>();
        for (Map.Entry<String, List<FleetConnection>> entry : open.entrySet()) {
            boolean needed =
                    planned.contains(entry.getKey()) || additional.contains(entry.getKey());
            for (FleetConnection connection : entry.getValue()) {
                if (needed || !listKnown || connection.peer().role() != Role.ROLE_AGENT) {
                    surplusSince.remove(connection);
                } else if (now - surplusSince.computeIfAbsent(connection, key -> now)
                        > SURPLUS_TIMEOUT.toNanos()) {
                    expired.add(connection);
                }
            }
        }
        expired.forEach(FleetConnection::close);
    }

    /** Builds the snapshot for readers; the caller holds the lock. */
    private void publish() {
        long now = clock.nanoTime();
        ImmutableMap.Builder<String, FleetConnection> byId = ImmutableMap.builder();
        ImmutableList.Builder<FleetConnection> agents = ImmutableList.builder();
        ImmutableList.Builder<FleetConnection> entries = ImmutableList.builder();
        open.forEach(
                (id, connections) -> {
                    // The newest connection belongs to the newest incarnation.
                    FleetConnection newest = connections.getLast();
                    byId.put(id, newest);
                    if (newest.peer().role() == Role.ROLE_ENTRY) {
                        entries.add(newest);
                    } else if (!listKnown || planned.contains(id)) {
                        agents.add(newest);
                    }
                });
        Set<String> leaving =
                listed.values().stream()
                        .filter(ListedInstance::leaving)
                        .map(ListedInstance::id)
                        .collect(Collectors.toCollection(HashSet::new));
        open.forEach(
                (id, connections) -> {
                    if (announcedLeaving.contains(connections.getLast())) {
                        leaving.add(id);
                    }
                });
        view.set(
                new View(
                        agents.build(),
                        entries.build(),
                        byId.buildOrThrow(),
                        listed.values().stream()
                                .filter(instance -> !liveness.isGone(instance.id(), now))
                                .collect(ImmutableList.toImmutableList()),
                        listed,
                        ImmutableSet.copyOf(leaving),
                        listKnown,
                        liveness.isCutOff()));
        logCutOff();
    }

    private void logCutOff() {
        if (liveness.isCutOff() != lastLoggedCutOff) {
            lastLoggedCutOff = liveness.isCutOff();
            LOG.warn("member: cut_off={} open={}", lastLoggedCutOff, open.size());
        }
    }

    private static void runLoggingErrors(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("member: periodic task failed", e);
        }
    }
}
