package org.fuchsiaspindle.gateway.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.fuchsiaspindle.core.limit.LimitMessage;
import org.fuchsiaspindle.core.limit.RateLimit;
import org.fuchsiaspindle.core.limit.VersionedLimit;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.PermitRequestMessage;
import org.fuchsiaspindle.wire.peer.SliceLend;
import org.junit.jupiter.api.Test;

/** Guards against messages that change on their way, and against invalid ones of a peer. */
final class LimitCodecTest {

    private static final VersionedLimit LIMIT = new VersionedLimit(7, new RateLimit(0.5, 3));

    @Test
    void messages_areDecodedAsEncoded() {
        Duration time = Duration.ofMillis(600);
        assertRoundTrip(new LimitMessage.Lend(-1, 2, -3, -4, -1, 6, 34, time));
        assertRoundTrip(new LimitMessage.LendAck(-1, 2, 3, -4, 0, 1L << 63));
        assertRoundTrip(new LimitMessage.PermitRequest(-5, "w", 3, LIMIT));
        assertRoundTrip(new LimitMessage.PermitReply(-5, "w", 0, 3, -4, 0.25, time));
        assertRoundTrip(new LimitMessage.PermitReturn("w", 2, 3, -4));
    }

    private static void assertRoundTrip(LimitMessage message) {
        assertThat(LimitCodec.decode(LimitCodec.encode(message))).contains(message);
    }

    @Test
    void invalidMessages_areIgnored() {
        PeerFrame noFleet =
                PeerFrame.newBuilder().setSliceLend(SliceLend.getDefaultInstance()).build();
        PeerFrame noRate =
                PeerFrame.newBuilder()
                        .setPermitRequest(PermitRequestMessage.newBuilder().setCount(1))
                        .build();
        assertThat(LimitCodec.decode(noFleet)).isEmpty();
        assertThat(LimitCodec.decode(noRate)).isEmpty();
    }
}
