package org.fuchsiaspindle.daemon.agent;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.platform.instance.InstanceList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Polls the instance list to detect that the platform lists this instance as leaving. */
final class LeavingMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(LeavingMonitor.class);
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

    private final InstanceList instances;
    private final String instanceId;
    private final AgentLoop loop;
    private final Runnable leave;
    private final Semaphore polling = new Semaphore(1);

    /**
     * Creates a monitor that does not poll before {@link #start}.
     *
     * @param leave called on the event loop, possibly repeatedly, while the instance is listed as
     *     leaving
     */
    LeavingMonitor(InstanceList instances, String instanceId, AgentLoop loop, Runnable leave) {
        this.instances = instances;
        this.instanceId = instanceId;
        this.loop = loop;
        this.leave = leave;
    }

    /** Starts to poll. */
    void start() {
        loop.every(POLL_INTERVAL, this::poll);
    }

    private void poll() {
        if (!polling.tryAcquire()) {
            return;
        }
        Thread.ofVirtual()
                .name("instance-list")
                .start(
                        () -> {
                            try {
                                read();
                            } finally {
                                polling.release();
                            }
                        });
    }

    private void read() {
        try {
            boolean leaving =
                    instances.list().stream()
                            .anyMatch(entry -> entry.id().equals(instanceId) && entry.leaving());
            if (leaving) {
                loop.execute(leave);
            }
        } catch (FuchsiaspindleException e) {
            LOG.debug("agent: cannot read the instance list", e);
        }
    }
}
