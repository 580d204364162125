package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the emulator itself against faults that look like faults of the gateways. */
final class PlatformEmulatorTest {

    private static final int FIRST_EPHEMERAL_PORT = 32_000;

    /**
     * Guards against ports that the system hands out again between their choice and their use, so
     * that a gateway does not start: a port is held as long as its emulator is open.
     */
    @Test
    void portsOfOpenEmulators_areNotHandedOutToOthers() {
        try (PlatformEmulator first = PlatformEmulator.start();
                PlatformEmulator second = PlatformEmulator.start()) {
            assertThat(first.ports())
                    .doesNotHaveDuplicates()
                    .doesNotContainAnyElementsOf(second.ports());
            // Ports from here on may be given to any connection that is opened meanwhile.
            assertThat(first.ports()).allMatch(port -> port < FIRST_EPHEMERAL_PORT);
        }
    }
}
