package org.fuchsiaspindle.daemon.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.fuchsiaspindle.core.config.ChangeRequest;
import org.fuchsiaspindle.core.config.ConfigChange;
import org.fuchsiaspindle.core.config.ConfigConflictException;
import org.fuchsiaspindle.core.config.ConfigLog;
import org.fuchsiaspindle.core.config.ConfigReplica;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.config.ConfigState;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.membership.Rendezvous;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;
import org.fuchsiaspindle.wire.proto.ConfigRequest;
import org.fuchsiaspindle.wire.proto.ConfigUpdate;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.PeerStatus;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An entry's replica of the configuration; also commits changes to the configuration log.
 *
 * <p>Thread-safe. {@link #current} never blocks; {@link #submit} and the reads of the log block on
 * the table. The version never decreases, regardless of the order of messages.
 */
public final class ConfigStore implements ConfigSource, AutoCloseable {

    /** Interval at which the readers of a data centre read the head of the log. */
    public static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

    /** Number of entries per data centre that read the head of the log each second. */
    public static final int READERS_PER_DATA_CENTRE = 2;

    /**
     * Interval at which the entries that are not readers read the head, so that they receive a
     * change even if the messages of the readers do not reach them. Below the limit of 17 s for a
     * change to take effect.
     */
    public static final Duration SLOW_POLL_INTERVAL = Duration.ofSeconds(15);

    /** Peers that sent no status for this long are not used as sources of versions. */
    private static final Duration PEER_STATUS_TIMEOUT = Duration.ofSeconds(3);

    /** Minimum interval between requests to the same peer and between updates to the same agent. */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);

    private static final int PAGE_ROWS = 1000;
    private static final int MAX_ATTEMPTS = 20;
    private static final Logger LOG = LoggerFactory.getLogger(ConfigStore.class);

    private final String self;
    private final String dataCentre;
    private final TableService table;
    private final FleetDirectory directory;
    private final PeerStatuses statuses;
    private final Clock clock;
    private final RandomGenerator random;
    private final Executor worker;
    private final ConfigReplica replica = ConfigReplica.create();
    private final ConfigUpdateAssembler updates = new ConfigUpdateAssembler(replica);
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final Map<FleetConnection, Long> lastRequestTimes = new ConcurrentHashMap<>();
    private final Map<FleetConnection, Long> lastUpdateTimes = new ConcurrentHashMap<>();
    private final AtomicBoolean ticking = new AtomicBoolean();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("config").factory());

    private volatile boolean ready;
    private volatile long lastPollNanos;
    private volatile boolean tableReachable = true;

    private ConfigStore(
            String self,
            String dataCentre,
            TableService table,
            FleetDirectory directory,
            PeerStatuses statuses,
            Clock clock,
            RandomGenerator random,
            Executor worker) {
        this.self = checkNotNull(self, "self");
        this.dataCentre = checkNotNull(dataCentre, "dataCentre");
        this.table = checkNotNull(table, "table");
        this.directory = checkNotNull(directory, "directory");
        this.statuses = checkNotNull(statuses, "statuses");
        this.clock = checkNotNull(clock, "clock");
        this.random = checkNotNull(random, "random");
        this.worker = checkNotNull(worker, "worker");
    }

    /**
     * Creates a store at version 0 that reads nothing before {@link #start}.
     *
     * @param self identifier of this instance
     * @param dataCentre its data centre
     * @param table the table service
     * @param dispatcher delivers the {@code ConfigRequest} and {@code ConfigUpdate} messages
     * @param directory the other processes
     * @param statuses exchanges versions with the other entries
     * @param reports contains the versions of the agents
     * @param clock the clock
     * @param random random source of the nonces in written rows, thread-safe
     * @param worker executes message handlers in order, outside the I/O threads
     */
    public static ConfigStore create(
            String self,
            String dataCentre,
            TableService table,
            FrameDispatcher dispatcher,
            FleetDirectory directory,
            PeerStatuses statuses,
            LoadReports reports,
            Clock clock,
            RandomGenerator random,
            Executor worker) {
        ConfigStore store =
                new ConfigStore(
                        self, dataCentre, table, directory, statuses, clock, random, worker);
        dispatcher.register(
                Frame.BodyCase.CONFIG_REQUEST,
                (connection, frame) ->
                        worker.execute(
                                () -> store.handleRequest(connection, frame.getConfigRequest())));
        dispatcher.register(
                Frame.BodyCase.CONFIG_UPDATE,
                (connection, frame) ->
                        worker.execute(
                                () -> store.handleUpdate(connection, frame.getConfigUpdate())));
        dispatcher.onClosed(store::removeConnection);
        statuses.addContributor(
                status ->
                        status.setConfigVersion(store.replica.version())
                                .setTableReachable(store.tableReachable));
        statuses.onStatus(store::onPeerStatus);
        reports.onReport(store::onLoadReport);
        return store;
    }

    /** Starts to poll the head of the log. */
    public void start() {
        timer.scheduleWithFixedDelay(
                this::startTick, 0, POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public ConfigSnapshot current() {
        return replica.current();
    }

    /** Returns all documents in force, with the changes that set them. */
    public ConfigState state() {
        return replica.state();
    }

    /**
     * Returns true once this entry holds the table's head or, while the table is down, the highest
     * version of its reachable peers. It then stays true.
     */
    public boolean isReady() {
        return ready;
    }

    /** Returns true if the table responded to the last call of this store. */
    public boolean isTableReachable() {
        return tableReachable;
    }

    /** Registers a listener for new snapshots; it must not block. */
    public void onChange(Consumer<ConfigSnapshot> listener) {
        listeners.add(checkNotNull(listener, "listener"));
    }

    /**
     * Commits a change. A request with a known change id returns the outcome of the first request.
     *
     * @param request the change
     * @return the version that the change created
     * @throws org.fuchsiaspindle.core.config.ConfigConflictException if the base version is stale
     * @throws org.fuchsiaspindle.core.document.InvalidDocumentException with all errors
     * @throws FuchsiaspindleException with {@code CHANGE_ID_REUSED}, or {@code TABLE_UNAVAILABLE},
     *     or {@code WRITE_OUTCOME_UNKNOWN} if a response was lost and the outcome cannot be read
     *     from the table; the same request may then be sent again
     */
    public long submit(ChangeRequest request) {
        boolean mayBeCommitted = false;
        try {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                Optional<ConfigLog.RecordedChange> recorded = recorded(request.changeId());
                Optional<Long> earlier = ConfigLog.earlierVersion(request, recorded);
                if (earlier.isPresent()) {
                    catchUp();
                    return earlier.get();
                }
                mayBeCommitted |= tryCommitVerifyingConflict(request) == CommitOutcome.UNKNOWN;
            }
        } catch (TableUnavailableException e) {
            tableReachable = false;
            throw mayBeCommitted ? outcomeUnknown(request, e) : e;
        }
        throw mayBeCommitted
                ? outcomeUnknown(request, null)
                : new FuchsiaspindleException(
                        ResultCode.CONFIG_CONFLICT,
                        "concurrent changes were committed first in all "
                                + MAX_ATTEMPTS
                                + " attempts");
    }

    private enum CommitOutcome {
        COMMITTED,
        CONFLICTED,
        UNKNOWN
    }

    /**
     * Commits a change. An earlier attempt whose response was lost may take effect after the
     * look-up of its change id; the change would then conflict with itself, so a conflict is
     * reported only if the change id is still unknown.
     */
    private CommitOutcome tryCommitVerifyingConflict(ChangeRequest request) {
        try {
            return tryCommit(request);
        } catch (ConfigConflictException e) {
            if (recorded(request.changeId()).isPresent()) {
                return CommitOutcome.CONFLICTED;
            }
            throw e;
        }
    }

    private CommitOutcome tryCommit(ChangeRequest request) {
        Optional<Row> head = table.read(ConfigRows.HEAD);
        catchUp();
        ConfigState state = replica.state();
        long headVersion = head.map(ConfigRows::headVersion).orElse(0L);
        if (state.version() != headVersion) {
            return CommitOutcome.CONFLICTED;
        }
        ConfigChange change =
                ConfigLog.decide(
                        request, state, changesSinceBase(request, headVersion), clock.wallTime());
        String nonce = Ids.create("", random);
        try {
            table.commit(
                    Transaction.of(
                            new Operation.Put(
                                    ConfigRows.HEAD,
                                    head.map(Row::version).orElse(0L),
                                    ConfigRows.head(change.version(), nonce)),
                            new Operation.Put(
                                    ConfigRows.logKey(change.version()),
                                    0,
                                    ConfigRows.log(change, nonce)),
                            new Operation.Put(
                                    ConfigRows.changeKey(change.changeId()),
                                    0,
                                    ConfigRows.recorded(
                                            new ConfigLog.RecordedChange(
                                                    change.version(), request.contentDigest()),
                                            nonce))));
        } catch (ConditionFailedException e) {
            return CommitOutcome.CONFLICTED;
        } catch (OutcomeUnknownException e) {
            LOG.warn("config: table response lost change_id={}", change.changeId());
            return CommitOutcome.UNKNOWN;
        }
        LOG.info(
                "config: accepted version={} document={} change_id={} operator={}",
                change.version(),
                change.key(),
                change.changeId(),
                change.operator());
        return CommitOutcome.COMMITTED;
    }

    private ImmutableList<ConfigChange> changesSinceBase(ChangeRequest request, long headVersion) {
        long base = request.baseVersion().orElse(headVersion);
        if (base >= headVersion) {
            return ImmutableList.of();
        }
        Optional<ImmutableList<ConfigChange>> recent = replica.changesAfter(base);
        return recent.isPresent() ? recent.get() : log(base, headVersion);
    }

    private Optional<ConfigLog.RecordedChange> recorded(String changeId) {
        return table.read(ConfigRows.changeKey(changeId)).map(ConfigRows::recorded);
    }

    private static FuchsiaspindleException outcomeUnknown(ChangeRequest request, Throwable cause) {
        return new FuchsiaspindleException(
                ResultCode.WRITE_OUTCOME_UNKNOWN,
                "the response of the table to change "
                        + request.changeId()
                        + " was lost; retry with the same change id",
                Executed.UNKNOWN,
                Optional.empty(),
                cause);
    }

    /**
     * Reads changes from the log.
     *
     * @param afterVersion changes after this version
     * @param upToVersion changes up to this version
     * @throws TableUnavailableException if the table does not respond
     */
    public ImmutableList<ConfigChange> log(long afterVersion, long upToVersion) {
        ImmutableList.Builder<ConfigChange> changes = ImmutableList.builder();
        String afterKey = ConfigRows.logKey(afterVersion);
        while (true) {
            List<Row> page = table.readPrefix(ConfigRows.LOG_PREFIX, afterKey, PAGE_ROWS);
            for (Row row : page) {
                if (ConfigRows.logVersion(row) > upToVersion) {
                    return changes.build();
                }
                ConfigRows.change(row).ifPresent(changes::add);
            }
            if (page.size() < PAGE_ROWS) {
                return changes.build();
            }
            afterKey = page.getLast().key();
        }
    }

    /** Reads the log from this replica's version to its end and applies it. */
    private void catchUp() {
        while (true) {
            long after = replica.version();
            List<Row> page =
                    table.readPrefix(ConfigRows.LOG_PREFIX, ConfigRows.logKey(after), PAGE_ROWS);
            if (!page.isEmpty()) {
                List<ConfigChange> changes = new ArrayList<>();
                page.forEach(row -> ConfigRows.change(row).ifPresent(changes::add));
                long version = ConfigRows.logVersion(page.getLast());
                if (replica.offerChanges(after, version, changes)
                        == ConfigReplica.Outcome.APPLIED) {
                    onApplied("table");
                }
            }
            if (page.size() < PAGE_ROWS) {
                return;
            }
        }
    }

    private void startTick() {
        if (ticking.compareAndSet(false, true)) {
            Thread.ofVirtual()
                    .name("config-tick")
                    .start(
                            () -> {
                                try {
                                    tick();
                                } catch (RuntimeException e) {
                                    LOG.error("config: periodic task failed", e);
                                } finally {
                                    ticking.set(false);
                                }
                            });
        }
    }

    /** Polls the table if that is due; runs once per {@link #POLL_INTERVAL}. */
    void tick() {
        if (ready && !isPollDue()) {
            return;
        }
        try {
            lastPollNanos = clock.nanoTime();
            if (!ready
                    || table.read(ConfigRows.HEAD).map(ConfigRows::headVersion).orElse(0L)
                            > replica.version()) {
                catchUp();
            }
            markReady("table");
            tableReachable = true;
        } catch (TableUnavailableException e) {
            if (tableReachable) {
                LOG.warn("config: table silent reason=\"{}\"", e.getMessage());
            }
            tableReachable = false;
            catchUpWithPeers();
        }
    }

    /**
     * Returns true if the table is to be read now. Every entry reads the head each second while the
     * table appears to be down, because its status tells its peers whether the table is reachable:
     * holders of leased work continue only if the table is down for the others too.
     */
    private boolean isPollDue() {
        List<PeerStatuses.Received> peers = statuses.notOlderThan(PEER_STATUS_TIMEOUT);
        boolean outage =
                !tableReachable
                        || peers.stream().anyMatch(peer -> !peer.status().getTableReachable());
        if (outage || peers.isEmpty() || isReader()) {
            return true;
        }
        return clock.nanoTime() - lastPollNanos >= SLOW_POLL_INTERVAL.toNanos();
    }

    /**
     * Returns true if this entry is one of the few in its data centre that read the table for the
     * others.
     */
    public boolean isReader() {
        List<String> entries =
                Stream.concat(
                                Stream.of(self),
                                directory.instances().stream()
                                        .filter(this::isReaderCandidate)
                                        .map(ListedInstance::id))
                        .distinct()
                        .toList();
        return Rendezvous.lowest("reader", entries, READERS_PER_DATA_CENTRE).contains(self);
    }

    private boolean isReaderCandidate(ListedInstance instance) {
        return instance.role() == ListedInstance.Role.ENTRY
                && instance.dataCentre().equals(dataCentre)
                && !directory.isLeaving(instance.id());
    }

    /** Updates the replica to the highest version of the peers while the table is down. */
    private void catchUpWithPeers() {
        Optional<PeerStatuses.Received> newest =
                statuses.notOlderThan(PEER_STATUS_TIMEOUT).stream()
                        .max(Comparator.comparing(peer -> peer.status().getConfigVersion()));
        if (newest.isEmpty() || newest.get().status().getConfigVersion() == 0) {
            return;
        }
        if (newest.get().status().getConfigVersion() > replica.version()) {
            request(newest.get().connection());
        } else {
            markReady("peer " + newest.get().connection().peer().instanceId());
        }
    }

    private void markReady(String source) {
        if (!ready) {
            ready = true;
            LOG.info("config: ready version={} source=\"{}\"", replica.version(), source);
            directory.agents().forEach(agent -> send(agent, replica.version(), true));
        }
    }

    private void onPeerStatus(FleetConnection connection, PeerStatus status) {
        if (status.getConfigVersion() > replica.version() && isDue(lastRequestTimes, connection)) {
            request(connection);
        }
    }

    private void request(FleetConnection connection) {
        connection.send(
                Frame.newBuilder()
                        .setStreamId(connection.nextStreamId())
                        .setConfigRequest(
                                ConfigRequest.newBuilder().setAfterVersion(replica.version()))
                        .build());
    }

    private void onLoadReport(FleetConnection connection, LoadReport report) {
        if (report.getConfigVersion() < replica.version() && isDue(lastUpdateTimes, connection)) {
            worker.execute(() -> send(connection, report.getConfigVersion(), true));
        }
    }

    private boolean isDue(Map<FleetConnection, Long> lastTimes, FleetConnection connection) {
        long now = clock.nanoTime();
        Long last = lastTimes.get(connection);
        if (last != null && now - last < REPEAT_INTERVAL.toNanos()) {
            return false;
        }
        lastTimes.put(connection, now);
        return true;
    }

    private void handleRequest(FleetConnection connection, ConfigRequest request) {
        // A response without changes is sent too: an agent becomes ready only with a response,
        // and in a new installation there are no changes.
        long version = replica.version();
        if (version > request.getAfterVersion() || ready && version == request.getAfterVersion()) {
            boolean targetsOnly =
                    request.getTargetsOnly() || connection.peer().role() != Role.ROLE_ENTRY;
            send(connection, request.getAfterVersion(), targetsOnly);
        }
    }

    private void send(FleetConnection connection, long afterVersion, boolean targetsOnly) {
        for (ConfigUpdate update : ConfigMessages.updates(replica, afterVersion, targetsOnly)) {
            connection.send(Frame.newBuilder().setConfigUpdate(update).build());
        }
    }

    private void handleUpdate(FleetConnection connection, ConfigUpdate update) {
        if (connection.peer().role() != Role.ROLE_ENTRY) {
            // Agents hold only a part of the documents.
            return;
        }
        Optional<ConfigReplica.Outcome> outcome = updates.receive(connection, update);
        if (outcome.equals(Optional.of(ConfigReplica.Outcome.APPLIED))) {
            onApplied(connection.peer().instanceId());
        } else if (outcome.equals(Optional.of(ConfigReplica.Outcome.GAP))) {
            request(connection);
        }
    }

    private void onApplied(String source) {
        ConfigState state = replica.state();
        LOG.info("config: in force version={} source={}", state.version(), source);
        if (!state.unreadable().isEmpty()) {
            LOG.error(
                    "config: documents not readable by this version of the program documents={}",
                    state.unreadable());
        }
        listeners.forEach(listener -> listener.accept(state.snapshot()));
        statuses.sendNow();
        directory.agents().forEach(agent -> sendNewest(agent, state.version()));
    }

    /** Sends the newest change; an agent that lacks older ones gets them after its next report. */
    private void sendNewest(FleetConnection agent, long version) {
        lastUpdateTimes.put(agent, clock.nanoTime());
        send(agent, version - 1, true);
    }

    private void removeConnection(FleetConnection connection) {
        lastRequestTimes.remove(connection);
        lastUpdateTimes.remove(connection);
        updates.removeConnection(connection);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
