package org.fuchsiaspindle.daemon.agent;

import static com.google.common.base.Preconditions.checkNotNull;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.admission.AdmissionPolicy;
import org.fuchsiaspindle.core.admission.AdmissionScheduler;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.fleet.AgentConfig;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.metrics.ManagementServer;
import org.fuchsiaspindle.daemon.settings.AgentSettings;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;
import org.fuchsiaspindle.platform.instance.StoreInstances;
import org.fuchsiaspindle.platform.store.BlockingStore;
import org.fuchsiaspindle.platform.table.StoreTable;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Leaving;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetIdentity;
import org.fuchsiaspindle.wire.transport.FleetTransport;
import org.fuchsiaspindle.wire.transport.Peer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running agent. Thread-safe. */
public final class AgentDaemon {

    private static final Logger LOG = LoggerFactory.getLogger(AgentDaemon.class);

    /** Time for the send queues to drain before the connections are closed. */
    private static final Duration FLUSH_TIME = Duration.ofMillis(100);

    private final AgentSettings settings;
    private final AgentLoop loop;
    private final TargetClient client;
    private final FleetTransport transport;
    private final ConfigSource config;
    private final AdmissionController admission;
    private final AgentMetrics metrics;
    private final CountDownLatch idle = new CountDownLatch(1);
    private InetSocketAddress fleetAddress;
    private ManagementServer management;
    private volatile boolean leaving;
    private volatile Runnable onClose = () -> {};

    private AgentDaemon(AgentSettings settings, AgentPlatform platform, AgentTiming timing) {
        this.settings = settings;
        boolean engine = settings.targetKind() == TargetKind.ENGINE;
        PrometheusRegistry registry = new PrometheusRegistry();
        metrics = AgentMetrics.create(registry);
        loop = AgentLoop.start(platform.clock());
        client = TargetClient.create(settings.targetUrl());
        transport = FleetTransport.create(identity(settings), 1);
        FrameDispatcher dispatcher = FrameDispatcher.create();
        config = config(platform, dispatcher);
        admission =
                AdmissionController.create(
                        AdmissionScheduler.create(
                                policy(config.current()), platform.clock().nanoTime()),
                        client,
                        loop,
                        platform.clock(),
                        timing,
                        metrics);
        TargetMonitor monitor = new TargetMonitor(client, loop, timing, admission, engine);
        LoadReporter reporter =
                new LoadReporter(
                        admission, monitor, config, loop, platform.clock(), metrics, !engine);
        OrderHandler orders =
                new OrderHandler(platform.table(), client, loop, monitor, reporter, engine);
        register(dispatcher, orders);
        try {
            management =
                    ManagementServer.start(
                            settings.process().managementListen(),
                            registry,
                            () -> !leaving && admission.isTargetUp());
            fleetAddress = transport.listen(settings.process().fleetListen(), dispatcher);
        } catch (RuntimeException e) {
            close();
            throw e;
        }
        loop.onPause(admission::onPause);
        loop.execute(
                () -> {
                    reporter.start();
                    monitor.start();
                    orders.start();
                    admission.onIdle(idle::countDown);
                });
        new LeavingMonitor(
                        platform.instances(),
                        settings.process().instanceId(),
                        loop,
                        this::beginLeaving)
                .start();
    }

    /**
     * Starts an agent on the store named in its settings; no component is left running if one
     * fails.
     *
     * @param settings the validated settings
     */
    public static AgentDaemon start(AgentSettings settings) {
        BlockingStore store = BlockingStore.connect(settings.process().storeAddress());
        AgentPlatform platform =
                new AgentPlatform(
                        StoreTable.on(store),
                        StoreInstances.on(store),
                        Optional.empty(),
                        Clock.system());
        Runnable closePlatform = store::close;
        try {
            AgentDaemon daemon = start(settings, platform);
            daemon.onClose = closePlatform;
            return daemon;
        } catch (RuntimeException e) {
            closePlatform.run();
            throw e;
        }
    }

    /**
     * Starts an agent with the given platform services.
     *
     * @param settings the validated settings
     * @param platform the platform services, not null
     */
    public static AgentDaemon start(AgentSettings settings, AgentPlatform platform) {
        return start(settings, platform, AgentTiming.DEFAULT);
    }

