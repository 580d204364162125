package org.fuchsiaspindle.testbed.fleet;

import java.time.Duration;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet.Link;
import org.fuchsiaspindle.testbed.proxy.FaultProxy;

/** A fault of a process, of its target, or of the link from other processes to it. */
public enum FleetFault {
    /** The process is killed; ending the fault restarts its instance. */
    PROCESS_KILLED("process killed") {
        @Override
        public void inject(ProcessFleet fleet, String id) {
            fleet.process(id).kill();
        }

        @Override
        public void end(ProcessFleet fleet, String id) {
            fleet.start(id);
        }
    },
    /**
     * The target of an agent crashes: an engine loses all streams, a service loses all connections.
     */
    TARGET_CRASHED("target crashed") {
        @Override
        public void inject(ProcessFleet fleet, String id) {
            String target = fleet.instances().get(id).targetName();
            if (fleet.standIns().engines().containsKey(target)) {
                fleet.standIns().engines().get(target).crash(DOWNTIME);
            } else {
                // A response that is already in the proxy is lost with its connection.
                fleet.proxy(id, Link.TARGET).setRefusing(true);
                fleet.proxy(id, Link.TARGET).resetConnections();
            }
        }
    },
    /** Each connection is closed within the next message that the process sends. */
    LINK_CUT("link cut within a message") {
        @Override
        public void inject(ProcessFleet fleet, String id) {
            link(fleet, id).toCaller().setCutWithin(CUT_BYTES);
        }
    },
    /** All bytes on the link are lost in both directions. */
    LINK_SILENT("link silent") {
        @Override
        public void inject(ProcessFleet fleet, String id) {
            link(fleet, id).toCaller().setDropping(true);
            link(fleet, id).toTarget().setDropping(true);
        }
    },
    /** All bytes that the process sends are lost. */
    OUTPUT_LOST("one-way partition, output of the process lost") {
        @Override
        public void inject(ProcessFleet fleet, String id) {
            link(fleet, id).toCaller().setDropping(true);
        }
    },
    /** All bytes that are sent to the process are lost. */
    INPUT_LOST("one-way partition, input of the process lost") {
        @Override
        public void inject(ProcessFleet fleet, String id) {
            link(fleet, id).toTarget().setDropping(true);
        }
    },
    /** The process is suspended; ending the fault resumes it. */
    PROCESS_SUSPENDED("process suspended") {
        @Override
        public void inject(ProcessFleet fleet, String id) {
            fleet.process(id).suspend();
        }

        @Override
        public void end(ProcessFleet fleet, String id) {
            fleet.process(id).resume();
        }
    };

    /**
     * Number of bytes forwarded before a cut; less than every message, so that only a part arrives.
     */
    private static final int CUT_BYTES = 6;

    private static final Duration DOWNTIME = Duration.ofSeconds(2);

    private final String title;

    FleetFault(String title) {
        this.title = title;
    }

    /** Returns the name of the fault for tables and reports. */
    public String title() {
        return title;
    }

    /**
     * Injects the fault.
     *
     * @param fleet a fleet with proxies
     * @param id the identifier of a running instance
     */
    public abstract void inject(ProcessFleet fleet, String id);

    /** Ends the fault; does not wait until the process is ready. */
    public void end(ProcessFleet fleet, String id) {
        fleet.clearFaults(id);
    }

    private static FaultProxy link(ProcessFleet fleet, String id) {
        return fleet.proxy(id, Link.FLEET);
    }
}
