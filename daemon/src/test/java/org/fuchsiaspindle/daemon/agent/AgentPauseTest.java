package org.fuchsiaspindle.daemon.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.fuchsiaspindle.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against a paused agent that later runs work of entries that have disconnected. */
final class AgentPauseTest {

    /** Online streams that the agent runs at a time before it has observed any step time. */
    private static final int INITIAL_ONLINE_LIMIT = 32;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    void longPause_dropsTheWorkOfAllEntriesBeforeAnythingStarts() {
        try (AgentFixture agent = AgentFixture.engine(clock)) {
            FakeEntry entry = agent.entry("entry-1");
            for (int i = 0; i < INITIAL_ONLINE_LIMIT; i++) {
                entry.send(FakeEntry.completion("r" + i, "hold", 1));
            }
            Await.until(() -> agent.target().requests().size() == INITIAL_ONLINE_LIMIT);
            entry.send(FakeEntry.completion("late", "hold", 1));
            entry.awaitReport(r -> r.getOnlineWaiting() == 1);
            clock.advance(Duration.ofSeconds(5));
            entry.awaitClosed();
            Await.until(() -> agent.target().cancelled().size() == INITIAL_ONLINE_LIMIT);
            FakeEntry reconnected = agent.entry("entry-1");
            reconnected.awaitEnd(reconnected.send(FakeEntry.completion("next", "auto", 1)));
            assertThat(agent.target().requests())
                    .extracting(request -> request.path("request_id").asText())
                    .doesNotContain("late.1")
                    .endsWith("next.1");
        }
    }

    @Test
    void shortPause_keepsTheConnectionsAndTheStreams() {
        try (AgentFixture agent = AgentFixture.engine(clock)) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.completion("r1", "hold", 1));
            Await.until(() -> agent.target().requests().size() == 1);
            clock.advance(Duration.ofSeconds(1));
            long second = entry.send(FakeEntry.completion("r2", "auto", 1));
            assertThat(entry.awaitEnd(second).hasFinished()).isTrue();
            agent.target().permit("r1.1", 1);
            assertThat(entry.awaitEnd(stream).hasFinished()).isTrue();
        }
    }
}
