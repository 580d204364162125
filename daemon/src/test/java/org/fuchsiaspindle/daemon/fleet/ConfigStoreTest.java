package org.fuchsiaspindle.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.Stream;
import org.fuchsiaspindle.core.config.ChangeRequest;
import org.fuchsiaspindle.core.config.ConfigChange;
import org.fuchsiaspindle.core.config.ConfigConflictException;
import org.fuchsiaspindle.core.config.DocumentKey;
import org.fuchsiaspindle.core.config.DocumentKind;
import org.fuchsiaspindle.core.document.InvalidDocumentException;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.membership.Rendezvous;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.daemon.fleet.FaultyTable.CommitFault;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.PeerStatus;
import org.junit.jupiter.api.Test;

/** Guards against lost, duplicated or reverted configuration changes. */
final class ConfigStoreTest {

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final FaultyTable table = new FaultyTable();
    private final Node first = new Node("entry-1");
    private final Node second = new Node("entry-2");

    @Test
    void submit_ofTheSameChangeTwice_returnsTheFirstOutcome() {
        assertThat(first.store.submit(model("c-1", "m-1", "1"))).isEqualTo(1);
        assertThat(first.store.submit(model("c-2", "m-2", "1"))).isEqualTo(2);
        assertThat(second.store.submit(model("c-1", "m-1", "1"))).isEqualTo(1);
        assertThat(second.store.current().version()).isEqualTo(2);
        assertThatThrownBy(() -> second.store.submit(model("c-1", "m-1", "2")))
                .satisfies(e -> assertCode(e, ResultCode.CHANGE_ID_REUSED));
    }

    @Test
    void submit_onAStaleBase_listsWhatChangedSince() {
        first.store.submit(model("c-1", "m-1", "1"));
        second.store.submit(model("c-2", "m-1", "2"));
        assertThatThrownBy(() -> first.store.submit(withBase(model("c-3", "m-1", "3"), 1)))
                .isInstanceOfSatisfying(
                        ConfigConflictException.class,
                        e ->
                                assertThat(e.changes())
                                        .extracting(ConfigChange::changeId)
                                        .containsExactly("c-2"));
        assertThat(first.store.submit(withBase(model("c-3", "m-1", "3"), 2))).isEqualTo(3);
    }

    @Test
    void submit_byConcurrentOperators_acceptsOneChangePerVersion() {
        table.beforeNextCommit(() -> second.store.submit(model("c-2", "m-1", "2")));
        assertThat(first.store.submit(model("c-1", "m-1", "1"))).isEqualTo(2);
        table.beforeNextCommit(() -> second.store.submit(model("c-4", "m-1", "4")));
        assertThatThrownBy(() -> first.store.submit(withBase(model("c-3", "m-1", "3"), 2)))
                .isInstanceOf(ConfigConflictException.class);
        assertThat(first.store.log(0, 9))
                .extracting(ConfigChange::changeId)
                .containsExactly("c-2", "c-1", "c-4");
    }

    @Test
    void submit_withALostRequestOrResponse_takesEffectOnce() {
        table.faultNextCommit(CommitFault.REQUEST_LOST);
        assertThat(first.store.submit(withBase(model("c-1", "m-1", "1"), 0))).isEqualTo(1);
        table.faultNextCommit(CommitFault.RESPONSE_LOST);
        assertThat(first.store.submit(withBase(model("c-2", "m-1", "2"), 1))).isEqualTo(2);
        assertThat(first.store.log(0, 9)).hasSize(2);
    }

    @Test
    void submit_whoseCommitIsDelayed_doesNotConflictWithItself() {
        for (int reads = 0; reads < 6; reads++) {
            long base = first.store.current().version();
            table.delayNextCommitByReads(reads);
            ChangeRequest request = withBase(model("c-" + reads, "m-1", "v" + reads), base);
            assertThat(first.store.submit(request)).as("reads %s", reads).isEqualTo(base + 1);
            assertThat(first.store.submit(request)).isEqualTo(base + 1);
        }
        assertThat(first.store.log(0, 99)).hasSize(6);
    }

