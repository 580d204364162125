package org.fuchsiaspindle.testbed.integration;

import com.google.common.collect.ImmutableSet;
import org.fuchsiaspindle.testbed.fleet.FleetFault;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;

/** The rows of the fault matrix: faults of the agents that run the calls, or of the entry. */
enum OnlineFault {
    AGENT_KILLED("agent killed", FleetFault.PROCESS_KILLED),
    TARGET_CRASHED("engine or service crashed", FleetFault.TARGET_CRASHED),
    LINK_CUT("agent-entry link cut within a message", FleetFault.LINK_CUT),
    LINK_SILENT("agent-entry link silent", FleetFault.LINK_SILENT),
    PARTITION_TO_ENTRY("one-way partition, agent to entry lost", FleetFault.OUTPUT_LOST),
    PARTITION_TO_AGENT("one-way partition, entry to agent lost", FleetFault.INPUT_LOST),
    AGENT_SUSPENDED(
            "agent suspended beyond all timeouts, then resumed", FleetFault.PROCESS_SUSPENDED),
    ENTRY_KILLED("entry killed, call resent to another entry", FleetFault.PROCESS_KILLED);

    private final String title;
    private final FleetFault fault;

    OnlineFault(String title, FleetFault fault) {
        this.title = title;
        this.fault = fault;
    }

    String title() {
        return title;
    }

    void inject(ProcessFleet fleet, String entry, ImmutableSet<String> agents) {
        affectedProcesses(entry, agents).forEach(id -> fault.inject(fleet, id));
    }

    void clear(ProcessFleet fleet, String entry, ImmutableSet<String> agents) {
        affectedProcesses(entry, agents).forEach(id -> fault.end(fleet, id));
    }

    private ImmutableSet<String> affectedProcesses(String entry, ImmutableSet<String> agents) {
        return this == ENTRY_KILLED ? ImmutableSet.of(entry) : agents;
    }
}
