package org.fuchsiaspindle.daemon.fleet;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/** The other processes of the fleet as this process knows them. Thread-safe; never blocks. */
public interface FleetDirectory {

    /** Returns the open connections to agents. */
    ImmutableList<FleetConnection> agents();

    /** Returns the open connections to entries. */
    ImmutableList<FleetConnection> entries();

    /** Returns the last known instance list, without instances that are considered gone. */
    ImmutableList<ListedInstance> instances();

    /** Returns the open connection to an instance, if there is one. */
    Optional<FleetConnection> connectionTo(String instanceId);

    /**
     * Returns true if the instance is leaving according to the instance list or its own message.
     */
    boolean isLeaving(String instanceId);
}