    @Test
    void submit_withALostResponseAndTheTableDown_reportsAnUnknownOutcome() {
        table.faultNextCommit(CommitFault.RESPONSE_LOST);
        table.setDownAfterNextCommit();
        assertThatThrownBy(() -> first.store.submit(model("c-1", "m-1", "1")))
                .satisfies(e -> assertCode(e, ResultCode.WRITE_OUTCOME_UNKNOWN))
                .extracting(e -> ((FuchsiaspindleException) e).executed())
                .isEqualTo(Executed.UNKNOWN);
        assertThatThrownBy(() -> first.store.submit(model("c-2", "m-1", "2")))
                .isInstanceOf(TableUnavailableException.class);
        table.setDown(false);
        assertThat(first.store.submit(model("c-1", "m-1", "1"))).isEqualTo(1);
    }

    @Test
    void submit_ofAKeyOfAnotherCustomer_isRefused() {
        String contract =
                "{\"keys_sha256\":[\"%s\"],\"online\":{\"requests_per_second\":1,\"burst\":1,"
                        + "\"concurrency\":1}}";
        String json = contract.formatted("ab".repeat(32));
        first.store.submit(change("c-1", DocumentKind.CONTRACT, "acme", json));
        first.store.submit(change("c-2", DocumentKind.CONTRACT, "acme", json));
        assertThatThrownBy(
                        () ->
                                second.store.submit(
                                        change("c-3", DocumentKind.CONTRACT, "other", json)))
                .isInstanceOf(InvalidDocumentException.class)
                .hasMessageContaining("belongs to customer acme");
    }

    @Test
    void tick_withTheTableUp_isReadyWithTheHeadAndFollowsIt() {
        first.store.submit(model("c-1", "m-1", "1"));
        second.store.tick();
        assertThat(second.store.isReady()).isTrue();
        assertThat(second.store.current().version()).isEqualTo(1);
        first.store.submit(model("c-2", "m-2", "1"));
        second.store.tick();
        assertThat(second.store.current().models()).containsKey("m-2");
    }

    @Test
    void tick_withTheTableDown_isReadyOnlyWithTheHighestVersionOfThePeers() {
        first.store.submit(model("c-1", "m-1", "1"));
        second.store.tick();
        first.store.submit(model("c-2", "m-2", "1"));
        table.setDown(true);
        Node restarted = new Node("entry-3");
        restarted.store.tick();
        assertThat(restarted.store.isReady()).isFalse();
        link(second, restarted);
        link(first, restarted);
        second.statuses.sendNow();
        deliver(second, restarted);
        first.statuses.sendNow();
        restarted.store.tick();
        assertThat(restarted.store.isReady()).isFalse();
        for (int round = 0; round < 4; round++) {
            deliver(first, restarted);
            deliver(restarted, first);
        }
        restarted.store.tick();
        assertThat(restarted.store.isReady()).isTrue();
        assertThat(restarted.store.current().version()).isEqualTo(2);
    }

    @Test
    void statuses_reportWhetherTheTableIsReachable() {
        link(first, second);
        first.store.tick();
        assertThat(reachabilityReportedBy(first, second)).isTrue();
        table.setDown(true);
        first.store.tick();
        assertThat(reachabilityReportedBy(first, second)).isFalse();
        table.setDown(false);
        first.store.tick();
        assertThat(reachabilityReportedBy(first, second)).isTrue();
    }

