package org.fuchsiaspindle.gateway.limit;

import java.time.Duration;
import java.util.Optional;
import org.fuchsiaspindle.core.limit.LimitMessage;
import org.fuchsiaspindle.core.limit.LimitMessage.Lend;
import org.fuchsiaspindle.core.limit.LimitMessage.LendAck;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitReply;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitRequest;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitReturn;
import org.fuchsiaspindle.core.limit.RateLimit;
import org.fuchsiaspindle.core.limit.VersionedLimit;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.PermitReplyMessage;
import org.fuchsiaspindle.wire.peer.PermitRequestMessage;
import org.fuchsiaspindle.wire.peer.PermitReturnMessage;
import org.fuchsiaspindle.wire.peer.SliceLend;
import org.fuchsiaspindle.wire.peer.SliceLendAck;

/** Encodes what gateways tell each other about limits of workspaces, and decodes it. */
final class LimitCodec {

    /** Largest number of permits in one message. */
    private static final int MAX_PERMITS = 10_000;

    private LimitCodec() {}

    static PeerFrame encode(LimitMessage message) {
        PeerFrame.Builder frame = PeerFrame.newBuilder();
        switch (message) {
            case Lend lend -> frame.setSliceLend(encode(lend));
            case LendAck ack -> frame.setSliceLendAck(encode(ack));
            case PermitRequest request -> frame.setPermitRequest(encode(request));
            case PermitReply reply -> frame.setPermitReply(encode(reply));
            case PermitReturn permits ->
                    frame.setPermitReturn(
                            PermitReturnMessage.newBuilder()
                                    .setWorkspace(permits.workspace())
                                    .setCount(permits.count())
                                    .setGranterEpoch(permits.granterEpoch())
                                    .setGrantedNanos(permits.grantedNanos()));
        }
        return frame.build();
    }

    private static SliceLend.Builder encode(Lend lend) {
        return SliceLend.newBuilder()
                .setLenderEpoch(lend.lenderEpoch())
                .setSequence(lend.sequence())
                .setGranterEpoch(lend.granterEpoch())
                .setGranterNanos(lend.granterNanos())
                .setShards(lend.shards())
                .setStartShards(lend.startShards())
                .setFleetSize(lend.fleetSize())
                .setValidityMillis((int) lend.validity().toMillis());
    }

    private static SliceLendAck.Builder encode(LendAck ack) {
        return SliceLendAck.newBuilder()
                .setLenderEpoch(ack.lenderEpoch())
                .setSequence(ack.sequence())
                .setGranterEpoch(ack.granterEpoch())
                .setGranterNanos(ack.granterNanos())
                .setFleetSize(ack.fleetSize())
                .setPaidShards(ack.paidShards());
    }

    private static PermitRequestMessage.Builder encode(PermitRequest request) {
        RateLimit limit = request.limit().limit();
        return PermitRequestMessage.newBuilder()
                .setId(request.id())
                .setWorkspace(request.workspace())
                .setCount(request.count())
                .setConfigVersion(request.limit().version())
                .setRequestsPerSecond(limit.requestsPerSecond())
                .setBurst(limit.burst());
    }

    private static PermitReplyMessage.Builder encode(PermitReply reply) {
        return PermitReplyMessage.newBuilder()
                .setId(reply.id())
                .setWorkspace(reply.workspace())
                .setGranted(reply.granted())
                .setGranterEpoch(reply.granterEpoch())
                .setGrantedNanos(reply.grantedNanos())
                .setShare(reply.share())
                .setRetryAfterMillis((int) reply.retryAfter().plusNanos(999_999).toMillis());
    }

    /** Decodes a frame about limits, empty if its content is invalid. */
    static Optional<LimitMessage> decode(PeerFrame frame) {
        try {
            return Optional.of(
                    switch (frame.getBodyCase()) {
                        case SLICE_LEND -> decode(frame.getSliceLend());
                        case SLICE_LEND_ACK -> decode(frame.getSliceLendAck());
                        case PERMIT_REQUEST -> decode(frame.getPermitRequest());
                        case PERMIT_REPLY -> decode(frame.getPermitReply());
                        case PERMIT_RETURN -> decode(frame.getPermitReturn());
                        default -> throw new AssertionError(frame.getBodyCase());
                    });
        } catch (IllegalArgumentException invalid) {
            return Optional.empty();
        }
    }

    private static Lend decode(SliceLend message) {
        return new Lend(
                message.getLenderEpoch(),
                message.getSequence(),
                message.getGranterEpoch(),
                message.getGranterNanos(),
                message.getShards(),
                message.getStartShards(),
                message.getFleetSize(),
                Duration.ofMillis(Math.max(0, message.getValidityMillis())));
    }

    private static LendAck decode(SliceLendAck message) {
        return new LendAck(
                message.getLenderEpoch(),
                message.getSequence(),
                message.getGranterEpoch(),
                message.getGranterNanos(),
                Math.max(0, message.getFleetSize()),
                message.getPaidShards());
    }

    private static PermitRequest decode(PermitRequestMessage message) {
        return new PermitRequest(
                message.getId(),
                message.getWorkspace(),
                bounded(message.getCount()),
                new VersionedLimit(
                        message.getConfigVersion(),
                        new RateLimit(message.getRequestsPerSecond(), message.getBurst())));
    }

    private static PermitReply decode(PermitReplyMessage message) {
        return new PermitReply(
                message.getId(),
                message.getWorkspace(),
                bounded(message.getGranted()),
                message.getGranterEpoch(),
                message.getGrantedNanos(),
                message.getShare(),
                Duration.ofMillis(Math.max(0, message.getRetryAfterMillis())));
    }

    private static PermitReturn decode(PermitReturnMessage message) {
        return new PermitReturn(
                message.getWorkspace(),
                bounded(message.getCount()),
                message.getGranterEpoch(),
                message.getGrantedNanos());
    }

    private static int bounded(int count) {
        return Math.clamp(count, 0, MAX_PERMITS);
    }
}
