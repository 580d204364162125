package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.contract.ContractParser;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.core.document.DocumentReader;
import org.fuchsiaspindle.core.document.DocumentReader.UnknownFields;
import org.fuchsiaspindle.core.document.FieldError;
import org.fuchsiaspindle.core.document.InvalidDocumentException;
import org.fuchsiaspindle.core.id.Ids;

/**
 * All documents at one version of the config log, raw and parsed.
 *
 * <p>Immutable and thread-safe. Creating a state takes O(documents), but parses only the changed
 * documents.
 */
public final class ConfigState {

    /** The state before the first change. */
    public static final ConfigState EMPTY =
            new ConfigState(ImmutableSortedMap.of(), ConfigSnapshot.EMPTY, ImmutableSet.of());

    private final ImmutableSortedMap<DocumentKey, ConfigChange> documents;
    private final ConfigSnapshot snapshot;
    private final ImmutableSet<DocumentKey> unreadable;

    private ConfigState(
            ImmutableSortedMap<DocumentKey, ConfigChange> documents,
            ConfigSnapshot snapshot,
            ImmutableSet<DocumentKey> unreadable) {
        this.documents = documents;
        this.snapshot = snapshot;
        this.unreadable = unreadable;
    }

    /**
     * Creates the state of a full set of documents.
     *
     * @param version version of the log
     * @param documents the last change of each document that is not deleted
     */
    public static ConfigState of(long version, Collection<ConfigChange> documents) {
        return EMPTY.with(version, documents);
    }

    /**
     * Returns the state after a number of changes.
     *
     * @param version version after the changes, not below the current one
     * @param changes the changes in order; changes of kinds that this process does not store may be
     *     omitted
     */
    public ConfigState with(long version, Collection<ConfigChange> changes) {
        checkArgument(
                version >= version(),
                "version %s is below the current version %s",
                version,
                version());
        Editor editor = new Editor(this);
        changes.forEach(editor::apply);
        return editor.build(version);
    }

    /** Returns the version of the log. */
    public long version() {
        return snapshot.version();
    }

    /** Returns the parsed documents. */
    public ConfigSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the last change of each document that is not deleted. */
    public ImmutableSortedMap<DocumentKey, ConfigChange> documents() {
        return documents;
    }

    /**
     * Returns the documents that this process cannot parse, most likely because a newer process
     * accepted them. The previous content of such a document stays in force in this process.
     */
    public ImmutableSet<DocumentKey> unreadable() {
        return unreadable;
    }

    /**
     * Checks a new document by itself and against the others.
     *
     * @throws InvalidDocumentException with all errors
     */
    public void check(DocumentKey key, String json) {
        switch (key.kind()) {
            case CONTRACT ->
                    checkKeys(ContractParser.parse(key.name(), json, UnknownFields.REFUSE));
            case MODEL -> ModelParser.parse(key.name(), json, UnknownFields.REFUSE);
            case SERVICE -> ServiceParser.parse(key.name(), json, UnknownFields.REFUSE);
            case SETTINGS -> SettingsParser.parse(key.name(), json, UnknownFields.REFUSE);
            case DRAIN -> checkDrain(key.name(), json);
            default -> throw new IllegalArgumentException("unknown kind: " + key.kind());
        }
    }

    /**
     * Rejects keys of another customer's contract, which would give one customer access to the jobs
     * of the other.
     */
    private void checkKeys(Contract contract) {
        ImmutableList.Builder<FieldError> errors = ImmutableList.builder();
        int index = 0;
        for (KeyDigest key : contract.keys()) {
            int position = index++;
            snapshot.contractOfKey(key)
                    .filter(other -> !other.customer().equals(contract.customer()))
                    .ifPresent(
                            other ->
                                    errors.add(
                                            new FieldError(
                                                    "keys_sha256[" + position + "]",
                                                    "the key belongs to customer "
                                                            + other.customer())));
        }
        ImmutableList<FieldError> found = errors.build();
        if (!found.isEmpty()) {
            throw new InvalidDocumentException(found);
        }
    }

    private static void checkDrain(String name, String json) {
        DocumentReader reader = DocumentReader.of(json, UnknownFields.REFUSE);
        if (!Ids.isName(name)) {
            reader.error("", "invalid instance name: " + name);
        }
        reader.string("reason", "");
        reader.finish();
    }

    /** Applies changes to a mutable copy of a state. */
    private static final class Editor {

        private final TreeMap<DocumentKey, ConfigChange> documents;
        private final Map<String, Contract> contracts;
        private final Map<String, ModelDefinition> models;
        private final Map<String, ServiceDefinition> services;
        private final TreeMap<String, Boolean> drained = new TreeMap<>();
        private final Map<DocumentKey, Boolean> unreadable = new HashMap<>();
        private FleetSettings settings;

        Editor(ConfigState state) {
            documents = new TreeMap<>(state.documents);
            contracts = new TreeMap<>(state.snapshot.contracts());
            models = new TreeMap<>(state.snapshot.models());
            services = new TreeMap<>(state.snapshot.services());
            state.snapshot.drained().forEach(id -> drained.put(id, true));
            state.unreadable.forEach(key -> unreadable.put(key, true));
            settings = state.snapshot.settings();
        }

        void apply(ConfigChange change) {
            unreadable.remove(change.key());
            if (change.document().isEmpty()) {
                documents.remove(change.key());
                delete(change.key());
                return;
            }
            documents.put(change.key(), change);
            try {
                put(change.key(), change.document().get());
            } catch (InvalidDocumentException e) {
                unreadable.put(change.key(), true);
            }
        }

        private void put(DocumentKey key, String json) {
            String name = key.name();
            switch (key.kind()) {
                case CONTRACT ->
                        contracts.put(name, ContractParser.parse(name, json, UnknownFields.IGNORE));
                case MODEL -> models.put(name, ModelParser.parse(name, json, UnknownFields.IGNORE));
                case SERVICE ->
                        services.put(name, ServiceParser.parse(name, json, UnknownFields.IGNORE));
                case SETTINGS -> settings = SettingsParser.parse(name, json, UnknownFields.IGNORE);
                case DRAIN -> drained.put(name, true);
                default -> throw new IllegalArgumentException("unknown kind: " + key.kind());
            }
        }

        private void delete(DocumentKey key) {
            switch (key.kind()) {
                case CONTRACT -> contracts.remove(key.name());
                case MODEL -> models.remove(key.name());
                case SERVICE -> services.remove(key.name());
                case SETTINGS -> settings = FleetSettings.DEFAULT;
                case DRAIN -> drained.remove(key.name());
                default -> throw new IllegalArgumentException("unknown kind: " + key.kind());
            }
        }

        ConfigState build(long version) {
            ConfigSnapshot next =
                    ConfigSnapshot.of(
                                    version,
                                    ImmutableMap.copyOf(contracts),
                                    ImmutableMap.copyOf(models),
                                    ImmutableMap.copyOf(services),
                                    settings)
                            .withDrained(ImmutableSet.copyOf(drained.keySet()));
            return new ConfigState(
                    ImmutableSortedMap.copyOfSorted(documents),
                    next,
                    ImmutableSet.copyOf(unreadable.keySet()));
        }
    }
}
