package org.fuchsiaspindle.daemon.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.config.ConfigReplica;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.wire.proto.ConfigRequest;
import org.fuchsiaspindle.wire.proto.ConfigUpdate;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration of an agent: the documents that concern targets, as the connected entries send
 * them.
 *
 * <p>Thread-safe. The entries see the agent's version in its load reports and send the missing
 * changes.
 */
public final class AgentConfig implements ConfigSource, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(AgentConfig.class);

    private final ConfigReplica replica = ConfigReplica.create();
    private final ConfigUpdateAssembler updates = new ConfigUpdateAssembler(replica);
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final ExecutorService worker =
            Executors.newSingleThreadExecutor(Thread.ofVirtual().name("config").factory());

    private volatile boolean ready;

    private AgentConfig() {}

    /**
     * Creates a configuration at version 0.
     *
     * @param dispatcher delivers the {@code ConfigUpdate} messages
     */
    public static AgentConfig create(FrameDispatcher dispatcher) {
        AgentConfig config = new AgentConfig();
        dispatcher.register(Frame.BodyCase.CONFIG_UPDATE, config::receive);
        dispatcher.onOpened(config::request);
        dispatcher.onClosed(config.updates::removeConnection);
        return config;
    }

    @Override
    public ConfigSnapshot current() {
        return replica.current();
    }

    /** Returns true once an entry has sent its configuration, which may be empty. */
    public boolean isReady() {
        return ready;
    }

    /** Registers a listener for new snapshots; it may block. */
    public void onChange(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    private void request(FleetConnection connection) {
        if (connection.peer().role() == Role.ROLE_ENTRY) {
            connection.send(
                    Frame.newBuilder()
                            .setConfigRequest(
                                    ConfigRequest.newBuilder()
                                            .setAfterVersion(replica.version())
                                            .setTargetsOnly(true))
                            .build());
        }
    }

    private void receive(FleetConnection connection, Frame frame) {
        try {
            worker.execute(() -> apply(connection, frame.getConfigUpdate()));
        } catch (RejectedExecutionException e) {
            LOG.debug("config: update ignored, the process is stopping");
        }
    }

    private void apply(FleetConnection connection, ConfigUpdate update) {
        try {
            Optional<ConfigReplica.Outcome> outcome = updates.receive(connection, update);
            if (outcome.equals(Optional.of(ConfigReplica.Outcome.GAP))) {
                request(connection);
            } else if (outcome.isPresent()) {
                ready = true;
            }
            if (outcome.equals(Optional.of(ConfigReplica.Outcome.APPLIED))) {
                onApplied(connection);
            }
        } catch (RuntimeException e) {
            LOG.error("config: update failed from={}", connection.peer().instanceId(), e);
        }
    }

    private void onApplied(FleetConnection connection) {
        ConfigSnapshot snapshot = replica.current();
        LOG.info(
                "config: in force version={} from={}",
                snapshot.version(),
                connection.peer().instanceId());
        listeners.forEach(listener -> listener.accept(snapshot));
    }
}
