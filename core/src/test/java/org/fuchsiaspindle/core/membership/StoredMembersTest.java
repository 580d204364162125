package org.fuchsiaspindle.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against processes that are overlooked, and rows of lost ones that count for ever. */
final class StoredMembersTest {

    private static final Duration RETENTION = Duration.ofMinutes(2);

    private final StoredMembers members = new StoredMembers();
    private long now = Duration.ofSeconds(100).toNanos();

    @Test
    void rowThatIsRenewed_isALiveProcess() {
        read(Map.of("a", 1L, "left", 2L));
        assertThat(members.isConfirmed()).isFalse();
        assertThat(members.renewedWithin(RETENTION, now)).isEmpty();
        read(Map.of("a", 5L, "left", 2L, "new", 6L));
        assertThat(members.isConfirmed()).isTrue();
        assertThat(members.renewedWithin(RETENTION, now)).containsExactlyInAnyOrder("a", "new");
        assertThat(members.presentWithin(RETENTION, now)).hasSize(3);
    }

    @Test
    void rowThatIsNotRenewed_countsForSomeTime() {
        read(Map.of("left", 2L));
        read(Map.of("left", 2L));
        assertThat(members.presentWithin(RETENTION, now)).containsExactly("left");
        now += RETENTION.toNanos();
        assertThat(members.presentWithin(RETENTION, now)).isEmpty();
    }

    /** Guards against two reads between which a live process had no time to renew its row. */
    @Test
    void readsInQuickSuccession_confirmNothing() {
        read(Map.of("a", 1L));
        members.update(Map.of("a", 1L), now + 1);
        assertThat(members.isConfirmed()).isFalse();
    }

    /** Guards against a second read that confirms nothing, because it was answered too soon. */
    @Test
    void secondRead_isDueWhenItsAnswerConfirms() {
        long firstStart = now;
        now += Duration.ofMillis(100).toNanos();
        members.update(Map.of("a", 1L), now);
        long tooEarly = firstStart + StoredMembers.CONFIRMATION_TIME.toNanos();
        assertThat(members.isReadDue(firstStart, true, tooEarly)).isFalse();
        now += StoredMembers.CONFIRMATION_TIME.toNanos();
        assertThat(members.isReadDue(firstStart, true, now)).isTrue();
        members.update(Map.of("a", 2L), now);
        assertThat(members.isConfirmed()).isTrue();
    }

    /** Guards against reads without a pause while the store fails. */
    @Test
    void readThatFails_isRepeatedAfterItsInterval() {
        assertThat(members.isReadDue(now, true, now + 1)).isFalse();
        long due = now + StoredMembers.CONFIRMATION_TIME.toNanos();
        assertThat(members.isReadDue(now, true, due)).isTrue();
    }

    /** Guards against a wait of all processes that start together and hear each other. */
    @Test
    void firstRead_isEnoughIfAllRowsAreOfHeardProcesses() {
        assertThat(members.isComplete(Set.of("a"))).isFalse();
        read(Map.of("a", 1L, "b", 1L));
        assertThat(members.isComplete(Set.of("a"))).isFalse();
        assertThat(members.isComplete(Set.of("a", "b"))).isTrue();
    }

    private void read(Map<String, Long> versions) {
        now += StoredMembers.CONFIRMATION_TIME.toNanos();
        members.update(versions, now);
    }
}
