package org.fuchsiaspindle.daemon.entry.batch;

import com.google.common.collect.ImmutableList;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Fault;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Step;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/** A simulated entry process: the real batch component with a simulated environment. */
final class SimEntry implements FleetDirectory {

    private final BatchSimulation simulation;
    private final String id;
    private final FrameDispatcher frames = FrameDispatcher.create();
    private final Map<String, SimConnection> agents = new LinkedHashMap<>();
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private final BatchComponent component;
    private boolean crashed;
    private boolean paused;
    private boolean isolated;

    SimEntry(BatchSimulation simulation, String id, Random random) {
        this.simulation = simulation;
        this.id = id;
        ConfigSource config = ConfigSource.fixed(simulation.config());
        component =
                BatchComponent.create(
                        new BatchContext(
                                id,
                                "a",
                                new FaultyTable(simulation, this),
                                new FaultyObjects(simulation, this),
                                this,
                                frames,
                                LoadReports.create(frames, simulation.clock()),
                                () -> simulation.isOutageReportedByPeers(this),
                                config,
                                CallerAuthentication.create(config, ""),
                                simulation.clock(),
                                random,
                                new PrometheusRegistry()),
                        Runnable::run,
                        simulation.maxUnsavedBytes());
    }

    String id() {
        return id;
    }

    BatchComponent component() {
        return component;
    }

    boolean isUsable() {
        return !crashed && !paused;
    }

    boolean isCrashed() {
        return crashed;
    }

    void crash() {
        crashed = true;
        disconnect();
    }

    /** Isolates the entry from the table and from other entries, but not from agents. */
    void setIsolated(boolean value) {
        isolated = value;
    }

    boolean isIsolated() {
        return isolated;
    }

    void setPaused(boolean value) {
        paused = value;
    }

    /**
     * Runs an action of the component; an injected {@link ProcessCrashedError} crashes this entry.
     */
    void run(Runnable action) {
        try {
            action.run();
        } catch (ProcessCrashedError e) {
            crash();
        }
    }

    void step() {
        connect();
        for (int i = inbox.size(); i > 0 && isUsable(); i--) {
            run(inbox.remove());
        }
        if (isUsable()) {
            run(component::tick);
        }
    }

    /** Closes all connections, as agents do with an entry that does not respond. */
    void disconnect() {
        for (SimConnection connection : List.copyOf(agents.values())) {
            disconnect(connection.peer().instanceId());
        }
    }

    void disconnect(String agent) {
        SimConnection connection = agents.remove(agent);
        if (connection != null) {
            connection.close();
            inbox.add(() -> frames.onClose(connection));
        }
    }

    /** Queues a message from an agent, subject to the faults of the step. */
    void receive(SimAgent agent, Frame frame) {
        SimConnection connection = agents.get(agent.id());
        if (connection == null || crashed) {
            return;
        }
        int copies = 1;
        if (frame.hasBatchResult() || frame.hasBatchReturn()) {
            for (Fault fault : simulation.faults().trigger(Step.RUN)) {
                simulation.injectInNextStep(fault, this);
                copies =
                        switch (fault) {
                            case REQUEST_LOST, RESPONSE_LOST -> 0;
                            case DUPLICATE -> 2;
                            default -> copies;
                        };
            }
        }
        for (int i = 0; i < copies; i++) {
            inbox.add(() -> frames.onFrame(connection, frame));
        }
    }

    private void connect() {
        for (SimAgent agent : simulation.agents()) {
            if (!agents.containsKey(agent.id()) && !agent.isCrashed()) {
                SimConnection connection =
                        new SimConnection(
                                agent.id(), Role.ROLE_AGENT, frame -> sendTo(agent, frame));
                agents.put(agent.id(), connection);
                inbox.add(() -> frames.onOpen(connection));
            }
        }
    }

    private void sendTo(SimAgent agent, Frame frame) {
        int copies = 1;
        if (frame.hasBatchItems()) {
            for (Fault fault : simulation.faults().trigger(Step.DISPATCH)) {
                if (fault == Fault.PROCESS_CRASH) {
                    simulation.runWithHalfProbability(() -> agent.receive(this, frame));
                    throw new ProcessCrashedError();
                }
                simulation.injectInNextStep(fault, this);
                copies =
                        switch (fault) {
                            case REQUEST_LOST -> 0;
                            case DUPLICATE -> 2;
                            default -> copies;
                        };
                if (fault == Fault.RESPONSE_LOST) {
                    agent.dropNextResult();
                }
            }
        }
        for (int i = 0; i < copies; i++) {
            agent.receive(this, frame);
        }
    }

    @Override
    public ImmutableList<FleetConnection> agents() {
        return ImmutableList.copyOf(agents.values());
    }

    @Override
    public ImmutableList<FleetConnection> entries() {
        ImmutableList.Builder<FleetConnection> others = ImmutableList.builder();
        for (SimEntry other : simulation.entries()) {
            if (other != this && !other.isCrashed() && !other.isolated && !isolated) {
                SimConnection reverse = new SimConnection(id, Role.ROLE_ENTRY, frame -> {});
                others.add(
                        new SimConnection(
                                other.id(),
                                Role.ROLE_ENTRY,
                                frame ->
                                        other.inbox.add(
                                                () -> other.frames.onFrame(reverse, frame))));
            }
        }
        return others.build();
    }

    @Override
    public ImmutableList<ListedInstance> instances() {
        return simulation.instances();
    }

    @Override
    public Optional<FleetConnection> connectionTo(String instanceId) {
        return Optional.ofNullable(agents.get(instanceId));
    }

    @Override
    public boolean isLeaving(String instanceId) {
        return false;
    }
}
