package org.fuchsiaspindle.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.collect.ImmutableMap;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.daemon.admin.AdminApi;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.entry.batch.BatchComponent;
import org.fuchsiaspindle.daemon.entry.batch.BatchContext;
import org.fuchsiaspindle.daemon.entry.batch.TableJobDirectory;
import org.fuchsiaspindle.daemon.entry.dispatch.Dispatcher;
import org.fuchsiaspindle.daemon.entry.dispatch.RoutingOrigin;
import org.fuchsiaspindle.daemon.entry.http.CompletionsEndpoint;
import org.fuchsiaspindle.daemon.entry.http.ModelsEndpoint;
import org.fuchsiaspindle.daemon.entry.http.OnlineApi;
import org.fuchsiaspindle.daemon.entry.http.RequestGate;
import org.fuchsiaspindle.daemon.entry.http.ServicesEndpoint;
import org.fuchsiaspindle.daemon.entry.http.SlowCallers;
import org.fuchsiaspindle.daemon.entry.idempotency.EntryIdentity;
import org.fuchsiaspindle.daemon.entry.idempotency.IdempotentCalls;
import org.fuchsiaspindle.daemon.entry.limit.CustomerLimits;
import org.fuchsiaspindle.daemon.entry.limit.LimitView;
import org.fuchsiaspindle.daemon.entry.limit.SharedCustomerLimits;
import org.fuchsiaspindle.daemon.entry.metrics.EntryMetrics;
import org.fuchsiaspindle.daemon.entry.placement.PlacementCandidates;
import org.fuchsiaspindle.daemon.entry.placement.PlacementComponent;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.daemon.fleet.Membership;
import org.fuchsiaspindle.daemon.http.ApiServer;
import org.fuchsiaspindle.daemon.http.HttpEndpoint;
import org.fuchsiaspindle.daemon.metrics.ManagementServer;
import org.fuchsiaspindle.daemon.settings.EntrySettings;
import org.fuchsiaspindle.daemon.settings.ProcessSettings;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.store.BlockingStore;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetIdentity;
import org.fuchsiaspindle.wire.transport.FleetTransport;
import org.fuchsiaspindle.wire.transport.Peer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running entry, which creates, connects and closes its components. Thread-safe.
 *
 * <p>Each component has one factory method. Components are started in the order of the constructor
 * and closed in reverse order.
 */
public final class EntryDaemon {

    private static final Logger LOG = LoggerFactory.getLogger(EntryDaemon.class);
    private static final int FLEET_IO_THREADS = 2;
    private static final int HTTP_IO_THREADS = 2;

    /**
     * The server rejects larger bodies without an error object, so the endpoints enforce lower
     * limits of their own.
     */
    private static final long MAX_ENTITY_BYTES = 512L * 1024 * 1024;

    private static final Duration CONFIGURATION_TIMEOUT = Duration.ofSeconds(10);

    /** Lets an entry start within 1.5 s even if no target is reachable. */
    private static final Duration TARGETS_TIMEOUT = Duration.ofMillis(500);

    private static final long START_POLL_INTERVAL_MS = 10;
    private static final long PLACEMENT_INTERVAL_MS = 1000;

    private final EntrySettings settings;
    private final EntryPlatform platform;
    private final Optional<ConfigSource> fixedConfig;
    private final SecureRandom random = new SecureRandom();
    private final String incarnation = Ids.create("", random);
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final AtomicBoolean ready = new AtomicBoolean();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final EntryMetrics metrics = EntryMetrics.create(registry);
    private final RequestGate gate = RequestGate.create(metrics);
    private final FrameDispatcher frames = FrameDispatcher.create();
    private final Deque<Component> components = new ArrayDeque<>();
    private LoadReports reports;
    private Dispatcher dispatcher;
    private ManagementServer management;
    private ApiServer api;

    private EntryDaemon(
            EntrySettings settings, EntryPlatform platform, Optional<ConfigSource> fixedConfig) {
        this.fixedConfig = checkNotNull(fixedConfig, "fixedConfig");
        this.settings = checkNotNull(settings, "settings");
        this.platform = checkNotNull(platform, "platform");
    }

    /**
     * Starts the process's components; if one fails to start, the others are closed.
     *
     * @param settings the validated settings
     */
    public static EntryDaemon start(EntrySettings settings) {
        BlockingStore store = BlockingStore.connect(settings.process().storeAddress());
        EntryDaemon daemon = new EntryDaemon(settings, EntryPlatform.on(store), Optional.empty());
        daemon.closeOnStop(store, BlockingStore::close);
        return startOrClose(daemon);
    }

    /**
     * Starts the process's components on a given platform; if one fails to start, the others are
     * closed.
     *
     * @param settings the validated settings
     * @param platform the external services
     * @param fixedConfig the configuration to use instead of the one in the table
     */
    static EntryDaemon start(
            EntrySettings settings, EntryPlatform platform, Optional<ConfigSource> fixedConfig) {
        return startOrClose(new EntryDaemon(settings, platform, fixedConfig));
    }

