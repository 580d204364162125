package org.fuchsiaspindle.daemon.agent;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.memory.InMemoryTable;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;
import org.fuchsiaspindle.wire.proto.Executed;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Order;
import org.fuchsiaspindle.wire.proto.OrderResult;
import org.fuchsiaspindle.wire.proto.Refused;
import org.fuchsiaspindle.wire.proto.ReturnedItem;
import org.junit.jupiter.api.Test;

/** Guards against lost work and wrong execution states when target, table or agent fail. */
final class AgentFaultTest {

    @Test
    void brokenCall_thatHadStarted_isNotReportedAsNotExecuted() {
        try (AgentFixture agent = AgentFixture.service()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.call("r1", "/break"));
            Refused refused = entry.awaitEnd(stream).getRefused();
            assertThat(refused.getCode()).isEqualTo(ResultCode.TARGET_LOST.number());
            assertThat(refused.getExecuted()).isEqualTo(Executed.EXECUTED_UNKNOWN);
            assertThat(entry.frames()).anyMatch(f -> f.getStreamId() == stream && f.hasStarted());
            assertThat(agent.target().calls()).hasSize(1);
            // The broken connection is not reused.
            long next = entry.send(FakeEntry.call("r2", "/echo"));
            assertThat(entry.awaitEnd(next).getFinished().getStatus()).isEqualTo(202);
        }
    }

    @Test
    void stoppedTarget_endsRunningAndWaitingWorkAndServesAgainAfterItsRestart() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            for (int i = 0; i < 32; i++) {
                entry.send(FakeEntry.completion("fill" + i, "hold", 1));
            }
            long running = entry.send(FakeEntry.completion("r0", "hold", 2));
            Await.until(() -> agent.target().requests().size() == 32);
            entry.sendItems(FakeEntry.item("j1", 0, "hold", 1));
            entry.awaitReport(r -> r.getOnlineWaiting() == 1 && r.getBatchWaiting() == 1);
            agent.stopTarget();
            Refused refused = entry.awaitEnd(running).getRefused();
            assertThat(refused.getCode()).isEqualTo(ResultCode.TARGET_LOST.number());
            assertThat(refused.getExecuted()).isEqualTo(Executed.EXECUTED_NO);
            ReturnedItem item = entry.await(Frame::hasBatchReturn).getBatchReturn().getItems(0);
            assertThat(item.getStarted()).isFalse();
            assertThat(item.getTargetLost()).isFalse();
            entry.awaitReport(r -> r.getCapacity() == 0 && r.getBatchWant() == 0);
            long beforeRestart = entry.send(FakeEntry.completion("r1", "auto", 1));
            assertThat(entry.awaitEnd(beforeRestart).getRefused().getExecuted())
                    .isEqualTo(Executed.EXECUTED_NO);
            agent.restartTarget();
            entry.awaitReport(r -> r.getCapacity() > 0);
            long afterRestart = entry.send(FakeEntry.completion("r2", "auto", 1));
            assertThat(entry.awaitEnd(afterRestart).hasFinished()).isTrue();
        }
    }

    @Test
    void failedProbe_stopsNewWorkButAbortsNoStream() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.completion("r1", "hold", 1));
            Await.until(() -> agent.target().requests().size() == 1);
            agent.target().failProbes();
            entry.awaitReport(r -> r.getCapacity() == 0);
            long refused = entry.send(FakeEntry.completion("r2", "auto", 1));
            assertThat(entry.awaitEnd(refused).getRefused().getExecuted())
                    .isEqualTo(Executed.EXECUTED_NO);
            agent.target().permit("r1.1", 1);
            assertThat(entry.awaitEnd(stream).hasFinished()).isTrue();
        }
    }

    @Test
    void hungTarget_isTreatedAsLost() {
        AgentTiming timing =
                new AgentTiming(
                        Duration.ofMillis(300),
                        Duration.ofMillis(50),
                        Duration.ofMillis(50),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(3),
                        Duration.ofMillis(50),
                        Duration.ofSeconds(2));
        try (AgentFixture agent = AgentFixture.engine(InMemoryTable.create(), timing)) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.completion("r1", "hold", 1));
            Refused refused = entry.awaitEnd(stream).getRefused();
            assertThat(refused.getCode()).isEqualTo(ResultCode.TARGET_LOST.number());
            assertThat(refused.getExecuted()).isEqualTo(Executed.EXECUTED_UNKNOWN);
        }
    }

    @Test
    void stop_finishesOnlineStreamsAndReturnsBatchWorkWithItsTokens() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            long stream = entry.send(FakeEntry.completion("r1", "hold", 2));
            entry.sendItems(FakeEntry.item("j1", 0, "hold", 3));
            Await.until(() -> agent.target().requests().size() == 2);
            agent.target().permit("j1.0.1.1.1", 1);
            agent.target().permit("r1.1", 1);
            entry.await(f -> f.getStreamId() == stream && f.hasChunk());
            Await.until(() -> agent.daemon().metrics().tokens() == 2);
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(agent::stopDaemon);
            entry.await(Frame::hasLeaving);
            ReturnedItem item = entry.await(Frame::hasBatchReturn).getBatchReturn().getItems(0);
            assertThat(item.getTargetLost()).isFalse();
            assertThat(item.getResumeText()).isEqualTo("t0 ");
            long refused = entry.send(FakeEntry.completion("r2", "auto", 1));
            assertThat(entry.awaitEnd(refused).getRefused().getCode())
                    .isEqualTo(ResultCode.TARGET_LEAVING.number());
            agent.target().permit("r1.1", 1);
            assertThat(entry.awaitEnd(stream).hasFinished()).isTrue();
            stopped.join();
            assertThat(entry.text(stream)).isEqualTo("t0 t1 ");
        }
    }

    @Test
    void listedAsLeaving_refusesNewWork() {
        try (AgentFixture agent = AgentFixture.engine()) {
            FakeEntry entry = agent.entry("entry-1");
            agent.instances()
                    .put(
                            new ListedInstance(
                                    "agent-1",
                                    ListedInstance.Role.AGENT,
                                    agent.daemon().fleetAddress(),
                                    "dc-1",
                                    "region-1",
                                    true,
                                    ListedInstance.TargetKind.ENGINE,
                                    "target-1"));
            entry.await(Frame::hasLeaving);
            entry.awaitReport(r -> r.getLeaving() && r.getBatchWant() == 0);
            long stream = entry.send(FakeEntry.completion("r1", "auto", 1));
            assertThat(entry.awaitEnd(stream).getRefused().getExecuted())
                    .isEqualTo(Executed.EXECUTED_NO);
        }
    }

    @Test
    void order_withAStaleFencingNumber_isNotForwarded() {
        InMemoryTable table = InMemoryTable.create();
        table.commit(
                Transaction.of(
                        new Operation.Put("lease/placement", 0, "{\"epoch\":7}".getBytes(UTF_8))));
        try (AgentFixture agent = AgentFixture.engine(table, AgentTiming.DEFAULT)) {
            FakeEntry entry = agent.entry("entry-1");
            entry.awaitReport(r -> r.getFencingNumber() == 7);
            assertThat(sendOrder(entry, "o1", 6).getCode())
                    .isEqualTo(ResultCode.STALE_FENCING_NUMBER.number());
            assertThat(sendOrder(entry, "o2", 8).getDone()).isTrue();
            assertThat(sendOrder(entry, "o3", 7).getAccepted()).isFalse();
            assertThat(agent.target().orders()).hasSize(1);
        }
    }

    @Test
    void order_whileTheTableIsDown_isRefused() {
        try (AgentFixture agent =
                AgentFixture.engine(new UnavailableTable(), AgentTiming.DEFAULT)) {
            FakeEntry entry = agent.entry("entry-1");
            assertThat(sendOrder(entry, "o1", 8).getCode())
                    .isEqualTo(ResultCode.FENCE_UNKNOWN.number());
            assertThat(agent.target().orders()).isEmpty();
        }
    }

    private static OrderResult sendOrder(FakeEntry entry, String id, long fencingNumber) {
        long stream =
                entry.sendOrder(
                        Order.newBuilder()
                                .setOrderId(id)
                                .setFencingNumber(fencingNumber)
                                .setAction("load")
                                .setModel("m2")
                                .setVersion("1"));
        return entry.await(f -> f.getStreamId() == stream && f.hasOrderResult()).getOrderResult();
    }

    /** A table that does not respond. */
    private static final class UnavailableTable implements TableService {

        @Override
        public Optional<Row> read(String key) {
            throw new TableUnavailableException("down", null);
        }

        @Override
        public List<Row> readPrefix(String prefix, String afterKey, int limit) {
            throw new TableUnavailableException("down", null);
        }

        @Override
        public long commit(Transaction transaction) {
            throw new TableUnavailableException("down", null);
        }
    }
}
