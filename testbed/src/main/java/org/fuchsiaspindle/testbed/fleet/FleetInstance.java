package org.fuchsiaspindle.testbed.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.net.URI;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.instance.ListedInstance.Role;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;
import org.fuchsiaspindle.testbed.engine.EngineSettings;

/**
 * An instance of a fleet and the ports that are assigned to its process.
 *
 * @param id the instance's identifier
 * @param role the role
 * @param dataCentre the data centre
 * @param kind kind of the target, {@code NONE} for entries
 * @param targetName name of the target, empty for entries
 * @param fleetPort port for connections from other processes
 * @param managementPort port for readiness and metrics
 * @param httpPort port for callers, 0 for agents
 */
public record FleetInstance(
        String id,
        Role role,
        String dataCentre,
        TargetKind kind,
        String targetName,
        int fleetPort,
        int managementPort,
        int httpPort) {

    /** The region of all instances. */
    public static final String REGION = "region-1";

    /**
     * Creates the instances of a layout and allocates their ports; returns the instances by
     * identifier, entries first.
     */
    public static ImmutableMap<String, FleetInstance> of(FleetLayout layout) {
        ImmutableMap.Builder<String, FleetInstance> instances = ImmutableMap.builder();
        for (int i = 0; i < layout.entries(); i++) {
            int httpPort = i == 0 && layout.httpPort() != 0 ? layout.httpPort() : Ports.allocate();
            String id = "entry-" + (i + 1);
            instances.put(
                    id,
                    new FleetInstance(
                            id,
                            Role.ENTRY,
                            dataCentre(layout, i),
                            TargetKind.NONE,
                            "",
                            Ports.allocate(),
                            Ports.allocate(),
                            httpPort));
        }
        ImmutableList<EngineSettings> engines = layout.engines();
        for (int i = 0; i < engines.size(); i++) {
            String name = engines.get(i).name();
            addAgent(instances, "agent-" + name, dataCentre(layout, i), TargetKind.ENGINE, name);
        }
        for (int i = 0; i < layout.services().size(); i++) {
            String name = layout.services().get(i);
            addAgent(instances, "agent-" + name, dataCentre(layout, i), TargetKind.SERVICE, name);
        }
        return instances.buildOrThrow();
    }

    /** Releases the ports; the process must have exited. */
    public void releasePorts() {
        Ports.release(fleetPort);
        Ports.release(managementPort);
        if (httpPort != 0) {
            Ports.release(httpPort);
        }
    }

    /** Returns the base URL for callers and operators. */
    public URI httpUrl() {
        return url(httpPort);
    }

    /** Returns the base URL for readiness and metrics. */
    public URI managementUrl() {
        return url(managementPort);
    }

    /** Returns the row of this instance in the instance list. */
    public ListedInstance toListedInstance(InetSocketAddress address, boolean leaving) {
        return new ListedInstance(id, role, address, dataCentre, REGION, leaving, kind, targetName);
    }

    private static void addAgent(
            ImmutableMap.Builder<String, FleetInstance> instances,
            String id,
            String dataCentre,
            TargetKind kind,
            String targetName) {
        instances.put(
                id,
                new FleetInstance(
                        id,
                        Role.AGENT,
                        dataCentre,
                        kind,
                        targetName,
                        Ports.allocate(),
                        Ports.allocate(),
                        0));
    }

    private static String dataCentre(FleetLayout layout, int index) {
        return "dc-" + (char) ('a' + index % layout.dataCentres());
    }

    private static URI url(int port) {
        return URI.create("http://127.0.0.1:" + port);
    }
}