    private static EntryDaemon startOrClose(EntryDaemon daemon) {
        try {
            daemon.startComponents();
        } catch (RuntimeException e) {
            daemon.closeComponents();
            throw e;
        }
        return daemon;
    }

    /** Returns the bound address for callers and operators. */
    public InetSocketAddress httpAddress() {
        return api.address();
    }

    /** Returns the bound address for liveness, readiness and metrics. */
    public InetSocketAddress managementAddress() {
        return management.address();
    }

    /** Returns the number of targets that requests can be routed to. */
    long usableTargets() {
        return dispatcher.usableTargets();
    }

    /**
     * Stops gracefully: ends readiness, waits for the load balancer, refuses new requests, waits
     * until the running ones have finished or the grace time has passed, then closes all
     * components. Has no effect when called again.
     */
    public void stop() {
        if (!stopped.compareAndSet(false, true)) {
            return;
        }
        ready.set(false);
        LOG.info(
                "http: planned stop started balancer_delay_ms={}",
                settings.balancerDelay().toMillis());
        sleep(settings.balancerDelay().toMillis());
        gate.close();
        if (!gate.awaitEmpty(settings.process().grace())) {
            LOG.warn("http: grace time expired, running requests aborted n={}", gate.running());
        }
        closeComponents();
    }

    private void startComponents() {
        FleetTransport transport = closeOnStop(transport(), FleetTransport::close);
        reports = LoadReports.create(frames, platform.clock());
        Membership membership = membership(transport);
        ControlPlane control = closeOnStop(controlPlane(membership), ControlPlane::close);
        ConfigSource config = fixedConfig.orElse(control.config());
        CustomerLimits limits = limits(membership, control, config);
        CallerAuthentication authentication = authentication(config);
        dispatcher = dispatcher(membership);
        metrics.gauge("running", "Requests that are being answered.", gate::running);
        metrics.gauge("usable_targets", "Targets of the entry's views.", dispatcher::usableTargets);
        OnlineApi online =
                OnlineApi.create(
                        authentication,
                        config,
                        limits,
                        dispatcher,
                        idempotentCalls(membership),
                        closeOnStop(SlowCallers.start(platform.clock()), SlowCallers::close),
                        metrics,
                        platform.clock(),
                        settings.maxBodyBytes());
        transport.listen(settings.process().fleetListen(), frames);
        control.start();
        awaitConfiguration(control);
        BatchComponent batch =
                closeOnStop(
                        batch(membership, control, config, authentication), BatchComponent::stop);
        startPlacement(membership, config);
        AdminApi admin = control.adminApi(authentication, reports, platform.clock(), random);
        admin.setJobOperations(batch.operations());
        admin.setExplanationLookup(
                id -> RouteExplanation.of(dispatcher.recentDecisions().forRequest(id)));
        management = closeOnStop(management(), ManagementServer::close);
        api = closeOnStop(api(endpoints(online, batch, admin)), ApiServer::close);
        awaitTargets(membership);
        ready.set(true);
        LOG.info("http: ready address={}", api.address());
    }

    private ControlPlane controlPlane(Membership membership) {
        return new ControlPlane(settings.process(), platform, frames, membership, reports, random);
    }

    /**
     * Waits for the configuration. Without one the start fails, because the entry would refuse
     * every caller.
     */
    private void awaitConfiguration(ControlPlane control) {
        if (fixedConfig.isPresent()) {
            return;
        }
        long deadlineNanos = platform.clock().nanoTime() + CONFIGURATION_TIMEOUT.toNanos();
        while (!control.config().isReady()) {
            if (platform.clock().nanoTime() >= deadlineNanos) {
                throw new FuchsiaspindleException(
                        ResultCode.STARTUP_TABLE_UNREACHABLE,
                        "neither the table service at "
                                + settings.process().storeAddress()
                                + " nor a peer responded within "
                                + CONFIGURATION_TIMEOUT.toSeconds()
                                + " s");
            }
            sleep(START_POLL_INTERVAL_MS);
        }
    }

    /**
     * Waits for the first target, because an entry that is ready earlier refuses its first
     * requests.
     */
    private void awaitTargets(Membership membership) {
        long deadlineNanos = platform.clock().nanoTime() + TARGETS_TIMEOUT.toNanos();
        while (dispatcher.usableTargets() == 0
                && !(membership.isListKnown() && listsNoAgent(membership))
                && platform.clock().nanoTime() < deadlineNanos) {
            sleep(START_POLL_INTERVAL_MS);
        }
    }

    private static boolean listsNoAgent(Membership membership) {
        return membership.instances().stream()
                .noneMatch(instance -> instance.role() == ListedInstance.Role.AGENT);
    }

