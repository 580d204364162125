package org.fuchsiaspindle.testbed.fleet;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.daemon.agent.AgentDaemon;
import org.fuchsiaspindle.daemon.entry.EntryDaemon;
import org.fuchsiaspindle.daemon.settings.AgentSettings;
import org.fuchsiaspindle.daemon.settings.EntrySettings;
import org.fuchsiaspindle.daemon.settings.ProcessSettings;
import org.fuchsiaspindle.platform.instance.ListedInstance.Role;

/**
 * A fleet whose stand-ins, entries and agents all run in this JVM and communicate over HTTP.
 * Thread-safe.
 */
public final class EmbeddedFleet implements AutoCloseable {

    /** The operator key that is valid until the configuration defines others. */
    public static final String OPERATOR_KEY = "operator-key-of-the-testbed";

    /** The shared secret with which the processes of a test fleet authenticate each other. */
    public static final String FLEET_SECRET = "fleet-secret-of-the-testbed";

    private static final long MAX_BODY_BYTES = 4L * 1024 * 1024;
    private static final Duration GRACE = Duration.ofSeconds(10);

    private final StandIns standIns;
    private final ImmutableMap<String, FleetInstance> instances;
    private final Map<String, Runnable> running = new ConcurrentHashMap<>();

    private EmbeddedFleet(FleetLayout layout) {
        standIns = StandIns.start(layout);
        instances = FleetInstance.of(layout);
    }

    /** Starts the stand-ins and all instances; does not wait until they are ready. */
    public static EmbeddedFleet start(FleetLayout layout) {
        EmbeddedFleet fleet = new EmbeddedFleet(layout);
        try {
            fleet.instances.keySet().forEach(fleet::register);
            fleet.instances.keySet().asList().reverse().forEach(fleet::start);
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /** Returns the stand-ins and their ledgers. */
    public StandIns standIns() {
        return standIns;
    }

    /** Returns all instances by identifier, including stopped ones. */
    public ImmutableMap<String, FleetInstance> instances() {
        return instances;
    }

    /** Returns the base URLs of the entries for callers and operators. */
    public ImmutableList<URI> entryUrls() {
        return instances.values().stream()
                .filter(instance -> instance.role() == Role.ENTRY)
                .map(FleetInstance::httpUrl)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Waits until all running instances are ready.
     *
     * @throws IllegalStateException if an instance is not ready within the timeout; the message
     *     names it
     */
    public void awaitReady(Duration timeout) {
        Readiness.await(
                instances.values().stream().filter(i -> running.containsKey(i.id())).toList(),
                timeout);
    }

    /** Adds an instance to the instance list, not marked as leaving. */
    public void register(String id) {
        FleetInstance instance = instances.get(id);
        standIns.register(instance.toListedInstance(Ports.address(instance.fleetPort()), false));
    }

    /** Marks an instance as leaving in the instance list. */
    public void markLeaving(String id) {
        FleetInstance instance = instances.get(id);
        standIns.register(instance.toListedInstance(Ports.address(instance.fleetPort()), true));
    }

    /** Starts an instance that is not running. */
    public void start(String id) {
        FleetInstance instance = instances.get(id);
        checkState(!running.containsKey(id), "%s is already running", id);
        ProcessSettings process = processSettings(instance);
        if (instance.role() == Role.ENTRY) {
            EntryDaemon entry =
                    EntryDaemon.start(
                            new EntrySettings(
                                    process,
                                    Ports.address(instance.httpPort()),
                                    KeyDigest.ofKey(OPERATOR_KEY).hex(),
                                    MAX_BODY_BYTES,
                                    Duration.ZERO));
            running.put(id, entry::stop);
        } else {
            AgentDaemon agent =
                    AgentDaemon.start(
                            new AgentSettings(
                                    process,
                                    standIns.targetUrl(instance),
                                    instance.kind(),
                                    instance.targetName()));
            running.put(id, agent::stop);
        }
    }

    /** Stops an instance gracefully; has no effect if it is not running. */
    public void stop(String id) {
        Runnable stop = running.remove(id);
        if (stop != null) {
            stop.run();
        }
    }

    /** Stops all instances, entries first, then the stand-ins. */
    @Override
    public void close() {
        try {
            instances.keySet().forEach(this::stop);
        } finally {
            standIns.close();
            instances.values().forEach(FleetInstance::releasePorts);
        }
    }

    private ProcessSettings processSettings(FleetInstance instance) {
        return new ProcessSettings(
                instance.id(),
                instance.dataCentre(),
                FleetInstance.REGION,
                Ports.address(instance.fleetPort()),
                Ports.address(instance.managementPort()),
                standIns.store().address(),
                FLEET_SECRET,
                ImmutableList.of(),
                GRACE);
    }
}
