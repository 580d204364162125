package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.contract.KeyDigest;

/** All documents in force at one version. Immutable and thread-safe; lookups are O(1). */
public final class ConfigSnapshot {

    /** The snapshot before the first change. */
    public static final ConfigSnapshot EMPTY =
            of(0, ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of(), FleetSettings.DEFAULT);

    private final long version;
    private final ImmutableMap<String, Contract> contracts;
    private final ImmutableMap<String, ModelDefinition> models;
    private final ImmutableMap<String, ServiceDefinition> services;
    private final FleetSettings settings;
    private final ImmutableSet<String> drained;
    private final ImmutableMap<KeyDigest, Contract> contractsByKey;

    private ConfigSnapshot(
            long version,
            ImmutableMap<String, Contract> contracts,
            ImmutableMap<String, ModelDefinition> models,
            ImmutableMap<String, ServiceDefinition> services,
            FleetSettings settings,
            ImmutableSet<String> drained) {
        this.version = version;
        this.contracts = contracts;
        this.models = models;
        this.services = services;
        this.settings = settings;
        this.drained = drained;
        ImmutableMap.Builder<KeyDigest, Contract> byKey = ImmutableMap.builder();
        for (Contract contract : contracts.values()) {
            for (KeyDigest key : contract.keys()) {
                byKey.put(key, contract);
            }
        }
        this.contractsByKey = byKey.buildKeepingLast();
    }

    /**
     * Creates a snapshot.
     *
     * @param version the version of the config log, not negative
     * @param contracts contracts by customer
     * @param models models by name
     * @param services services by name
     * @param settings the fleet's settings
     */
    public static ConfigSnapshot of(
            long version,
            ImmutableMap<String, Contract> contracts,
            ImmutableMap<String, ModelDefinition> models,
            ImmutableMap<String, ServiceDefinition> services,
            FleetSettings settings) {
        checkArgument(version >= 0, "negative version: %s", version);
        return new ConfigSnapshot(
                version,
                checkNotNull(contracts, "contracts"),
                checkNotNull(models, "models"),
                checkNotNull(services, "services"),
                checkNotNull(settings, "settings"),
                ImmutableSet.of());
    }

    /**
     * Returns this snapshot with a different set of drained targets.
     *
     * @param instances identifiers of the targets' instances, not null
     */
    public ConfigSnapshot withDrained(ImmutableSet<String> instances) {
        return new ConfigSnapshot(
                version,
                contracts,
                models,
                services,
                settings,
                checkNotNull(instances, "instances"));
    }

    /**
     * Returns the instances whose targets an operator is draining; they receive no new requests or
     * items.
     */
    public ImmutableSet<String> drained() {
        return drained;
    }

    /** Returns the version of the config log. */
    public long version() {
        return version;
    }

    /** Returns all contracts by customer. */
    public ImmutableMap<String, Contract> contracts() {
        return contracts;
    }

    /** Returns all models by name. */
    public ImmutableMap<String, ModelDefinition> models() {
        return models;
    }

    /** Returns all services by name. */
    public ImmutableMap<String, ServiceDefinition> services() {
        return services;
    }

    /** Returns the fleet's settings. */
    public FleetSettings settings() {
        return settings;
    }

    /**
     * Returns the contract that a bearer key belongs to.
     *
     * <p>The lookup is by digest, so its timing reveals nothing about the key.
     */
    public Optional<Contract> contractOfKey(KeyDigest key) {
        return Optional.ofNullable(contractsByKey.get(key));
    }

    /** Returns true if the key belongs to an operator. */
    public boolean isOperatorKey(KeyDigest key) {
        return settings.operatorKeys().contains(key);
    }
}
