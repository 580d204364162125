package org.fuchsiaspindle.daemon.entry.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.config.ModelDefinition;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.placement.EngineState;
import org.fuchsiaspindle.core.placement.PlacementInput;
import org.fuchsiaspindle.core.placement.PlacementOrder;
import org.fuchsiaspindle.core.placement.PlacementOrder.Action;
import org.fuchsiaspindle.core.placement.PlacementPlanner;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.Order;
import org.fuchsiaspindle.wire.proto.OrderResult;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans placement and issues its orders while this entry holds the placement lease.
 *
 * <p>Orders are recorded in the lease row before they are sent. {@link #tick} is called from one
 * thread; messages may arrive on others.
 */
public final class PlacementComponent {

    private static final Logger LOG = LoggerFactory.getLogger(PlacementComponent.class);

    /**
     * An order that is neither done nor refused within this time is abandoned and planned again.
     */
    static final Duration ORDER_TIMEOUT = Duration.ofMinutes(2);

    /**
     * An order is sent again at this interval until its effect is reported; orders are idempotent.
     */
    static final Duration RESEND_INTERVAL = Duration.ofSeconds(10);

    /** Fraction of an engine's capacity that planned demand may use. */
    private static final double TARGET_UTILIZATION = 0.7;

    private final String self;
    private final ConfigSource config;
    private final FleetDirectory directory;
    private final LoadReports reports;
    private final Clock clock;
    private final BooleanSupplier isCandidate;
    private final PlacementLease lease;
    private final PlacementPlanner planner;
    private final Map<String, OrderResult> results = new ConcurrentHashMap<>();
    private final Map<String, Long> firstSeen = new HashMap<>();
    private final Map<String, Long> lastSentNanos = new HashMap<>();

    private PlacementComponent(
            String self,
            TableService table,
            ConfigSource config,
            FleetDirectory directory,
            LoadReports reports,
            Clock clock,
            RandomGenerator random,
            BooleanSupplier isCandidate) {
        this.self = self;
        this.config = config;
        this.directory = directory;
        this.reports = reports;
        this.clock = clock;
        this.isCandidate = isCandidate;
        this.lease = new PlacementLease(table, clock, random, self);
        this.planner = PlacementPlanner.create(random);
    }

    /**
     * Creates the component.
     *
     * @param self identifier of this instance
     * @param table the table service
     * @param config the configuration in force
     * @param directory the other processes
     * @param dispatcher delivers the agents' order results
     * @param reports the agents' load reports
     * @param clock the clock
     * @param random the random source
     * @param isCandidate returns true if this entry may hold the lease; only a few entries per data
     *     centre should, because each candidate reads the lease row
     */
    public static PlacementComponent create(
            String self,
            TableService table,
            ConfigSource config,
            FleetDirectory directory,
            FrameDispatcher dispatcher,
            LoadReports reports,
            Clock clock,
            RandomGenerator random,
            BooleanSupplier isCandidate) {
        PlacementComponent component =
                new PlacementComponent(
                        checkNotNull(self, "self"),
                        table,
                        config,
                        directory,
                        reports,
                        clock,
                        random,
                        isCandidate);
        dispatcher.register(Frame.BodyCase.ORDER_RESULT, component::receiveResult);
        return component;
    }

    /** Runs one planning round; blocks while it uses the table. */
    public void tick() {
        try {
            if (lease.current().isEmpty()) {
                if (isCandidate.getAsBoolean()) {
                    lease.tryAcquire();
                    lease.current().ifPresent(this::logAcquired);
                }
                return;
            }
            runRound(lease.current().orElseThrow());
        } catch (FuchsiaspindleException e) {
            LOG.warn(
                    "place: planning round failed code={} reason=\"{}\"",
                    e.code().number(),
                    e.getMessage());
        }
    }

    /** Returns the open orders; empty if this entry does not hold the lease. */
    public ImmutableList<PlacementOrder> openOrders() {
        return lease.current().map(PlacementRecord::openOrders).orElse(ImmutableList.of());
    }

    private void logAcquired(PlacementRecord record) {
        firstSeen.clear();
        lastSentNanos.clear();
        LOG.info(
                "place: lease acquired holder={} epoch={} inherited_orders={}",
                self,
                record.epoch(),
                record.openOrders().size());
    }

    private void runRound(PlacementRecord record) {
        List<PlacementOrder> open = new ArrayList<>();
        for (PlacementOrder order : record.openOrders()) {
            if (!trySettle(order)) {
                open.add(order);
            }
        }
        ConfigSnapshot snapshot = config.current();
        ImmutableList<EngineState> engines = engines();
        ImmutableList<PlacementOrder> planned =
                engines.isEmpty() ? ImmutableList.of() : plan(snapshot, engines, open);
        open.addAll(planned);
        ImmutableList<PlacementOrder> next = ImmutableList.copyOf(open);
        if (!next.equals(record.openOrders()) || lease.isRenewalDue()) {
            if (!lease.update(next)) {
                LOG.warn("place: lease lost holder={} epoch={}", self, record.epoch());
                return;
            }
        }
        for (PlacementOrder order : planned) {
            LOG.info(
                    "place: order planned id={} agent={} action={} model={} version={} reason={}",
                    order.id(),
                    order.agentId(),
                    order.action(),
                    order.model(),
                    order.version(),
                    order.reason());
        }
        next.forEach(order -> sendIfDue(order, record.epoch()));
    }

    private ImmutableList<PlacementOrder> plan(
            ConfigSnapshot snapshot,
            ImmutableList<EngineState> engines,
            List<PlacementOrder> open) {
        return planner.plan(
                new PlacementInput(
                        modelsToServe(snapshot),
                        engines,
                        requiredCopies(engines),
                        ImmutableList.copyOf(open),
                        snapshot.settings().maxConcurrentLoads(),
                        clock.nanoTime()));
    }

    /**
     * Returns the models with their minimum of copies, which is at least 1 if a contract allows the
     * model, so that the model is ready before its first request.
     */
    private static ImmutableMap<String, ModelDefinition> modelsToServe(ConfigSnapshot snapshot) {
        ImmutableMap.Builder<String, ModelDefinition> models = ImmutableMap.builder();
        for (ModelDefinition model : snapshot.models().values()) {
            boolean allowed =
                    snapshot.contracts().values().stream()
                            .map(Contract::models)
                            .anyMatch(names -> names.contains(model.name()));
            int minimum =
                    allowed
                            ? Math.min(Math.max(1, model.minCopies()), model.maxCopies())
                            : model.minCopies();
            models.put(
                    model.name(),
                    new ModelDefinition(model.name(), model.version(), minimum, model.maxCopies()));
        }
        return models.buildOrThrow();
    }

    private boolean trySettle(PlacementOrder order) {
        long firstSeenNanos = firstSeen.computeIfAbsent(order.id(), id -> clock.nanoTime());
        Optional<EngineState> engine = engine(order.agentId());
        boolean shouldBeReady = order.action() == Action.LOAD;
        boolean done =
                engine.isPresent()
                        && engine.get().hasReady(order.model(), order.version()) == shouldBeReady;
        OrderResult result = results.remove(order.id());
        boolean refused = result != null && !result.getAccepted();
        boolean expired = clock.nanoTime() - firstSeenNanos >= ORDER_TIMEOUT.toNanos();
        if (!done && !refused && !expired) {
            return false;
        }
        firstSeen.remove(order.id());
        lastSentNanos.remove(order.id());
        LOG.info(
                "place: order settled id={} agent={} outcome={} code={}",
                order.id(),
                order.agentId(),
                done ? "done" : refused ? "refused" : "expired",
                result == null ? 0 : result.getCode());
        return true;
    }

    private void sendIfDue(PlacementOrder order, long epoch) {
        long now = clock.nanoTime();
        Long sentNanos = lastSentNanos.get(order.id());
        if (sentNanos != null && now - sentNanos < RESEND_INTERVAL.toNanos()) {
            return;
        }
        Optional<FleetConnection> connection = directory.connectionTo(order.agentId());
        if (connection.isEmpty()) {
            return;
        }
        Order message =
                Order.newBuilder()
                        .setFencingNumber(epoch)
                        .setOrderId(order.id())
                        .setAction(order.action().name().toLowerCase(Locale.ROOT))
                        .setModel(order.model())
                        .setVersion(order.version())
                        .build();
        if (connection.get().send(Frame.newBuilder().setOrder(message).build())) {
            lastSentNanos.put(order.id(), now);
        }
    }

    private void receiveResult(FleetConnection connection, Frame frame) {
        OrderResult result = frame.getOrderResult();
        // Results of orders that are no longer open are dropped.
        if (openOrderIds().contains(result.getOrderId())) {
            results.put(result.getOrderId(), result);
        }
    }

    private List<String> openOrderIds() {
        PlacementRecord record = lease.current().orElse(null);
        return record == null
                ? List.of()
                : record.openOrders().stream().map(PlacementOrder::id).toList();
    }

    private ImmutableList<EngineState> engines() {
        return reports.all().stream()
                .filter(received -> !received.report().getService())
                .map(this::engineState)
                .collect(ImmutableList.toImmutableList());
    }

    private Optional<EngineState> engine(String agentId) {
        return reports.of(agentId)
                .filter(received -> !received.report().getService())
                .map(this::engineState);
    }

    private EngineState engineState(LoadReports.Received received) {
        LoadReport report = received.report();
        String agentId = received.connection().peer().instanceId();
        ImmutableMap.Builder<String, String> versions = ImmutableMap.builder();
        for (int i = 0; i < report.getModelsCount(); i++) {
            String version = i < report.getModelVersionsCount() ? report.getModelVersions(i) : "";
            versions.put(report.getModels(i), version);
        }
        return new EngineState(
                agentId,
                received.connection().peer().dataCentre(),
                versions.buildKeepingLast(),
                report.getOnlineRunning() + report.getBatchRunning(),
                report.getLeaving() || directory.isLeaving(agentId));
    }

    /**
     * Returns the copies that each model needs, attributing each engine's online load evenly to its
     * models.
     */
    private ImmutableMap<String, Double> requiredCopies(List<EngineState> engines) {
        Map<String, Double> demand = new HashMap<>();
        for (EngineState engine : engines) {
            LoadReport report =
                    reports.of(engine.agentId())
                            .map(LoadReports.Received::report)
                            .orElse(LoadReport.getDefaultInstance());
            double load = report.getOnlineRunning() + report.getOnlineWaiting();
            double copies = load / Math.max(1, report.getCapacity()) / TARGET_UTILIZATION;
            for (String model : engine.readyVersions().keySet()) {
                demand.merge(model, copies / engine.readyVersions().size(), Double::sum);
            }
        }
        return ImmutableMap.copyOf(demand);
    }
}
