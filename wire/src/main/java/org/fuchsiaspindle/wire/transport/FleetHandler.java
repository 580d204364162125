package org.fuchsiaspindle.wire.transport;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Heartbeat;
import org.fuchsiaspindle.wire.proto.Hello;
import org.fuchsiaspindle.wire.proto.Proof;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the handshake of one channel, then passes its messages to the listener.
 *
 * <p>The dialling side sends its hello first. The accepting side answers with its hello and proof,
 * and the dialling side sends its own proof only after it has verified that of the accepting side.
 */
final class FleetHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOG = LoggerFactory.getLogger(FleetHandler.class);
    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final Frame HEARTBEAT =
            Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();

    private final FleetIdentity identity;
    private final FleetListener listener;
    private final HandshakeProof.Side side;
    private final CompletableFuture<FleetConnection> opened;
    private Hello ownHello;
    private Hello peerHello;
    private int version;
    private FleetChannel connection;

    FleetHandler(
            FleetIdentity identity,
            FleetListener listener,
            HandshakeProof.Side side,
            CompletableFuture<FleetConnection> opened) {
        this.identity = identity;
        this.listener = listener;
        this.side = side;
        this.opened = opened;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        ownHello = identity.hello(nonce);
        if (side == HandshakeProof.Side.DIALLER) {
            context.writeAndFlush(Frame.newBuilder().setHello(ownHello).build());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (connection == null) {
            handshake(context, frame);
            return;
        }
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> {}
            case HELLO, PROOF ->
                    fail(
                            context,
                            ResultCode.PROTOCOL_MISMATCH,
                            "handshake message after the handshake");
            default -> listener.onFrame(connection, frame);
        }
    }

    private void handshake(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> receiveHello(context, frame.getHello());
            case PROOF -> receiveProof(context, frame.getProof());
            default ->
                    fail(
                            context,
                            ResultCode.PROTOCOL_MISMATCH,
                            "message before the end of the handshake");
        }
    }

    private void receiveHello(ChannelHandlerContext context, Hello hello) {
        if (peerHello != null) {
            fail(context, ResultCode.PROTOCOL_MISMATCH, "second hello in one handshake");
            return;
        }
        version = Math.min(hello.getMaxVersion(), FleetIdentity.MAX_VERSION);
        if (version < Math.max(hello.getMinVersion(), FleetIdentity.MIN_VERSION)) {
            fail(
                    context,
                    ResultCode.PROTOCOL_MISMATCH,
                    "peer supports protocol versions "
                            + hello.getMinVersion()
                            + " to "
                            + hello.getMaxVersion());
            return;
        }
        peerHello = hello;
        if (side == HandshakeProof.Side.ACCEPTER) {
            context.write(Frame.newBuilder().setHello(ownHello).build());
            sendProof(context);
        }
    }

    private void receiveProof(ChannelHandlerContext context, Proof proof) {
        if (peerHello == null) {
            fail(context, ResultCode.PROTOCOL_MISMATCH, "proof before hello");
            return;
        }
        HandshakeProof.Side peerSide =
                side == HandshakeProof.Side.DIALLER
                        ? HandshakeProof.Side.ACCEPTER
                        : HandshakeProof.Side.DIALLER;
        if (!HandshakeProof.matches(computeProof(peerSide), proof.getMac())) {
            fail(
                    context,
                    ResultCode.AUTHENTICATION_FAILED,
                    "proof does not match; the fleet secrets may differ");
            return;
        }
        Peer peer;
        try {
            peer =
                    new Peer(
                            peerHello.getInstanceId(),
                            peerHello.getIncarnation(),
                            peerHello.getRole(),
                            peerHello.getDataCentre(),
                            peerHello.getTargetName());
        } catch (IllegalArgumentException e) {
            fail(context, ResultCode.PROTOCOL_MISMATCH, e.getMessage());
            return;
        }
        if (side == HandshakeProof.Side.DIALLER) {
            sendProof(context);
        }
        connection = new FleetChannel(context.channel(), peer);
        listener.onOpen(connection);
        opened.complete(connection);
    }

    private void sendProof(ChannelHandlerContext context) {
        Proof proof = Proof.newBuilder().setMac(computeProof(side)).build();
        context.writeAndFlush(Frame.newBuilder().setProof(proof).build());
    }

    private ByteString computeProof(HandshakeProof.Side prover) {
        boolean dialler = side == HandshakeProof.Side.DIALLER;
        return HandshakeProof.compute(
                identity.secret(),
                prover,
                version,
                dialler ? ownHello : peerHello,
                dialler ? peerHello : ownHello);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                fail(context, ResultCode.CONNECTION_CLOSED, "no message within the idle timeout");
            } else if (connection != null) {
                context.writeAndFlush(HEARTBEAT);
            }
        } else {
            super.userEventTriggered(context, event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        opened.completeExceptionally(
                new FuchsiaspindleException(
                        ResultCode.CONNECTION_CLOSED,
                        "connection to " + context.channel().remoteAddress() + " was closed"));
        if (connection != null) {
            listener.onClose(connection);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, ResultCode.CONNECTION_CLOSED, String.valueOf(cause.getMessage()));
    }

    private void fail(ChannelHandlerContext context, ResultCode code, String message) {
        LOG.info(
                "fleet: connection closed peer={} code={} reason=\"{}\"",
                context.channel().remoteAddress(),
                code.number(),
                message);
        opened.completeExceptionally(new FuchsiaspindleException(code, message));
        context.close();
    }
}
