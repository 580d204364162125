package org.fuchsiaspindle.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.serving.StopWindow;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.gateway.batch.JobCallHandler;
import org.fuchsiaspindle.gateway.batch.JobCleaner;
import org.fuchsiaspindle.gateway.batch.JobOwnership;
import org.fuchsiaspindle.gateway.batch.JobRelay;
import org.fuchsiaspindle.gateway.batch.JobRunner;
import org.fuchsiaspindle.gateway.batch.JobStore;
import org.fuchsiaspindle.gateway.batch.JobSubmissionHandler;
import org.fuchsiaspindle.gateway.batch.JobTable;
import org.fuchsiaspindle.gateway.limit.WorkspaceLimits;
import org.fuchsiaspindle.gateway.online.OnlineDispatcher;
import org.fuchsiaspindle.gateway.peer.PeerDiscovery;
import org.fuchsiaspindle.gateway.peer.PeerInfo;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.fuchsiaspindle.gateway.prompt.PromptGuard;
import org.fuchsiaspindle.gateway.slot.SlotClient;
import org.fuchsiaspindle.gateway.target.TargetFleet;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.gateway.view.TargetDirectory;
import org.fuchsiaspindle.gateway.watch.ConfigWatch;
import org.fuchsiaspindle.gateway.watch.MemberTable;
import org.fuchsiaspindle.gateway.watch.StoreHealth;
import org.fuchsiaspindle.gateway.watch.TargetWatch;
import org.fuchsiaspindle.platform.ingress.ClientServer;
import org.fuchsiaspindle.platform.ingress.StatusServer;
import org.fuchsiaspindle.platform.settings.ProcessSettings;
import org.fuchsiaspindle.platform.store.HttpStoreClient;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoreClock;
import org.fuchsiaspindle.wire.transport.EventLoops;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One gateway process; creates, starts and stops its components. */
public final class Gateway implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    /** Time until the platform's load balancer has detected that this process is not ready. */
    private static final Duration BALANCER_DELAY = Duration.ofMillis(2600);

    /** Time for sending the last answers before the process ends. */
    private static final Duration LAST_ANSWERS_TIME = Duration.ofMillis(100);

    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STOP_CHECK_INTERVAL = Duration.ofMillis(50);

    private final ProcessSettings settings;
    private final EventLoopGroup group = EventLoops.create(2);
    private final EventLoop requestLoop = group.next();
    private final EventLoop storeLoop = group.next();
    private final FleetViewHolder viewHolder = new FleetViewHolder();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final StoreHealth storeHealth = StoreHealth.create(Clock.system());
    private final StoreClock storeClock = StoreClock.create(Clock.system());
    private final StoreClient storeClient;
    private final PromptGuard promptGuard;
    private final WorkspaceLimits limits;
    private final TargetFleet fleet;
    private final SlotClient slots;
    private final PeerMesh mesh;
    private final OnlineDispatcher onlineDispatcher;
    private final MemberTable memberTable;
    private final JobTable jobTable;
    private final JobStore jobStore;
    private final JobOwner self;
    private Map<String, TargetInstance> appliedTargets = Map.of();
    private JobRunner runner;
    private JobOwnership ownership;
    private ClientServer clientServer;
    private volatile boolean stopping;
    private volatile Optional<StopWindow> stopWindow = Optional.empty();

    private Gateway(ProcessSettings settings, String incarnation) {
        this.settings = settings;
        this.storeClient = HttpStoreClient.create(storeLoop, settings.storeAddress(), storeClock);
        PeerMesh.Self peerSelf =
                new PeerMesh.Self(
                        settings.node(),
                        settings.ip(),
                        settings.firstPort(),
                        incarnation,
                        settings.dataCentre(),
                        settings.cpuCapacity());
        this.promptGuard = PromptGuard.create(requestLoop, metrics);
        this.limits = WorkspaceLimits.create(requestLoop, peerSelf, viewHolder, metrics);
        this.fleet = TargetFleet.create(requestLoop, promptGuard, metrics);
        this.slots =
                SlotClient.create(
                        requestLoop,
                        peerSelf,
                        metrics,
                        service ->
                                viewHolder
                                        .view()
                                        .config()
                                        .flatMap(config -> config.model(service)));
        this.mesh = PeerMesh.create(requestLoop, peerSelf, viewHolder, storeHealth, slots, metrics);
        this.onlineDispatcher =
                OnlineDispatcher.create(
                        requestLoop,
                        viewHolder,
                        fleet,
                        slots,
                        promptGuard,
                        limits,
                        metrics,
                        () -> stopWindow);
        this.memberTable = MemberTable.create(requestLoop, storeClient, settings.ip(), incarnation);
        this.jobTable = JobTable.create(requestLoop);
        this.jobStore = JobStore.on(storeClient);
        this.self = new JobOwner(settings.ip(), incarnation);
    }

    /**
     * Starts a gateway, and returns when its ports are open.
     *
     * @param settings the settings, not null
     * @param metricsPort the port that serves metrics besides the readiness address, if any
     * @param incarnation identifies this start of the process, different after each restart; not
     *     null
     * @throws FuchsiaspindleException with {@code INVALID_SETTING} if a required address is missing
     */
    public static Gateway start(
            ProcessSettings settings, OptionalInt metricsPort, String incarnation) {
        Gateway gateway =
                new Gateway(
                        checkNotNull(settings, "settings"),
                        checkNotNull(incarnation, "incarnation"));
        gateway.start();
        metricsPort.ifPresent(gateway::serveMetrics);
        return gateway;
    }

    private void start() {
        HostAndPort clientAddress = required(settings.clientAddress(), "listen.front");
        HostAndPort statusAddress = required(settings.readinessAddress(), "listen.readiness");
        slots.start(mesh, fleet);
        promptGuard.start(mesh);
        limits.start(mesh, PeerDiscovery.start(requestLoop, settings.ip(), memberTable, mesh));
        metrics.observeTargets(fleet::openTargets);
        metrics.observeItemMemory(() -> runner.itemBytes(), () -> runner.waitingJobCount());
        fleet.start(slots::reportSilence, slots::reportData, slots::reportRequestLimit);
        viewHolder.addListener(view -> requestLoop.execute(() -> apply(view.directory())));
        ConfigWatch.start(storeLoop, storeClient, storeHealth, viewHolder);
        TargetWatch.start(storeLoop, storeClient, storeHealth, viewHolder);
        runner =
                JobRunner.start(
                        new JobRunner.Dependencies(
                                requestLoop,
                                viewHolder,
                                fleet,
                                slots.batchDemands(),
                                promptGuard,
                                jobStore,
                                jobTable,
                                storeClock,
                                self,
                                metrics,
                                slots::timeSinceOnlineRequest,
                                settings.itemMemoryBytes()));
        ownership =
                JobOwnership.start(
                        requestLoop,
                        memberTable,
                        jobStore,
                        jobTable,
                        runner,
                        self,
                        owner -> mesh.isServing(owner.ip(), owner.incarnation()));
        JobCleaner.start(
                requestLoop,
                jobStore,
                jobTable,
                storeClock,
                settings.ip(),
                this::peersWithStore,
                settings.resultRetention());
        jobTable.start(storeLoop, storeClient, storeHealth);
        mesh.start(settings.peerIps());
        clientServer = ClientServer.create(requestLoop, () -> viewHolder.view().limits(), router());
        clientServer.listen(clientAddress);
        StatusServer.start(requestLoop, statusAddress, this::isReady, metrics::text);
        LOG.info(
                "gateway: started node={} ip={} zone={} incarnation={} store={}",
                settings.node(),
                settings.ip(),
                settings.dataCentre(),
                self.incarnation(),
                settings.storeAddress());
    }

    private List<String> peersWithStore() {
        return mesh.peers().stream()
                .filter(peer -> peer.storeReachable() && !peer.stopping())
                .map(PeerInfo::ip)
                .collect(Collectors.toList());
    }

    private void apply(TargetDirectory directory) {
        if (!directory.targets().equals(appliedTargets)) {
            appliedTargets = directory.targets();
            fleet.apply(directory);
            slots.apply(directory);
        }
    }

    private void serveMetrics(int port) {
        HostAndPort address = HostAndPort.fromParts(settings.ip(), port);
        StatusServer.start(requestLoop, address, this::isReady, metrics::text);
    }

    private RequestRouter router() {
        JobRelay relay =
                JobRelay.create(
                        requestLoop, mesh, settings.clientAddress().orElseThrow().getPort());
        JobSubmissionHandler submissionHandler =
                JobSubmissionHandler.create(
                        new JobSubmissionHandler.Dependencies(
                                requestLoop,
                                jobStore,
                                jobTable,
                                runner,
                                relay,
                                self,
                                storeClock,
                                storeHealth));
        JobCallHandler jobCallHandler =
                JobCallHandler.create(requestLoop, jobStore, jobTable, relay);
        return new RequestRouter(
                viewHolder,
                onlineDispatcher,
                submissionHandler,
                jobCallHandler,
                metrics,
                () -> stopWindow);
    }

    private static HostAndPort required(Optional<HostAndPort> address, String name) {
        return address.orElseThrow(
                () ->
                        new FuchsiaspindleException(
                                ResultCode.INVALID_SETTING, name + " is missing"));
    }

    /**
     * Returns whether the gateway accepts new clients: it has a configuration and is not stopping.
     */
    public boolean isReady() {
        return !stopping && viewHolder.view().config().isPresent();
    }

    /** Adds addresses of other gateways from changed settings; does not remove known ones. */
    public void addPeers(List<String> ips) {
        requestLoop.execute(() -> mesh.addPeers(ips));
    }

    /**
     * Stops the gateway gracefully.
     *
     * <p>It reports that it is not ready, releases its jobs to other gateways, and serves requests
     * until the load balancer has detected this and all connections are closed, or until the
     * platform's grace period is nearly over. Requests that then are still in progress are answered
     * as not executed, if that is certain, or as possibly executed.
     *
     * @return a future that completes when the process may end
     */
    public CompletableFuture<Void> stop() {
        stopping = true;
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        StopWindow window =
                StopWindow.begin(
                        System.nanoTime(),
                        settings.stopGrace(),
                        settings.cpuCapacity(),
                        BALANCER_DELAY);
        stopWindow = Optional.of(window);
        requestLoop.execute(
                () -> {
                    LOG.info("gateway: stopping jobs={}", runner.ownedJobCount());
                    clientServer.drain();
                    mesh.announceStop();
                    ownership.stop();
                    runner.releaseJobs();
                    requestLoop.schedule(
                            () -> finishStop(window, stopped),
                            BALANCER_DELAY.toMillis(),
                            TimeUnit.MILLISECONDS);
                });
        return stopped;
    }

    /** Closes the gateway at once; requests in progress get no response. */
    @Override
    public void close() {
        stopping = true;
        group.shutdownGracefully(0, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    private void finishStop(StopWindow window, CompletableFuture<Void> stopped) {
        clientServer.closeIdle();
        if (clientServer.openConnections() == 0) {
            completeStop(window, stopped);
        } else if (!window.hasTimeFor(System.nanoTime(), STOP_CHECK_INTERVAL)) {
            clientServer.answerOpenRequests();
            requestLoop.schedule(
                    () -> completeStop(window, stopped),
                    LAST_ANSWERS_TIME.toMillis(),
                    TimeUnit.MILLISECONDS);
        } else {
            requestLoop.schedule(
                    () -> finishStop(window, stopped),
                    STOP_CHECK_INTERVAL.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private static void completeStop(StopWindow window, CompletableFuture<Void> stopped) {
        Duration elapsed = Duration.ofNanos(System.nanoTime() - window.beginNanos());
        LOG.info("gateway: stopped after={}ms", elapsed.toMillis());
        stopped.complete(null);
    }
}
