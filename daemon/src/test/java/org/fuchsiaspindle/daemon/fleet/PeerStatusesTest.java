package org.fuchsiaspindle.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.PeerStatus;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.junit.jupiter.api.Test;

/** Guards against understated ages in statuses that arrive late. */
final class PeerStatusesTest {

    private static final long PEER_ORIGIN_MS = 777_000;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final FrameDispatcher dispatcher = FrameDispatcher.create();
    private final PeerStatuses statuses =
            PeerStatuses.create(dispatcher, new FakeDirectory(), clock);
    private final FleetConnection peer = FakeConnection.toEntry("entry-2", "dc-1");

    @Test
    void sentNanos_ofADelayedMessage_isTheTimeOfSending() {
        clock.advance(Duration.ofSeconds(10));
        receive(10_000);
        clock.advance(Duration.ofSeconds(4));
        receive(11_000);
        PeerStatuses.Received received = statuses.of("entry-2").orElseThrow();
        assertThat(received.receivedNanos()).isEqualTo(TimeUnit.SECONDS.toNanos(14));
        assertThat(received.sentNanos()).isEqualTo(TimeUnit.SECONDS.toNanos(11));
    }

    @Test
    void sentNanos_ofAMessageFromAnOlderVersion_isTheTimeOfArrival() {
        clock.advance(Duration.ofSeconds(10));
        dispatcher.onFrame(
                peer, Frame.newBuilder().setPeerStatus(PeerStatus.getDefaultInstance()).build());
        assertThat(statuses.of("entry-2").orElseThrow().sentNanos())
                .isEqualTo(TimeUnit.SECONDS.toNanos(10));
    }

    private void receive(long sentMs) {
        dispatcher.onFrame(
                peer,
                Frame.newBuilder()
                        .setPeerStatus(PeerStatus.newBuilder().setSentMs(PEER_ORIGIN_MS + sentMs))
                        .build());
    }
}
