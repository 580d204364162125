package org.fuchsiaspindle.daemon.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.wire.proto.Cancel;
import org.fuchsiaspindle.wire.proto.Chunk;
import org.fuchsiaspindle.wire.proto.Executed;
import org.fuchsiaspindle.wire.proto.Finished;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.Refused;
import org.fuchsiaspindle.wire.proto.Window;
import org.junit.jupiter.api.Test;

/** Guards against lost, repeated or mixed-up responses to online requests. */
final class AgentOnlineTest {

    @Test
    void execute_aCompletion_sendsStartedChunksAndFinishedInOrder() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            LoadReport report = entry.awaitReport(r -> r.getModelsCount() > 0);
            assertThat(report.getModelsList()).containsExactly("m1");
            long stream = entry.send(FakeEntry.completion("r1", "auto", 3));
            Finished finished = entry.awaitEnd(stream).getFinished();
            assertThat(finished.getFinishReason()).isEqualTo("length");
            assertThat(finished.getUsage().getCachedTokens()).isEqualTo(1);
            List<Frame> received =
                    entry.frames().stream().filter(f -> f.getStreamId() == stream).toList();
            assertThat(received.getFirst().hasStarted()).isTrue();
            assertThat(received.stream().filter(Frame::hasChunk).map(Frame::getChunk))
                    .extracting(Chunk::getOffset)
                    .containsExactly(0, 1, 2);
            assertThat(entry.text(stream)).isEqualTo("t0 t1 t2 ");
        }
    }

    @Test
    void execute_withResumedText_continuesAfterTheLastToken() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream =
                    entry.send(
                            FakeEntry.completion("r1", "auto", 4)
                                    .setAttempt(2)
                                    .setResumeText("t0 t1 ")
                                    .setResumeTokens(2));
            entry.awaitEnd(stream);
            assertThat(entry.text(stream)).isEqualTo("t2 t3 ");
            assertThat(agent.target().requests().getFirst().path("continue_text").asText())
                    .isEqualTo("t0 t1 ");
        }
    }

    @Test
    void execute_aRepeatedMessage_runsOnce() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.completion("r1", "auto", 2));
            entry.send(
                    Frame.newBuilder()
                            .setStreamId(stream)
                            .setExecute(FakeEntry.completion("r1", "auto", 2))
                            .build());
            long repeated = entry.send(FakeEntry.completion("r1", "auto", 2));
            assertThat(entry.awaitEnd(repeated).getRefused().getExecuted())
                    .isEqualTo(Executed.EXECUTED_UNKNOWN);
            entry.awaitEnd(stream);
            assertThat(agent.target().requests()).hasSize(1);
        }
    }

    @Test
    void execute_withASmallWindow_holdsChunksUntilGranted() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.completion("r1", "auto", 5).setWindow(4));
            Await.until(() -> agent.daemon().metrics().tokens() == 5);
            // Messages of one connection arrive in order, so all that were sent before have
            // arrived.
            entry.awaitEnd(entry.send(FakeEntry.completion("r2", "auto", 1)));
            assertThat(entry.text(stream)).isEqualTo("t0 t1 ");
            entry.send(
                    Frame.newBuilder()
                            .setStreamId(stream)
                            .setWindow(Window.newBuilder().setBytes(1000))
                            .build());
            assertThat(entry.awaitEnd(stream).hasFinished()).isTrue();
            assertThat(entry.text(stream)).isEqualTo("t0 t1 t2 t3 t4 ");
        }
    }

    @Test
    void cancel_aRunningStream_stopsItAtTheEngine() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.completion("r1", "hold", 2));
            agent.target().permit("r1.1", 1);
            entry.await(f -> f.getStreamId() == stream && f.hasChunk());
            entry.send(
                    Frame.newBuilder()
                            .setStreamId(stream)
                            .setCancel(Cancel.getDefaultInstance())
                            .build());
            assertThat(entry.awaitEnd(stream).getRefused().getCode())
                    .isEqualTo(ResultCode.CANCELLED.number());
            Await.until(() -> agent.target().cancelled().contains("r1.1"));
        }
    }

    @Test
    void execute_aRejectedPrompt_isRefusedAsNotExecuted() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.completion("r1", "reject", 2));
            Refused refused = entry.awaitEnd(stream).getRefused();
            assertThat(refused.getCode()).isEqualTo(ResultCode.MALFORMED_REQUEST.number());
            assertThat(refused.getExecuted()).isEqualTo(Executed.EXECUTED_NO);
        }
    }

    @Test
    void execute_aServiceCall_forwardsPathBodyAndStatus() {
        try (AgentFixture agent = AgentFixture.service()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.call("r1", "/echo/a?b=c"));
            Finished finished = entry.awaitEnd(stream).getFinished();
            assertThat(finished.getStatus()).isEqualTo(202);
            assertThat(finished.getBody().toStringUtf8()).isEqualTo("hello");
            assertThat(agent.target().calls()).containsExactly("/echo/a");
        }
    }
}