    @Test
    void tick_ofAnEntryThatIsNotAReader_readsTheTableWhenAPeerReportsAnOutage() {
        List<String> ids = List.of("entry-1", "entry-2", "entry-3", "entry-4", "entry-5");
        List<String> readers = Rendezvous.lowest("reader", ids, 2);
        Node node = new Node(ids.stream().filter(id -> !readers.contains(id)).findFirst().get());
        ids.forEach(id -> node.directory.list(entry(id)));
        node.store.tick();
        assertThat(node.store.isReady()).isTrue();
        FakeConnection peer = FakeConnection.toEntry(readers.getFirst(), "dc-1");
        node.dispatcher.onFrame(peer, status(true));
        table.setDown(true);
        node.store.tick();
        assertThat(node.store.isTableReachable()).as("without a reason to read").isTrue();
        node.dispatcher.onFrame(peer, status(false));
        node.store.tick();
        assertThat(node.store.isTableReachable()).isFalse();
    }

    @Test
    void receive_fromAStalePeer_neverLowersTheVersion() {
        second.store.submit(model("c-1", "m-1", "1"));
        Frame oldUpdate =
                Frame.newBuilder()
                        .setConfigUpdate(
                                ConfigMessages.updates(replicaOf(second), 0, false).getFirst())
                        .build();
        first.store.submit(model("c-2", "m-1", "2"));
        first.dispatcher.onFrame(FakeConnection.toEntry("entry-2", "dc-1"), oldUpdate);
        assertThat(first.store.current().version()).isEqualTo(2);
        assertThat(first.store.current().models().get("m-1").version()).isEqualTo("2");
    }

