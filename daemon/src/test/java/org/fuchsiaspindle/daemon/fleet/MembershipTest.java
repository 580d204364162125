package org.fuchsiaspindle.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.platform.instance.InstanceList;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;
import org.fuchsiaspindle.platform.memory.InMemoryInstances;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Leaving;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.fuchsiaspindle.wire.transport.FleetListener;
import org.fuchsiaspindle.wire.transport.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost connections that are not re-established, and against new work for leaving or
 * lost targets.
 */
final class MembershipTest {

    private static final Peer SELF = new Peer("entry-1", "1", Role.ROLE_ENTRY, "dc-1", "");

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final InMemoryInstances instances = InMemoryInstances.create();
    private final FrameDispatcher dispatcher = FrameDispatcher.create();
    private final List<InetSocketAddress> dialled = new ArrayList<>();
    private final Set<String> unreachable = new HashSet<>();
    private boolean listUnavailable;
    private final InstanceList list =
            () -> {
                if (listUnavailable) {
                    throw new FuchsiaspindleException(
                            ResultCode.INSTANCE_LIST_UNAVAILABLE, "unavailable");
                }
                return instances.list();
            };
    private final Membership membership =
            Membership.create(
                    SELF,
                    list,
                    this::connect,
                    dispatcher,
                    clock,
                    new Random(1),
                    List.of(address(900)));

    @AfterEach
    void close() {
        membership.close();
    }

    @Test
    void dial_withAListedFleet_connectsToAllOthersOnce() {
        listFleet(3);
        membership.poll();
        membership.dial();
        membership.dial();
        assertThat(membership.agents()).hasSize(3);
        assertThat(membership.entries()).hasSize(1);
        assertThat(dialled).hasSize(4);
        assertThat(membership.connectionTo("agent-2")).isPresent();
    }

    @Test
    void dial_afterALostConnection_reconnectsWithGrowingDelays() {
        listFleet(3);
        membership.poll();
        membership.dial();
        unreachable.add("agent-1");
        disconnect("agent-1");
        dialled.clear();
        for (int i = 0; i < 100; i++) {
            membership.dial();
            clock.advance(Duration.ofMillis(100));
        }
        assertThat(dialled).hasSizeBetween(7, 20);
        unreachable.clear();
        clock.advance(Duration.ofSeconds(2));
        membership.dial();
        assertThat(membership.connectionTo("agent-1")).isPresent();
    }

    @Test
    void isLeaving_afterALeavingMessage_isTrueUntilTheNextConnection() {
        listFleet(3);
        membership.poll();
        membership.dial();
        List<String> announced = new ArrayList<>();
        membership.onLeaving(announced::add);
        FleetConnection connection = membership.connectionTo("agent-1").orElseThrow();
        dispatcher.onFrame(
                connection, Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()).build());
        assertThat(membership.isLeaving("agent-1")).isTrue();
        assertThat(announced).containsExactly("agent-1");
        disconnect("agent-1");
        membership.dial();
        assertThat(membership.isLeaving("agent-1")).isFalse();
    }

    @Test
    void isLeaving_forAListedLeavingOrDrainedTarget_isTrueAtOnce() {
        listFleet(3);
        membership.poll();
        membership.dial();
        instances.put(agent(1, true));
        membership.setDrainedPredicate("agent-2"::equals);
        membership.poll();
        assertThat(membership.isLeaving("agent-1")).isTrue();
        assertThat(membership.isLeaving("agent-2")).isTrue();
        assertThat(membership.isLeaving("agent-3")).isFalse();
        assertThat(membership.connectionTo("agent-1")).isPresent();
    }

    /** Guards against a process that starts while the list is unavailable and reaches nobody. */
    @Test
    void listOfAPeer_isUsedUntilTheListWasRead() {
        listUnavailable = true;
        membership.poll();
        FleetConnection peer = FakeConnection.toEntry("entry-2", "dc-1");
        dispatcher.onOpen(peer);
        dispatcher.onFrame(peer, InstanceMessages.share(List.of(agent(1, false), agent(2, false))));
        assertThat(membership.instances()).hasSize(2);
        membership.dial();
        assertThat(membership.connectionTo("agent-2")).isPresent();
        listUnavailable = false;
        listFleet(3);
        membership.poll();
        assertThat(membership.instances()).hasSize(5);
        dispatcher.onFrame(peer, InstanceMessages.share(List.of(agent(1, false))));
        assertThat(membership.instances()).hasSize(5);
    }

    @Test
    void poll_whenTheListIsUnavailable_keepsTheLastList() {
        listFleet(3);
        membership.poll();
        membership.dial();
        listUnavailable = true;
        membership.poll();
        assertThat(membership.instances()).hasSize(5);
        assertThat(membership.agents()).hasSize(3);
    }

    @Test
    void instances_afterOneLoss_dropsTheLostOneButNoneWhenCutOff() {
        listFleet(3);
        membership.poll();
        membership.dial();
        unreachable.add("agent-1");
        disconnect("agent-1");
        clock.advance(Duration.ofSeconds(7));
        membership.poll();
        assertThat(membership.instances()).extracting(ListedInstance::id).doesNotContain("agent-1");
        assertThat(membership.listed()).containsKey("agent-1");
        unreachable.addAll(List.of("agent-2", "agent-3"));
        disconnect("agent-2");
        disconnect("agent-3");
        clock.advance(Duration.ofSeconds(7));
        membership.poll();
        assertThat(membership.isCutOff()).isTrue();
        assertThat(membership.instances()).hasSize(5);
    }

    @Test
    void dial_beforeTheListIsKnown_usesTheSeeds() {
        listUnavailable = true;
        membership.poll();
        membership.dial();
        assertThat(dialled).containsExactly(address(900));
        assertThat(membership.entries()).hasSize(1);
        clock.advance(Duration.ofSeconds(5));
        membership.dial();
        assertThat(dialled).hasSize(1);
    }

    private void listFleet(int agents) {
        instances.put(entry(1));
        instances.put(entry(2));
        for (int i = 1; i <= agents; i++) {
            instances.put(agent(i, false));
        }
    }

    private void disconnect(String id) {
        FleetConnection connection = membership.connectionTo(id).orElseThrow();
        connection.close();
        dispatcher.onClose(connection);
    }

    private CompletableFuture<FleetConnection> connect(
            InetSocketAddress address, FleetListener listener) {
        dialled.add(address);
        String id = address.getPort() < 500 ? "agent-" + address.getPort() : "entry-9";
        if (address.getPort() == 502) {
            id = "entry-2";
        }
        if (unreachable.contains(id)) {
            return CompletableFuture.failedFuture(new IllegalStateException("refused"));
        }
        FleetConnection connection =
                id.startsWith("agent")
                        ? FakeConnection.toAgent(id, "dc-1")
                        : FakeConnection.toEntry(id, "dc-1");
        listener.onOpen(connection);
        return CompletableFuture.completedFuture(connection);
    }

    private static ListedInstance entry(int number) {
        return new ListedInstance(
                "entry-" + number,
                ListedInstance.Role.ENTRY,
                address(500 + number),
                "dc-1",
                "r-1",
                false,
                TargetKind.NONE,
                "");
    }

    private static ListedInstance agent(int number, boolean leaving) {
        return new ListedInstance(
                "agent-" + number,
                ListedInstance.Role.AGENT,
                address(number),
                "dc-1",
                "r-1",
                leaving,
                TargetKind.ENGINE,
                "engine-" + number);
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
