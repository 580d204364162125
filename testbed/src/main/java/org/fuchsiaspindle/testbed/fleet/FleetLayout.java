package org.fuchsiaspindle.testbed.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.fuchsiaspindle.testbed.engine.EngineSettings;

/**
 * The instances of a fleet. Entries are named {@code entry-1}, {@code entry-2} and so on; agents
 * are named after their targets, for example {@code agent-engine-1} or {@code agent-orders}.
 * Instances are assigned to the data centres round-robin.
 *
 * @param entries number of entries
 * @param engines engines, each with one agent
 * @param services names of plain services, each with one agent
 * @param dataCentres number of data centres, all in one region
 * @param httpPort port of the first entry for callers, 0 for a free port
 */
public record FleetLayout(
        int entries,
        ImmutableList<EngineSettings> engines,
        ImmutableList<String> services,
        int dataCentres,
        int httpPort) {

    private static final int DEFAULT_DATA_CENTRES = 3;

    /** Validates the components. */
    public FleetLayout {
        checkArgument(entries >= 0, "entries negative: %s", entries);
        checkArgument(dataCentres >= 1, "dataCentres not positive: %s", dataCentres);
    }

    /**
     * Returns a layout of three data centres whose engines have the default settings.
     *
     * @param entries number of entries
     * @param engines number of engines; each starts with all models
     * @param models names of the models, all with version 1
     * @param services names of the services
     */
    public static FleetLayout of(
            int entries,
            int engines,
            ImmutableList<String> models,
            ImmutableList<String> services) {
        ImmutableMap.Builder<String, String> versions = ImmutableMap.builder();
        models.forEach(model -> versions.put(model, "1"));
        ImmutableList.Builder<EngineSettings> settings = ImmutableList.builder();
        for (int i = 1; i <= engines; i++) {
            settings.add(
                    EngineSettings.builder("engine-" + i).models(versions.buildOrThrow()).build());
        }
        return new FleetLayout(entries, settings.build(), services, DEFAULT_DATA_CENTRES, 0);
    }
}
