package org.fuchsiaspindle.daemon.fleet;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/** A directory whose content a test sets. */
public final class FakeDirectory implements FleetDirectory {

    private final List<FleetConnection> connections = new ArrayList<>();
    private final List<ListedInstance> listed = new ArrayList<>();

    public void connect(FleetConnection connection) {
        connections.add(connection);
    }

    public void list(ListedInstance instance) {
        listed.add(instance);
    }

    @Override
    public ImmutableList<FleetConnection> agents() {
        return withRole(Role.ROLE_AGENT);
    }

    @Override
    public ImmutableList<FleetConnection> entries() {
        return withRole(Role.ROLE_ENTRY);
    }

    @Override
    public ImmutableList<ListedInstance> instances() {
        return ImmutableList.copyOf(listed);
    }

    @Override
    public Optional<FleetConnection> connectionTo(String instanceId) {
        return connections.stream()
                .filter(connection -> connection.peer().instanceId().equals(instanceId))
                .findFirst();
    }

    @Override
    public boolean isLeaving(String instanceId) {
        return false;
    }

    private ImmutableList<FleetConnection> withRole(Role role) {
        return connections.stream()
                .filter(connection -> connection.peer().role() == role)
                .collect(ImmutableList.toImmutableList());
    }
}
