package org.fuchsiaspindle.daemon.entry.batch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.FleetSettings;
import org.fuchsiaspindle.core.config.ModelDefinition;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/** Contracts, configuration and input lines for the batch tests. */
final class BatchFixture {

    static final String MODEL = "model-a";
    static final String CHAT = "/v1/chat/completions";

    private BatchFixture() {}

    static Contract contract(String customer, int weight) {
        return new Contract(
                customer,
                ImmutableSet.of(KeyDigest.ofKey("key-" + customer)),
                weight,
                5,
                Duration.ofSeconds(1),
                new Contract.OnlineLimits(10, 10, 10),
                new Contract.BatchTerms(Duration.ofHours(24), 3, 1000, Duration.ofDays(30)),
                ImmutableSet.of(MODEL),
                ImmutableSet.of());
    }

    static ConfigSnapshot config(Contract... contracts) {
        ImmutableMap.Builder<String, Contract> byName = ImmutableMap.builder();
        for (Contract contract : contracts) {
            byName.put(contract.customer(), contract);
        }
        return ConfigSnapshot.of(
                1,
                byName.buildOrThrow(),
                ImmutableMap.of(MODEL, new ModelDefinition(MODEL, "1", 1, 10)),
                ImmutableMap.of(),
                FleetSettings.DEFAULT);
    }

    static String line(String customId) {
        return line(customId, MODEL);
    }

    static String line(String customId, String model) {
        return """
        {"custom_id":"%s","method":"POST","url":"%s","body":{"model":"%s",\
        "messages":[{"role":"user","content":"say %s"}]}}\
        """
                .formatted(customId, CHAT, model, customId);
    }

    static String lines(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(line("item-" + i)).append('\n');
        }
        return text.toString();
    }

    /** Returns a fleet without other processes. */
    static FleetDirectory emptyFleet() {
        return new FleetDirectory() {
            @Override
            public ImmutableList<FleetConnection> agents() {
                return ImmutableList.of();
            }

            @Override
            public ImmutableList<FleetConnection> entries() {
                return ImmutableList.of();
            }

            @Override
            public ImmutableList<ListedInstance> instances() {
                return ImmutableList.of();
            }

            @Override
            public Optional<FleetConnection> connectionTo(String instanceId) {
                return Optional.empty();
            }

            @Override
            public boolean isLeaving(String instanceId) {
                return false;
            }
        };
    }
}
