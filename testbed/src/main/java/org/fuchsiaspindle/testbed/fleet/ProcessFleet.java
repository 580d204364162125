package org.fuchsiaspindle.testbed.fleet;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.daemon.settings.Addresses;
import org.fuchsiaspindle.platform.instance.ListedInstance.Role;
import org.fuchsiaspindle.testbed.proxy.FaultProxy;

/**
 * A fleet whose entries and agents run as separate processes, while the stand-ins and their ledgers
 * run in this JVM. Each process has a proxy on each of its links, so faults can be injected per
 * process and link.
 */
public final class ProcessFleet implements AutoCloseable {

    private static final String GRACE_SECONDS = "10";

    /** A proxied link of a process. */
    public enum Link {
        /** From the process to the platform's store. */
        STORE,
        /** From other processes to this one. */
        FLEET,
        /** From an agent to its target. */
        TARGET
    }

    private final StandIns standIns;
    private final ImmutableMap<String, FleetInstance> instances;
    private final ImmutableList<String> additionalFlags;
    private final Map<String, Map<Link, FaultProxy>> proxies = new ConcurrentHashMap<>();
    private final Map<String, DaemonProcess> processes = new ConcurrentHashMap<>();

    private ProcessFleet(
            FleetLayout layout, ImmutableList<String> additionalFlags, boolean withProxies) {
        standIns = StandIns.start(layout);
        instances = FleetInstance.of(layout);
        this.additionalFlags = additionalFlags;
        if (withProxies) {
            instances.values().forEach(instance -> proxies.put(instance.id(), proxies(instance)));
        }
    }

    /**
     * Starts the stand-ins and all processes; does not wait until they are ready.
     *
     * @param layout the instances of the fleet
     * @param additionalFlags additional command line flags of all processes
     */
    public static ProcessFleet start(FleetLayout layout, String... additionalFlags) {
        return start(new ProcessFleet(layout, ImmutableList.copyOf(additionalFlags), true));
    }

    /** Starts a fleet without proxies, so that they do not add latency to measurements. */
    public static ProcessFleet startWithoutProxies(FleetLayout layout, String... additionalFlags) {
        return start(new ProcessFleet(layout, ImmutableList.copyOf(additionalFlags), false));
    }

    private static ProcessFleet start(ProcessFleet fleet) {
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

    /** Returns all instances by identifier, including those whose process has exited. */
    public ImmutableMap<String, FleetInstance> instances() {
        return instances;
    }

    /** Returns the base URL of an entry for callers and operators. */
    public URI entryUrl(String id) {
        return instances.get(id).httpUrl();
    }

    /** Returns the proxy of a link; the fleet must have been started with proxies. */
    public FaultProxy proxy(String id, Link link) {
        return proxies.get(id).get(link);
    }

    /** Returns the most recently started process of an instance, or null if there is none. */
    public DaemonProcess process(String id) {
        return processes.get(id);
    }

    /**
     * Waits until all running processes are ready.
     *
     * @throws IllegalStateException if an instance is not ready within the timeout; the message
     *     names it
     */
    public void awaitReady(Duration timeout) {
        Readiness.await(
                instances.values().stream()
                        .filter(i -> processes.containsKey(i.id()))
                        .filter(i -> processes.get(i.id()).isAlive())
                        .toList(),
                timeout);
    }

    /** Starts the process of an instance; its previous process must have exited. */
    public void start(String id) {
        DaemonProcess previous = processes.get(id);
        checkState(previous == null || !previous.isAlive(), "%s is already running", id);
        processes.put(id, DaemonProcess.start(id, command(instances.get(id)), environment()));
    }

    /**
     * Adds an instance to the instance list, not marked as leaving, with the address of its proxy
     * if there is one.
     */
    public void register(String id) {
        writeToInstanceList(id, false);
    }

    /** Marks an instance as leaving in the instance list. */
    public void markLeaving(String id) {
        writeToInstanceList(id, true);
    }

    /** Clears all faults of all links. */
    public void clearFaults() {
        proxies.keySet().forEach(this::clearFaults);
    }

    /** Clears all faults of the links of one process. */
    public void clearFaults(String id) {
        proxies.get(id).values().forEach(FaultProxy::clear);
    }

    /** Kills all processes that this fleet started, then closes the stand-ins. */
    @Override
    public void close() {
        processes.values().forEach(DaemonProcess::close);
        proxies.values().forEach(links -> links.values().forEach(FaultProxy::close));
        standIns.close();
        instances.values().forEach(FleetInstance::releasePorts);
    }

    private void writeToInstanceList(String id, boolean leaving) {
        InetSocketAddress address =
                proxies.isEmpty()
                        ? Ports.address(instances.get(id).fleetPort())
                        : proxy(id, Link.FLEET).address();
        standIns.register(instances.get(id).toListedInstance(address, leaving));
    }

    private Map<Link, FaultProxy> proxies(FleetInstance instance) {
        Map<Link, FaultProxy> links = new EnumMap<>(Link.class);
        links.put(Link.STORE, FaultProxy.start(socketAddress(standIns.store().address())));
        links.put(Link.FLEET, FaultProxy.start(Ports.address(instance.fleetPort())));
        if (instance.role() == Role.AGENT) {
            links.put(Link.TARGET, FaultProxy.start(standIns.targetUrl(instance)));
        }
        return links;
    }

    private ImmutableList<String> command(FleetInstance instance) {
        List<String> command = new ArrayList<>();
        command.add(instance.role() == Role.ENTRY ? "entry" : "agent");
        flag(command, "--instance-id", instance.id());
        flag(command, "--data-centre", instance.dataCentre());
        flag(command, "--region", FleetInstance.REGION);
        flag(command, "--fleet-listen", listen(instance.fleetPort()));
        flag(command, "--management-listen", listen(instance.managementPort()));
        flag(command, "--store-address", storeAddress(instance));
        flag(command, "--grace-seconds", GRACE_SECONDS);
        if (instance.role() == Role.ENTRY) {
            flag(command, "--http-listen", listen(instance.httpPort()));
            flag(
                    command,
                    "--bootstrap-operator-key-sha256",
                    KeyDigest.ofKey(EmbeddedFleet.OPERATOR_KEY).hex());
            flag(command, "--balancer-delay-ms", 0);
        } else {
            flag(command, "--target-url", targetUrl(instance));
            flag(command, "--target-kind", instance.kind());
            flag(command, "--target-name", instance.targetName());
        }
        command.addAll(additionalFlags);
        return ImmutableList.copyOf(command);
    }

    private URI targetUrl(FleetInstance instance) {
        return proxies.isEmpty()
                ? standIns.targetUrl(instance)
                : proxy(instance.id(), Link.TARGET).url();
    }

    private String storeAddress(FleetInstance instance) {
        return proxies.isEmpty()
                ? standIns.store().address().toString()
                : Addresses.format(proxy(instance.id(), Link.STORE).address());
    }

    private static InetSocketAddress socketAddress(HostAndPort address) {
        return new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort());
    }

    private static ImmutableMap<String, String> environment() {
        return ImmutableMap.of("FUCHSIASPINDLE_FLEET_SECRET", EmbeddedFleet.FLEET_SECRET);
    }

    private static void flag(List<String> command, String name, Object value) {
        command.add(name);
        command.add(value.toString());
    }

    private static String listen(int port) {
        return Addresses.format(Ports.address(port));
    }
}
