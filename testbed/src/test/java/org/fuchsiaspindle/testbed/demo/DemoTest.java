package org.fuchsiaspindle.testbed.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import org.junit.jupiter.api.Test;

class DemoTest {

    /** Guards against a public request type that fails on a fleet without faults. */
    @Test
    void everyResultIsCorrect() {
        StringWriter results = new StringWriter();
        try (DemoFleet fleet = DemoFleet.start(0);
                FleetCaller first = FleetCaller.create(fleet.url(0), DemoFleet.CUSTOMER_KEY);
                FleetCaller second = FleetCaller.create(fleet.url(1), DemoFleet.CUSTOMER_KEY)) {
            DemoScenario scenario =
                    new DemoScenario(
                            first,
                            second,
                            fleet.fleet().standIns().serviceLedger(),
                            new PrintWriter(results));
            int failures = scenario.run();
            assertThat(failures).as(results.toString()).isZero();
        }
        assertThat(results.toString().lines()).hasSize(12).allMatch(line -> line.startsWith("ok"));
    }
}
