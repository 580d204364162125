package org.fuchsiaspindle.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against treating live peers as gone while this process is cut off from the network. */
final class PeerLivenessTest {

    private final PeerLiveness liveness = PeerLiveness.create();

    @Test
    void isGone_afterLossOfOnePeerOfThree_isTrueAfterTheTimeout() {
        connect("a", "b", "c");
        liveness.recordDisconnected("a", false, seconds(1));
        assertThat(liveness.isCutOff()).isFalse();
        assertThat(liveness.isGone("a", seconds(6))).isFalse();
        assertThat(liveness.isGone("a", seconds(7))).isTrue();
        liveness.recordConnected("a");
        assertThat(liveness.isGone("a", seconds(8))).isFalse();
    }

    @Test
    void isGone_afterLossOfMoreThanHalfWithinTheWindow_staysFalse() {
        connect("a", "b", "c");
        liveness.recordDisconnected("a", false, seconds(1));
        liveness.recordDisconnected("b", false, seconds(5));
        assertThat(liveness.isCutOff()).isTrue();
        assertThat(liveness.isGone("a", seconds(60))).isFalse();
        liveness.recordConnected("a");
        assertThat(liveness.isCutOff()).isFalse();
    }

    @Test
    void isCutOff_afterSlowLossesOrPlannedStops_isFalse() {
        connect("a", "b", "c", "d", "e");
        liveness.recordDisconnected("a", false, seconds(1));
        liveness.recordDisconnected("b", false, seconds(10));
        liveness.recordDisconnected("c", true, seconds(11));
        liveness.recordDisconnected("d", true, seconds(11));
        assertThat(liveness.isCutOff()).isFalse();
    }

    @Test
    void isCutOff_afterTheListOmitsTheDisconnectedPeers_isFalse() {
        connect("a", "b", "c");
        liveness.recordDisconnected("a", false, seconds(1));
        liveness.recordDisconnected("b", false, seconds(1));
        liveness.updateListedPeers(Set.of("b", "c"));
        assertThat(liveness.isCutOff()).isFalse();
        assertThat(liveness.isGone("b", seconds(8))).isTrue();
    }

    private void connect(String... peers) {
        for (String peer : peers) {
            liveness.recordConnected(peer);
        }
    }

    private static long seconds(long value) {
        return Duration.ofSeconds(value).toNanos();
    }
}
