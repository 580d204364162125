package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.table.TableService;

/**
 * The dependencies that the entry provides to the batch component.
 *
 * @param instanceId identifier of the entry
 * @param incarnation distinguishes successive processes of the same instance
 * @param table the table service
 * @param objects the object store
 * @param fleet the other processes of the fleet and their connections
 * @param frames dispatches the messages of these connections
 * @param loads the newest load reports of the agents
 * @param outage whether other entries report that the table is unreachable
 * @param config the configuration in force
 * @param authentication authenticates the customer of a request
 * @param clock the clock
 * @param random the random source, thread-safe
 * @param metrics the metrics registry of the process
 */
public record BatchContext(
        String instanceId,
        String incarnation,
        TableService table,
        ObjectStore objects,
        FleetDirectory fleet,
        FrameDispatcher frames,
        LoadReports loads,
        TableOutage outage,
        ConfigSource config,
        CallerAuthentication authentication,
        Clock clock,
        RandomGenerator random,
        PrometheusRegistry metrics) {

    /** Validates the components. */
    public BatchContext {
        Ids.checkName("instance", instanceId);
        checkNotNull(incarnation, "incarnation");
        checkNotNull(table, "table");
        checkNotNull(objects, "objects");
        checkNotNull(fleet, "fleet");
        checkNotNull(frames, "frames");
        checkNotNull(loads, "loads");
        checkNotNull(outage, "outage");
        checkNotNull(config, "config");
        checkNotNull(authentication, "authentication");
        checkNotNull(clock, "clock");
        checkNotNull(random, "random");
        checkNotNull(metrics, "metrics");
    }
}
