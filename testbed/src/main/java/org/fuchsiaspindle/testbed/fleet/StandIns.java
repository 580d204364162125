package org.fuchsiaspindle.testbed.fleet;

import com.google.common.collect.ImmutableMap;
import java.net.URI;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fuchsiaspindle.platform.instance.InstanceRows;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator;
import org.fuchsiaspindle.testbed.engine.EngineSettings;
import org.fuchsiaspindle.testbed.engine.EngineStandIn;
import org.fuchsiaspindle.testbed.ledger.EngineLedger;
import org.fuchsiaspindle.testbed.ledger.ServiceLedger;
import org.fuchsiaspindle.testbed.platform.WeightStoreStandIn;
import org.fuchsiaspindle.testbed.service.ServiceStandIn;

/**
 * The simulated services of the platform and the simulated targets of a fleet, with their ledgers.
 * Thread-safe.
 */
public final class StandIns implements AutoCloseable {

    private static final int WEIGHT_BYTES = 4 * 1024 * 1024;
    private static final double WEIGHT_BYTES_PER_SECOND = 16.0 * 1024 * 1024;

    private final StoreEmulator store = StoreEmulator.start("127.0.0.1");
    private final WeightStoreStandIn weights =
            WeightStoreStandIn.start(0, WEIGHT_BYTES, WEIGHT_BYTES_PER_SECOND);
    private final EngineLedger engineLedger = EngineLedger.create();
    private final ServiceLedger serviceLedger = ServiceLedger.create();
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandIn> services = new LinkedHashMap<>();

    private StandIns(FleetLayout layout) {
        for (EngineSettings engine : layout.engines()) {
            EngineSettings settings = engine.withWeightStore(weights.url());
            engines.put(settings.name(), EngineStandIn.start(settings, engineLedger));
        }
        for (String service : layout.services()) {
            services.put(service, ServiceStandIn.start(0, service, serviceLedger));
        }
    }

    /** Starts the stand-ins of the platform's services and of the targets of a layout. */
    public static StandIns start(FleetLayout layout) {
        return new StandIns(layout);
    }

    /** Returns the platform's store. */
    public StoreEmulator store() {
        return store;
    }

    /**
     * Writes an instance to the instance list of the store; replaces a row with the same
     * identifier.
     */
    public void register(ListedInstance instance) {
        store.put(InstanceRows.TABLE, instance.id(), InstanceRows.encode(instance));
    }

    /** Returns the weight store. */
    public WeightStoreStandIn weights() {
        return weights;
    }

    /** Returns the ledger of all engines. */
    public EngineLedger engineLedger() {
        return engineLedger;
    }

    /** Returns the ledger of all services. */
    public ServiceLedger serviceLedger() {
        return serviceLedger;
    }

    /** Returns the engines by name. */
    public ImmutableMap<String, EngineStandIn> engines() {
        return ImmutableMap.copyOf(engines);
    }

    /** Returns the services by name. */
    public ImmutableMap<String, ServiceStandIn> services() {
        return ImmutableMap.copyOf(services);
    }

    @Override
    public void close() {
        engines.values().forEach(EngineStandIn::close);
        services.values().forEach(ServiceStandIn::close);
        weights.close();
        store.close();
    }

    URI targetUrl(FleetInstance instance) {
        return engines.containsKey(instance.targetName())
                ? engines.get(instance.targetName()).url()
                : services.get(instance.targetName()).url();
    }
}