    static AgentDaemon start(AgentSettings settings, AgentPlatform platform, AgentTiming timing) {
        AgentDaemon daemon =
                new AgentDaemon(
                        checkNotNull(settings, "settings"),
                        checkNotNull(platform, "platform"),
                        checkNotNull(timing, "timing"));
        LOG.info(
                "agent: started instance={} target={} kind={} fleet={}",
                settings.process().instanceId(),
                settings.targetName(),
                settings.targetKind(),
                daemon.fleetAddress);
        return daemon;
    }

    /** Returns the bound address for other processes. */
    public InetSocketAddress fleetAddress() {
        return fleetAddress;
    }

    /** Returns the bound address of the management server. */
    public InetSocketAddress managementAddress() {
        return management.address();
    }

    AgentMetrics metrics() {
        return metrics;
    }

    /** Stops gracefully: completes or returns accepted work, then releases all resources. */
    public void stop() {
        loop.execute(this::beginLeaving);
        try {
            if (!idle.await(settings.process().grace().toMillis(), TimeUnit.MILLISECONDS)) {
                loop.execute(admission::abortAll);
            }
            TimeUnit.MILLISECONDS.sleep(FLUSH_TIME.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
        LOG.info("agent: stopped instance={}", settings.process().instanceId());
    }

    private void close() {
        if (management != null) {
            management.close();
        }
        loop.close();
        transport.close();
        client.close();
        if (config instanceof AgentConfig received) {
            received.close();
        }
        onClose.run();
    }

    private void beginLeaving() {
        if (leaving) {
            return;
        }
        leaving = true;
        LOG.info("agent: leaving instance={}", settings.process().instanceId());
        Frame message =
                Frame.newBuilder()
                        .setLeaving(
                                Leaving.newBuilder()
                                        .setGraceMs(settings.process().grace().toMillis()))
                        .build();
        admission.peers().forEach(peer -> peer.connection().send(message));
        admission.leave();
    }

    private ConfigSource config(AgentPlatform platform, FrameDispatcher dispatcher) {
        if (platform.config().isPresent()) {
            return platform.config().get();
        }
        AgentConfig config = AgentConfig.create(dispatcher);
        config.onChange(snapshot -> loop.execute(() -> admission.apply(policy(snapshot))));
        return config;
    }

    private AdmissionPolicy policy(ConfigSnapshot snapshot) {
        return settings.targetKind() == TargetKind.ENGINE
                ? AdmissionPolicy.forEngine(snapshot.settings())
                : AdmissionPolicy.forService(snapshot.settings());
    }

    private void register(FrameDispatcher dispatcher, OrderHandler orders) {
        dispatcher.onOpened(
                connection -> loop.execute(() -> admission.connectionOpened(connection)));
        dispatcher.onClosed(
                connection -> loop.execute(() -> admission.connectionClosed(connection)));
        dispatcher.register(
                Frame.BodyCase.EXECUTE,
                (connection, frame) -> loop.execute(() -> admission.execute(connection, frame)));
        dispatcher.register(
                Frame.BodyCase.CANCEL,
                (connection, frame) ->
                        loop.execute(() -> admission.cancel(connection, frame.getStreamId())));
        dispatcher.register(
                Frame.BodyCase.WINDOW,
                (connection, frame) ->
                        loop.execute(
                                () ->
                                        admission.grantWindow(
                                                connection,
                                                frame.getStreamId(),
                                                frame.getWindow().getBytes())));
        dispatcher.register(
                Frame.BodyCase.BATCH_ITEMS,
                (connection, frame) ->
                        loop.execute(
                                () ->
                                        admission.acceptBatchItems(
                                                connection, frame.getBatchItems().getItemsList())));
        dispatcher.register(
                Frame.BodyCase.BATCH_CANCEL,
                (connection, frame) ->
                        loop.execute(
                                () ->
                                        admission.cancelBatchItems(
                                                connection, frame.getBatchCancel().getJobId())));
        dispatcher.register(
                Frame.BodyCase.ORDER,
                (connection, frame) ->
                        loop.execute(
                                () ->
                                        orders.handle(
                                                connection,
                                                frame.getStreamId(),
                                                frame.getOrder())));
    }

    private static FleetIdentity identity(AgentSettings settings) {
        return FleetIdentity.of(
                new Peer(
                        settings.process().instanceId(),
                        Ids.create("inc-", new SecureRandom()),
                        Role.ROLE_AGENT,
                        settings.process().dataCentre(),
                        settings.targetName()),
                settings.process().fleetSecret());
    }
}
