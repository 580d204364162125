package org.fuchsiaspindle.testbed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.table.StoreTable;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator;
import org.fuchsiaspindle.testbed.emulator.StoreEmulator.FaultMode;
import org.fuchsiaspindle.testbed.fleet.FleetAdmin;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against changes that are lost, not applied everywhere, or replaced by older ones. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class ConfigurationTest {

    private static final int ENTRIES = 2;
    private static final int ENGINES = 2;
    private static final int CONCURRENT_OPERATORS = 8;
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private TestFleet fleet;

    @BeforeAll
    void startFleet() {
        fleet = TestFleet.start(ENTRIES, ENGINES);
    }

    @AfterEach
    void endFaults() {
        fleet.processes().standIns().store().setFaultMode(FaultMode.SERVING);
        fleet.processes().standIns().store().setTableDown("");
    }

    @AfterAll
    void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    void changeReachesEveryProcess() {
        awaitEverywhere(fleet.admin().change("contract", "everywhere", contract("key-a")));
    }

    /**
     * Guards against a process that starts with an older version while the table is unavailable.
     */
    @Test
    void processThatStartsWhileTheTableIsDownTakesTheVersionOfItsPeers() {
        restartDuringOutage(store -> store.setTableDown(StoreTable.TABLE));
    }

    /**
     * Guards against a process that cannot discover its peers because it starts while the whole
     * store is unavailable.
     */
    @Test
    void processThatStartsWhileTheStoreIsDownFindsItsPeers() {
        restartDuringOutage(store -> store.setFaultMode(FaultMode.BUSY));
    }

    private void restartDuringOutage(Consumer<StoreEmulator> outage) {
        ProcessFleet processes = fleet.processes();
        long version = fleet.admin().change("contract", "survivor", contract("key-b"));
        awaitEverywhere(version);
        outage.accept(processes.standIns().store());
        for (String id : List.of("entry-2", "agent-engine-1")) {
            processes.process(id).kill();
            processes.start(id);
        }
        processes.awaitReady(Await.LIMIT);
        try (OperatorClient second = OperatorClient.create(processes.entryUrl("entry-2"))) {
            // A process is ready only once the latest reachable version is in force, so no wait is
            // needed.
            assertThat(second.status().orElseThrow().path("config_version").asLong())
                    .isEqualTo(version);
        }
        awaitEverywhere(version);
    }

    /** Guards against an operator who overwrites another operator's change without a conflict. */
    @Test
    void ofConcurrentChangesOneIsAcceptedAndTheOthersConflict() throws Exception {
        long baseVersion = fleet.admin().change("contract", "raced", contract("key-c"));
        awaitEverywhere(baseVersion);
        List<OperatorClient.Response> responses = new ArrayList<>();
        List<OperatorClient> operators = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<OperatorClient.Response>> sent = new ArrayList<>();
            for (int i = 0; i < CONCURRENT_OPERATORS; i++) {
                String entry = "entry-" + (1 + i % ENTRIES);
                OperatorClient operator = OperatorClient.create(fleet.processes().entryUrl(entry));
                operators.add(operator);
                String id = "race-" + i;
                sent.add(
                        threads.submit(
                                () ->
                                        operator.change(
                                                id, baseVersion, "raced", contract("key-" + id))));
            }
            for (Future<OperatorClient.Response> response : sent) {
                responses.add(response.get());
            }
        } finally {
            operators.forEach(OperatorClient::close);
        }
        assertThat(responses).filteredOn(response -> response.status() == OK).hasSize(1);
        assertThat(responses)
                .filteredOn(response -> response.status() != OK)
                .allSatisfy(
                        response -> {
                            assertThat(response.status()).isEqualTo(CONFLICT);
                            assertThat(response.body().at("/error/number").asInt())
                                    .isEqualTo(ResultCode.CONFIG_CONFLICT.number());
                            assertThat(response.body().path("head_version").asLong())
                                    .isEqualTo(baseVersion + 1);
                        });
        awaitEverywhere(baseVersion + 1);
    }

    /** Waits until every entry reports that all processes have at least this version in force. */
    private void awaitEverywhere(long version) {
        for (String entry : fleet.callers().keySet()) {
            try (OperatorClient operator =
                    OperatorClient.create(fleet.processes().entryUrl(entry))) {
                Await.until(() -> describeLag(operator, version));
            }
        }
    }

    private String describeLag(OperatorClient operator, long version) {
        JsonNode status = operator.status().orElse(null);
        if (status == null || status.path("config_version").asLong() < version) {
            return "version " + version + " in " + status;
        }
        for (JsonNode process : status.path("processes")) {
            if (process.path("config_version").asLong() < version) {
                return "version " + version + " in " + process;
            }
        }
        return status.path("processes").size() == fleet.processes().instances().size()
                ? ""
                : "all processes in " + status;
    }

    private static JsonNode contract(String key) {
        return FleetAdmin.contract(
                key, ImmutableList.of(TestFleet.MODEL), ImmutableList.of(TestFleet.SERVICE));
    }
}
