package org.fuchsiaspindle.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.platform.http.HttpResponse;
import org.fuchsiaspindle.testbed.engine.EngineOutput;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet.Link;
import org.fuchsiaspindle.testbed.ledger.EngineRun;
import org.junit.jupiter.api.Test;

/** Tests the process fleet on which the integration tests depend. */
class ProcessFleetTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    /**
     * Guards against processes that outlive their fleet and against a suspension that leaves
     * threads running.
     */
    @Test
    void processesAreSuspendedResumedKilledAndEnded() {
        FleetLayout layout = FleetLayout.of(0, 2, ImmutableList.of("small"), ImmutableList.of());
        long first;
        long second;
        try (ProcessFleet fleet = ProcessFleet.start(layout)) {
            fleet.awaitReady(TIMEOUT);
            DaemonProcess agent = fleet.process("agent-engine-1");
            first = agent.pid();
            agent.suspend();
            assertThat(Readiness.isReady(fleet.instances().get("agent-engine-1").managementUrl()))
                    .isFalse();
            agent.resume();
            fleet.awaitReady(TIMEOUT);
            agent.kill();
            assertThat(agent.isAlive()).isFalse();
            fleet.start("agent-engine-1");
            fleet.awaitReady(TIMEOUT);
            second = fleet.process("agent-engine-2").pid();
            fleet.process("agent-engine-2").suspend();
        }
        for (long pid : List.of(first, second)) {
            assertThat(ProcessHandle.of(pid).map(ProcessHandle::isAlive))
                    .isIn(Optional.empty(), Optional.of(false));
        }
    }

    /**
     * Guards against links that bypass the proxies, which would make fault tests pass vacuously.
     */
    @Test
    void requestsPassThroughAllProxies() throws Exception {
        ImmutableList<String> models = ImmutableList.of("small");
        FleetLayout layout = FleetLayout.of(1, 1, models, ImmutableList.of());
        try (ProcessFleet fleet = ProcessFleet.start(layout)) {
            fleet.awaitReady(TIMEOUT);
            try (FleetAdmin admin =
                    FleetAdmin.create(fleet.entryUrl("entry-1"), EmbeddedFleet.OPERATOR_KEY)) {
                admin.addModel("small", 1, 1);
                admin.addContract("acme", "key", models, ImmutableList.of());
            }
            ObjectNode body = FleetCaller.chat("small", "hello", 5);
            try (FleetCaller caller = FleetCaller.create(fleet.entryUrl("entry-1"), "key")) {
                assertThat(awaitText(caller, body)).isEqualTo(EngineOutput.expectedText(body));
            }
            assertThat(fleet.proxy("entry-1", Link.STORE).accepted()).isPositive();
            assertThat(fleet.standIns().store().reads()).isPositive();
            assertThat(fleet.proxy("agent-engine-1", Link.FLEET).accepted()).isPositive();
            assertThat(fleet.proxy("agent-engine-1", Link.TARGET).accepted()).isPositive();
            assertThat(fleet.standIns().engineLedger().runsWithPrompt("hello"))
                    .extracting(EngineRun::state)
                    .contains(EngineRun.State.COMPLETED);
        }
    }

    /** Repeats a request until the entry has the configuration and is connected to the agent. */
    private static String awaitText(FleetCaller caller, ObjectNode body) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        HttpResponse response = caller.post("/v1/chat/completions", body);
        while (response.status() != 200 && System.nanoTime() - deadline < 0) {
            Thread.sleep(50);
            response = caller.post("/v1/chat/completions", body);
        }
        return FleetCaller.text(new ObjectMapper().readTree(response.body()));
    }

    /** Guards against two fleets that are assigned the same ports. */
    @Test
    void portsAreAllocatedOnce() {
        ImmutableList.Builder<Integer> ports = ImmutableList.builder();
        for (int i = 0; i < 300; i++) {
            ports.add(Ports.allocate());
        }
        assertThat(ports.build()).doesNotHaveDuplicates();
        ports.build().forEach(Ports::release);
    }
}
