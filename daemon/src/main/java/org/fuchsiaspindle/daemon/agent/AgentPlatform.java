package org.fuchsiaspindle.daemon.agent;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.instance.InstanceList;
import org.fuchsiaspindle.platform.table.TableService;

/**
 * Platform services that an agent uses. Immutable.
 *
 * @param table the table service
 * @param instances the instance list
 * @param config a fixed configuration; empty to use the one that the entries send
 * @param clock the clock
 */
public record AgentPlatform(
        TableService table, InstanceList instances, Optional<ConfigSource> config, Clock clock) {

    /** Validates the components. */
    public AgentPlatform {
        checkNotNull(table, "table");
        checkNotNull(instances, "instances");
        checkNotNull(config, "config");
        checkNotNull(clock, "clock");
    }
}
