package org.fuchsiaspindle.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against peers that miss an address, and against heartbeats that always carry all
 * addresses.
 */
final class AddressAnnouncementTest {

    /** Guards against addresses that take more than their part of the traffic in a large fleet. */
    @Test
    void bytesOfRepeatedAddresses_doNotGrowWithTheFleet() {
        int bytesPerAddress = 14;
        // The goal for all control traffic of a process.
        int maxBytesPerSecond = 21_000;
        for (int size : new int[] {7, 43, 100, 400, 1000}) {
            double bytesPerInterval = (double) size * size * bytesPerAddress;
            double seconds = AddressAnnouncement.repeatInterval(size).toMillis() / 1000.0;
            assertThat(bytesPerInterval / seconds).isLessThan(maxBytesPerSecond);
        }
    }

    private static final Set<String> TWO = Set.of("10.0.0.1", "10.0.0.2");
    private static final Set<String> THREE = Set.of("10.0.0.1", "10.0.0.2", "10.0.0.3");

    private final AddressAnnouncement announcement = new AddressAnnouncement();

    @Test
    void unchangedAddresses_areNotSentWithEveryHeartbeat() {
        announcement.recordSent(TWO, 0);
        assertThat(announcement.addressesToSend(TWO, 1)).isEmpty();
    }

    @Test
    void changedAddresses_areSentAtOnce() {
        announcement.recordSent(TWO, 0);
        assertThat(announcement.addressesToSend(THREE, 1)).isEqualTo(THREE);
        announcement.recordSent(THREE, 1);
        assertThat(announcement.addressesToSend(TWO, 2)).isEqualTo(TWO);
    }

    /** Addresses of a heartbeat that could not be sent must not count as sent. */
    @Test
    void addressesThatWereNotSent_stayDue() {
        assertThat(announcement.addressesToSend(TWO, 0)).isEqualTo(TWO);
        assertThat(announcement.addressesToSend(TWO, 1)).isEqualTo(TWO);
    }

    /** A peer drops an address that it cannot reach for long, and has to learn it again. */
    @Test
    void unchangedAddresses_areRepeatedAfterTheInterval() {
        announcement.recordSent(TWO, 0);
        announcement.recordSent(Set.of(), 7);
        assertThat(announcement.addressesToSend(TWO, AddressAnnouncement.REPEAT_INTERVAL.toNanos()))
                .isEqualTo(TWO);
    }
}