    private BatchComponent batch(
            Membership membership,
            ControlPlane control,
            ConfigSource config,
            CallerAuthentication authentication) {
        return BatchComponent.start(
                new BatchContext(
                        settings.process().instanceId(),
                        incarnation,
                        platform.table(),
                        platform.objects(),
                        membership,
                        frames,
                        reports,
                        new PeerTableOutage(control.statuses()),
                        config,
                        authentication,
                        platform.clock(),
                        random,
                        registry),
                table ->
                        control.sharedDirectory(TableJobDirectory.create(table, platform.clock())));
    }

    private void startPlacement(Membership membership, ConfigSource config) {
        String self = settings.process().instanceId();
        PlacementComponent placement =
                PlacementComponent.create(
                        self,
                        platform.table(),
                        config,
                        membership,
                        frames,
                        reports,
                        platform.clock(),
                        random,
                        () -> PlacementCandidates.contains(membership.instances(), self));
        ScheduledExecutorService timer =
                closeOnStop(
                        Executors.newSingleThreadScheduledExecutor(
                                Thread.ofPlatform().daemon().name("placement").factory()),
                        ScheduledExecutorService::shutdownNow);
        timer.scheduleWithFixedDelay(
                placement::tick, PLACEMENT_INTERVAL_MS, PLACEMENT_INTERVAL_MS, MILLISECONDS);
    }

    private FleetTransport transport() {
        return FleetTransport.create(
                FleetIdentity.of(self(), settings.process().fleetSecret()), FLEET_IO_THREADS);
    }

    private Peer self() {
        ProcessSettings process = settings.process();
        return new Peer(
                process.instanceId(), incarnation, Role.ROLE_ENTRY, process.dataCentre(), "");
    }

    private Membership membership(FleetTransport transport) {
        Membership membership =
                Membership.create(
                        self(),
                        platform.instances(),
                        transport::connect,
                        frames,
                        platform.clock(),
                        random,
                        settings.process().seeds());
        closeOnStop(membership, Membership::close);
        return membership;
    }

    private CustomerLimits limits(
            Membership membership, ControlPlane control, ConfigSource config) {
        ProcessSettings process = settings.process();
        LimitView view =
                LimitView.create(
                        process.instanceId(),
                        process.dataCentre(),
                        membership,
                        control.statuses(),
                        platform.clock());
        SharedCustomerLimits limits =
                closeOnStop(
                        SharedCustomerLimits.create(
                                process.instanceId(),
                                config,
                                membership,
                                view,
                                frames,
                                platform.clock()),
                        SharedCustomerLimits::close);
        membership.setAdditionalPeers(limits::neededPeers);
        limits.start();
        return limits;
    }

    private CallerAuthentication authentication(ConfigSource config) {
        return CallerAuthentication.create(config, settings.bootstrapOperatorKeySha256());
    }

    private Dispatcher dispatcher(FleetDirectory directory) {
        ProcessSettings process = settings.process();
        return Dispatcher.create(
                frames,
                directory,
                reports,
                metrics,
                platform.clock(),
                new RoutingOrigin(process.instanceId(), process.dataCentre(), process.region()));
    }

    private IdempotentCalls idempotentCalls(FleetDirectory directory) {
        return closeOnStop(
                IdempotentCalls.create(
                        platform.table(),
                        platform.objects(),
                        directory,
                        new EntryIdentity(settings.process().instanceId(), incarnation),
                        platform.clock(),
                        random),
                IdempotentCalls::close);
    }

    private ManagementServer management() {
        return ManagementServer.start(settings.process().managementListen(), registry, ready::get);
    }

    private static Map<String, HttpEndpoint> endpoints(
            OnlineApi online, BatchComponent batch, AdminApi admin) {
        return ImmutableMap.<String, HttpEndpoint>builder()
                .put("/v1/models", ModelsEndpoint.create(online))
                .put("/v1/chat/completions", CompletionsEndpoint.chat(online))
                .put("/v1/completions", CompletionsEndpoint.text(online))
                .put("/services", ServicesEndpoint.create(online))
                .put("/admin/v1", admin)
                .putAll(batch.endpoints())
                .buildOrThrow();
    }

    private ApiServer api(Map<String, HttpEndpoint> endpoints) {
        ImmutableMap.Builder<String, HttpEndpoint> gatedEndpoints = ImmutableMap.builder();
        endpoints.forEach(
                (prefix, endpoint) ->
                        gatedEndpoints.put(prefix, gate.guard(endpoint, settings.maxBodyBytes())));
        return ApiServer.start(
                settings.httpListen(),
                MAX_ENTITY_BYTES,
                HTTP_IO_THREADS,
                gatedEndpoints.buildOrThrow());
    }

    private <T> T closeOnStop(T component, Consumer<T> closer) {
        components.push(() -> closer.accept(component));
        return component;
    }

    private void closeComponents() {
        while (!components.isEmpty()) {
            try {
                components.pop().close();
            } catch (RuntimeException e) {
                LOG.warn("http: cannot close a component", e);
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
