package org.fuchsiaspindle.daemon.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.fuchsiaspindle.wire.proto.BatchCancel;
import org.fuchsiaspindle.wire.proto.BatchItem;
import org.fuchsiaspindle.wire.proto.BatchResult;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.ReturnedItem;
import org.junit.jupiter.api.Test;

/** Guards against batch items that are lost, run twice, or that delay online requests. */
final class AgentBatchTest {

    /** Streams that the agent runs at a time before it has observed any step time. */
    private static final int INITIAL_LIMIT = 16;

    @Test
    void batchItems_sentRepeatedly_getOneResultWithTheCompleteText() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            assertThat(entry.awaitReport(r -> r.getBatchWant() > 0).getBatchWant()).isPositive();
            BatchItem item =
                    FakeEntry.item("j1", 0, "auto", 3).toBuilder()
                            .setResumeText("t0 ")
                            .setResumeTokens(1)
                            .build();
            entry.sendItems(item, item);
            entry.sendItems(item);
            BatchResult result = entry.await(Frame::hasBatchResult).getBatchResult();
            assertThat(result.getStatus()).isEqualTo(200);
            assertThat(result.getText()).isEqualTo("t0 t1 t2 ");
            entry.sendItems(item, FakeEntry.item("j1", 1, "auto", 1));
            entry.await(f -> f.hasBatchResult() && f.getBatchResult().getItem() == 1);
            assertThat(agent.target().requests()).hasSize(2);
            assertThat(entry.frames().stream().filter(Frame::hasBatchResult)).hasSize(2);
        }
    }

    @Test
    void batchItems_thatTheEngineRejects_getAResultWithItsStatus() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            entry.sendItems(FakeEntry.item("j1", 0, "reject", 3));
            assertThat(entry.await(Frame::hasBatchResult).getBatchResult().getStatus())
                    .isEqualTo(400);
        }
    }

    @Test
    void batchItems_whoseModelIsNoLongerLoaded_areReturnedAsNotStarted() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            entry.sendItems(FakeEntry.item("j1", 0, "missing", 3));
            ReturnedItem item = entry.await(Frame::hasBatchReturn).getBatchReturn().getItems(0);
            assertThat(item.getStarted()).isFalse();
            assertThat(item.getTargetLost()).isFalse();
        }
    }

    @Test
    void onlineRequest_onAFullTarget_preemptsABatchStreamThatResumesWithItsTokens() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            for (int i = 0; i < INITIAL_LIMIT; i++) {
                entry.sendItems(FakeEntry.item("j1", i, "hold", 3));
            }
            Await.until(() -> agent.target().requests().size() == INITIAL_LIMIT);
            // All streams but one emit a second token, so preempting that one discards the least
            // work.
            for (int i = 0; i < INITIAL_LIMIT; i++) {
                agent.target().permit("j1." + i + ".1.1.1", 1);
            }
            Await.until(() -> agent.daemon().metrics().tokens() == INITIAL_LIMIT);
            for (int i = 0; i < INITIAL_LIMIT; i++) {
                agent.target().permit("j1." + i + ".1.1.1", i == 5 ? 0 : 1);
            }
            Await.until(() -> agent.daemon().metrics().tokens() == 2 * INITIAL_LIMIT - 1);
            long stream = entry.send(FakeEntry.completion("r1", "hold", 1));
            Await.until(() -> agent.target().cancelled().size() == 1);
            assertThat(agent.target().cancelled()).containsExactly("j1.5.1.1.1");
            agent.target().permit("r1.1", 1);
            assertThat(entry.awaitEnd(stream).hasFinished()).isTrue();
            // The slot of the online request stays reserved as headroom, so another stream has to
            // end.
            agent.target().permit("j1.0.1.1.1", 1);
            JsonNode resumed =
                    Await.untilFound(
                            () ->
                                    agent.target().requests().stream()
                                            .filter(r -> r.has("continue_text"))
                                            .findFirst()
                                            .orElse(null));
            assertThat(resumed.path("request_id").asText()).isEqualTo("j1.5.1.1.2");
            assertThat(resumed.path("continue_text").asText()).isEqualTo("t0 ");
            agent.target().permit("j1.5.1.1.2", 2);
            BatchResult result =
                    entry.await(f -> f.hasBatchResult() && f.getBatchResult().getItem() == 5)
                            .getBatchResult();
            assertThat(result.getText()).isEqualTo("t0 t1 t2 ");
        }
    }

    @Test
    void batchCancel_stopsAndReturnsTheItemsOfTheJobOnly() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            entry.sendItems(FakeEntry.item("j1", 0, "hold", 1), FakeEntry.item("j2", 0, "hold", 1));
            Await.until(() -> agent.target().requests().size() == 2);
            entry.send(
                    Frame.newBuilder()
                            .setBatchCancel(BatchCancel.newBuilder().setJobId("j1"))
                            .build());
            Await.until(() -> agent.target().cancelled().contains("j1.0.1.1.1"));
            agent.target().permit("j2.0.1.1.1", 1);
            assertThat(entry.await(Frame::hasBatchResult).getBatchResult().getJobId())
                    .isEqualTo("j2");
        }
    }

    @Test
    void closedConnection_dropsOnlyItsOwnItems() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry first = agent.entry("entry-1");
            FakeEntry second = agent.entry("entry-2");
            first.sendItems(FakeEntry.item("j1", 0, "hold", 1));
            second.sendItems(FakeEntry.item("j2", 0, "hold", 1));
            Await.until(() -> agent.target().requests().size() == 2);
            first.close();
            Await.until(() -> agent.target().cancelled().contains("j1.0.1.1.1"));
            agent.target().permit("j2.0.1.1.1", 1);
            assertThat(second.await(Frame::hasBatchResult).getBatchResult().getJobId())
                    .isEqualTo("j2");
        }
    }

    @Test
    void brokenStream_returnsTheItemWithItsTokensAsTargetLost() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            entry.sendItems(FakeEntry.item("j1", 0, "crash", 3));
            agent.target().permit("j1.0.1.1.1", 3);
            List<ReturnedItem> returned =
                    entry.await(Frame::hasBatchReturn).getBatchReturn().getItemsList();
            assertThat(returned).hasSize(1);
            assertThat(returned.getFirst().getTargetLost()).isTrue();
            assertThat(returned.getFirst().getStarted()).isTrue();
            assertThat(returned.getFirst().getResumeText()).isEqualTo("t0 t1 ");
            assertThat(returned.getFirst().getResumeTokens()).isEqualTo(2);
            // The same attempt may be sent again, because it was returned.
            entry.sendItems(FakeEntry.item("j1", 0, "auto", 3));
            assertThat(entry.await(Frame::hasBatchResult).getBatchResult().getText())
                    .isEqualTo("t0 t1 t2 ");
        }
    }
}
