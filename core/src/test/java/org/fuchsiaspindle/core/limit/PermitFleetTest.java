package org.fuchsiaspindle.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.limit.PermitSimulation.Node;
import org.fuchsiaspindle.core.limit.PermitSimulation.Usage;
import org.junit.jupiter.api.Test;

/**
 * Guards against refusals of requests that lie below their limit in a fleet of usual size, and
 * against more permits than the limit allows there.
 */
class PermitFleetTest {

    private static final long MILLI = PermitSimulation.MILLI;
    private static final long SECOND = PermitSimulation.SECOND;
    private static final long SPAN = 5 * SECOND;
    private static final int GATEWAYS = 34;
    private static final RateLimit LARGE = new RateLimit(96, 10);
    private static final RateLimit SMALL = new RateLimit(0.5, 0);

    private final PermitSimulation simulation = new PermitSimulation(1, GATEWAYS, 3);

    private Usage usage(String workspace) {
        return simulation.usages.get(workspace);
    }

    private void limit(String workspace, RateLimit limit) {
        simulation.limits.put(workspace, new VersionedLimit(1, limit));
    }

    private void assertBound(String workspace, RateLimit limit) {
        assertAtMost(
                PermitSimulation.bound(limit, 5), usage(workspace).mostIn(SPAN, 0, Long.MAX_VALUE));
    }

    private static void assertAtMost(double limit, double value) {
        assertTrue(value <= limit, value + " > " + limit);
    }

    private static void assertAtLeast(double limit, double value) {
        assertTrue(value >= limit, value + " < " + limit);
    }

    /** Guards against a small workspace that is refused because the limit is divided by many. */
    @Test
    void smallWorkspaceIsNeverRefusedWhileInTouch() {
        for (int i = 0; i < 20; i++) {
            limit("small-" + i, SMALL);
        }
        simulation.startAll();
        for (int i = 0; i < 20; i++) {
            for (long at = (3 + i % 5) * SECOND; at < 60 * SECOND; at += 10 * SECOND) {
                Node node = simulation.nodes.get(simulation.random.nextInt(GATEWAYS));
                String workspace = "small-" + i;
                simulation.schedule(at, () -> node.request(workspace));
            }
        }
        // Planned stops and starts move the slices to other granters.
        for (int i = 0; i < GATEWAYS; i += 5) {
            Node node = simulation.nodes.get(i);
            simulation.schedule((10 + i) * SECOND, () -> node.stopping = true);
            simulation.schedule((11 + i) * SECOND, node::kill);
            simulation.schedule((12 + i) * SECOND, node::start);
        }
        simulation.runUntil(61 * SECOND);
        for (int i = 0; i < 20; i++) {
            assertEquals(Map.of(), usage("small-" + i).refused);
        }
    }

    /** Guards against refusals at the usual rate, and against callers that wait for permits. */
    @Test
    void usualRateIsServed() {
        limit("large", LARGE);
        simulation.startAll();
        simulation.sendRequests("large", 60, 2 * SECOND, 20 * SECOND);
        simulation.runUntil(21 * SECOND);
        assertEquals(0, usage("large").refusals());
        assertBound("large", LARGE);
    }

    /** Guards against a crowding workspace that gets more than its limit, or much less. */
    @Test
    void crowdingWorkspaceGetsItsLimit() {
        limit("large", LARGE);
        simulation.startAll();
        simulation.sendRequests("large", 360, 2 * SECOND, 10 * SECOND);
        simulation.runUntil(11 * SECOND);
        assertBound("large", LARGE);
        assertAtLeast((int) (96 * 8 * 0.95), usage("large").permitted.size());
    }

    /** Guards against limits that hold twice, and refused callers, while a third is cut off. */
    @Test
    void thirdOfTheGatewaysIsCutOff() {
        limit("large", LARGE);
        limit("usual", LARGE);
        simulation.startAll();
        simulation.sendRequests("large", 300, 2 * SECOND, 20 * SECOND);
        simulation.sendRequests("usual", 55, 2 * SECOND, 20 * SECOND);
        simulation.schedule(
                6 * SECOND,
                () -> simulation.nodes.forEach(node -> node.group = node.index % 3 / 2));
        simulation.schedule(14 * SECOND, () -> simulation.nodes.forEach(node -> node.group = 0));
        simulation.runUntil(21 * SECOND);
        assertBound("large", LARGE);
        Usage usual = usage("usual");
        assertAtMost(usual.requests / 10, usual.refusals());
    }

    /** Guards against a limit that holds twice after all gateways start anew. */
    @Test
    void allAreKilledAndStartedWithinASecond() {
        limit("large", LARGE);
        limit("small", SMALL);
        simulation.startAll();
        simulation.sendRequests("large", 300, SECOND, 12 * SECOND);
        simulation.sendRequests("small", 0.3, SECOND, 12 * SECOND);
        simulation.schedule(5 * SECOND, () -> simulation.nodes.forEach(Node::kill));
        for (Node node : simulation.nodes) {
            long downTime = 400 * MILLI + simulation.random.nextLong(600 * MILLI);
            simulation.schedule(5 * SECOND + downTime, node::start);
        }
        simulation.runUntil(13 * SECOND);
        assertBound("large", LARGE);
        assertEquals(0, usage("small").refusals());
        // From two seconds after the loss on, the whole limit is in use again.
        assertAtLeast((int) (96 * 5 * 0.95), usage("large").mostIn(SPAN, 7 * SECOND, 8 * SECOND));
    }