    @Test
    void agents_withAnOldVersion_receiveOnlyDocumentsForTargets() {
        FrameDispatcher agentDispatcher = FrameDispatcher.create();
        try (AgentConfig agent = AgentConfig.create(agentDispatcher)) {
            first.store.submit(model("c-1", "m-1", "1"));
            String contract =
                    "{\"online\":{\"requests_per_second\":1,\"burst\":1,\"concurrency\":1}}";
            first.store.submit(change("c-2", DocumentKind.CONTRACT, "acme", contract));
            FakeConnection toAgent = FakeConnection.toAgent("agent-1", "dc-1");
            first.dispatcher.onFrame(
                    toAgent,
                    Frame.newBuilder().setLoadReport(LoadReport.getDefaultInstance()).build());
            var latch = new java.util.concurrent.CountDownLatch(1);
            agent.onChange(snapshot -> latch.countDown());
            FakeConnection toEntry = FakeConnection.toEntry("entry-1", "dc-1");
            toAgent.takeSent().forEach(frame -> agentDispatcher.onFrame(toEntry, frame));
            latch.await();
            assertThat(agent.isReady()).isTrue();
            assertThat(agent.current().version()).isEqualTo(2);
            assertThat(agent.current().models()).containsKey("m-1");
            assertThat(agent.current().contracts()).isEmpty();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void agents_ofANewInstallation_areReadyWithAnEmptyConfiguration() throws Exception {
        FrameDispatcher agentDispatcher = FrameDispatcher.create();
        try (AgentConfig agent = AgentConfig.create(agentDispatcher)) {
            FakeConnection toAgent = FakeConnection.toAgent("agent-1", "dc-1");
            FakeConnection toEntry = FakeConnection.toEntry("entry-1", "dc-1");
            first.directory.connect(toAgent);
            agentDispatcher.onOpen(toEntry);
            toEntry.takeSent().forEach(frame -> first.dispatcher.onFrame(toAgent, frame));
            assertThat(toAgent.takeSent()).as("before the entry is ready").isEmpty();
            first.store.tick();
            toAgent.takeSent().forEach(frame -> agentDispatcher.onFrame(toEntry, frame));
            while (!agent.isReady()) {
                Thread.sleep(Duration.ofMillis(1));
            }
            assertThat(agent.current().version()).isZero();
        }
    }

    @Test
    void receive_ofAStateOfManyPages_appliesItAtomically() {
        String reason = "{\"reason\":\"" + "x".repeat(400_000) + "\"}";
        for (int i = 0; i < 8; i++) {
            first.store.submit(change("c-" + i, DocumentKind.DRAIN, "agent-" + i, reason));
        }
        table.setDown(true);
        link(first, second);
        first.statuses.sendNow();
        deliver(first, second);
        deliver(second, first);
        assertThat(first.to(second).takeSent())
                .hasSizeGreaterThan(3)
                .allSatisfy(
                        frame -> {
                            assertThat(second.store.current().version()).isZero();
                            second.dispatcher.onFrame(second.to(first), frame);
                        });
        assertThat(second.store.current().drained()).hasSize(8);
    }

    @Test
    void onPeerStatus_ofANewerPeer_sendsOneRequestPerInterval() {
        FakeConnection peer = FakeConnection.toEntry("entry-9", "dc-1");
        Frame status =
                Frame.newBuilder()
                        .setPeerStatus(PeerStatus.newBuilder().setConfigVersion(5))
                        .build();
        first.dispatcher.onFrame(peer, status);
        first.dispatcher.onFrame(peer, status);
        assertThat(peer.takeSent()).hasSize(1);
        clock.advance(Duration.ofSeconds(1));
        first.dispatcher.onFrame(peer, status);
        assertThat(peer.takeSent()).hasSize(1);
    }

    private static org.fuchsiaspindle.core.config.ConfigReplica replicaOf(Node node) {
        var replica = org.fuchsiaspindle.core.config.ConfigReplica.create();
        replica.offerFull(node.store.state().version(), node.store.state().documents().values());
        return replica;
    }

    private static boolean reachabilityReportedBy(Node from, Node to) {
        from.to(to).takeSent();
        from.statuses.sendNow();
        return from.to(to).takeSent().getFirst().getPeerStatus().getTableReachable();
    }

    private static Frame status(boolean tableReachable) {
        return Frame.newBuilder()
                .setPeerStatus(PeerStatus.newBuilder().setTableReachable(tableReachable))
                .build();
    }

    private static ListedInstance entry(String id) {
        return new ListedInstance(
                id,
                ListedInstance.Role.ENTRY,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                "dc-1",
                "r-1",
                false,
                TargetKind.NONE,
                "");
    }

    private static void link(Node a, Node b) {
        a.directory.connect(FakeConnection.toEntry(b.id, "dc-1"));
        b.directory.connect(FakeConnection.toEntry(a.id, "dc-1"));
    }

    private static void deliver(Node from, Node to) {
        from.to(to).takeSent().forEach(frame -> to.dispatcher.onFrame(to.to(from), frame));
    }

    private static void assertCode(Throwable failure, ResultCode code) {
        assertThat(((FuchsiaspindleException) failure).code()).isEqualTo(code);
    }

    private static ChangeRequest model(String changeId, String name, String version) {
        return change(changeId, DocumentKind.MODEL, name, "{\"version\":\"" + version + "\"}");
    }

    private static ChangeRequest change(
            String changeId, DocumentKind kind, String name, String json) {
        return new ChangeRequest(
                changeId,
                OptionalLong.empty(),
                new DocumentKey(kind, name),
                Optional.of(json),
                "operator");
    }

    private static ChangeRequest withBase(ChangeRequest request, long version) {
        return new ChangeRequest(
                request.changeId(),
                OptionalLong.of(version),
                request.key(),
                request.document(),
                request.operator());
    }

    /** An entry without a network, whose messages the test delivers. */
    private final class Node {
        private final String id;
        private final FrameDispatcher dispatcher = FrameDispatcher.create();
        private final FakeDirectory directory = new FakeDirectory();
        private final PeerStatuses statuses;
        private final ConfigStore store;

        Node(String id) {
            this.id = id;
            statuses = PeerStatuses.create(dispatcher, directory, clock);
            store =
                    ConfigStore.create(
                            id,
                            "dc-1",
                            table,
                            dispatcher,
                            directory,
                            statuses,
                            LoadReports.create(dispatcher, clock),
                            clock,
                            new Random(Stream.of(id).hashCode()),
                            Runnable::run);
        }

        FakeConnection to(Node other) {
            return (FakeConnection) directory.connectionTo(other.id).orElseThrow();
        }
    }
}