    /** Guards against start tokens that add up to more than the bound allows. */
    @Test
    void allAreKilledAndStartedTwice() {
        limit("small", SMALL);
        simulation.startAll();
        simulation.sendRequests("small", 100, 0, 10 * SECOND);
        for (long at = 2 * SECOND; at <= 4 * SECOND; at += 2 * SECOND) {
            simulation.schedule(at, () -> simulation.nodes.forEach(Node::kill));
            simulation.schedule(at + 400 * MILLI, () -> simulation.nodes.forEach(Node::start));
        }
        simulation.runUntil(11 * SECOND);
        assertBound("small", SMALL);
    }

    /** Guards against tokens of a former limit that outlive it. */
    @Test
    void limitIsLoweredToATenth() {
        limit("large", LARGE);
        simulation.startAll();
        simulation.sendRequests("large", 300, SECOND, 16 * SECOND);
        RateLimit lowered = new RateLimit(9.6, 1);
        simulation.schedule(
                5 * SECOND,
                () ->
                        simulation.nodes.forEach(
                                node -> {
                                    long delay = simulation.random.nextLong(SECOND);
                                    VersionedLimit next = new VersionedLimit(2, lowered);
                                    simulation.schedule(delay, () -> node.learn("large", next));
                                }));
        simulation.runUntil(17 * SECOND);
        int most = usage("large").mostIn(SPAN, 6100 * MILLI, 16 * SECOND);
        assertAtMost(PermitSimulation.bound(lowered, 5), (double) most);
        assertAtLeast(45, most);
    }

    /** Guards against long refusals of callers whose granter crashed. */
    @Test
    void granterIsKilled() {
        for (int i = 0; i < 10; i++) {
            limit("w" + i, LARGE);
        }
        simulation.startAll();
        for (int i = 0; i < 10; i++) {
            simulation.sendRequests("w" + i, 50, 3 * SECOND, 10 * SECOND);
        }
        LimitShards shards =
                LimitShards.none().among(simulation.nodes.stream().map(node -> node.ip).toList());
        String granter = shards.granters().getFirst();
        simulation.schedule(
                5 * SECOND,
                () ->
                        simulation.nodes.stream()
                                .filter(node -> node.ip.equals(granter))
                                .forEach(Node::kill));
        simulation.runUntil(11 * SECOND);
        for (int i = 0; i < 10; i++) {
            // 0.7 s of 7 s, and 3% of the requests reach the dead gateway.
            assertAtMost(usage("w" + i).requests / 8, usage("w" + i).refusals());
            assertBound("w" + i, LARGE);
        }
    }

    /** Guards against a granter that is chosen again and again while it is cut off. */
    @Test
    void granterIsCutOffUnnoticed() {
        limit("large", LARGE);
        simulation.startAll();
        simulation.sendRequests("large", 50, 3 * SECOND, 11 * SECOND);
        String granter =
                LimitShards.none()
                        .among(simulation.nodes.stream().map(node -> node.ip).toList())
                        .granter(LimitShards.shardOf("large"))
                        .orElseThrow();
        simulation.schedule(
                4 * SECOND,
                () ->
                        simulation.nodes.forEach(
                                node -> node.group = node.ip.equals(granter) ? 1 : 0));
        simulation.runUntil(12 * SECOND);
        // 0.7 s of 8 s, and 3% of the requests reach the granter that is cut off.
        assertAtMost(usage("large").requests / 8.0, usage("large").refusals());
        assertBound("large", LARGE);
    }

    /** Guards against gateways with stale seeds that use the whole limit once more. */
    @Test
    void gatewaysWithStaleSeedsUseNoMoreThanTheirSlices() {
        limit("large", LARGE);
        List<Node> added = simulation.nodes.subList(GATEWAYS - 2, GATEWAYS);
        simulation.nodes.subList(0, GATEWAYS - 2).forEach(Node::start);
        for (Node node : added) {
            node.staleSeeds = true;
            node.group = 1;
            simulation.schedule(3 * SECOND, node::start);
        }
        sendEverywhere("large", 50 * SECOND);
        simulation.runUntil(51 * SECOND);
        assertBound("large", LARGE);
    }

    /** Guards against a gateway with stale seeds that takes itself for the only one at once. */
    @Test
    void gatewayThatHearsNobodyUsesNothingUntilItHasReadTheStore() {
        limit("large", LARGE);
        Node added = simulation.nodes.getLast();
        added.staleSeeds = true;
        added.group = 1;
        simulation.storeReachable = false;
        simulation.nodes.forEach(Node::start);
        simulation.runUntil(50 * SECOND);
        assertEquals(0.0, added.share("large"));
        simulation.storeReachable = true;
        simulation.schedule(SECOND, () -> added.group = 0);
        simulation.runUntil(53 * SECOND);
        assertAtLeast(0.9, simulation.nodes.stream().mapToDouble(n -> n.share("large")).sum());
    }

    private void sendEverywhere(String workspace, long until) {
        for (long at = 4 * SECOND; at < until; at += SECOND / 8) {
            for (Node node : simulation.nodes) {
                simulation.schedule(at, () -> node.request(workspace));
            }
        }
    }

    /** Guards against a process that believes that it is alone while it is cut off. */
    @Test
    void gatewayThatStartsCutOffUsesNoSlice() {
        limit("large", LARGE);
        simulation.startAll();
        Node cutOff = simulation.nodes.get(7);
        simulation.schedule(3 * SECOND, () -> cutOff.group = 1);
        simulation.schedule(3 * SECOND, cutOff::kill);
        simulation.schedule(4 * SECOND, cutOff::start);
        simulation.runUntil(20 * SECOND);
        assertEquals(0.0, cutOff.share("large"));
    }
}
