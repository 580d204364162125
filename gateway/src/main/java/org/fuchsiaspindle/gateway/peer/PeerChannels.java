package org.fuchsiaspindle.gateway.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.transport.MessageFraming;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends and receives frames on connections between gateways. */
final class PeerChannels {

    private static final Logger LOG = LoggerFactory.getLogger(PeerChannels.class);

    private PeerChannels() {}

    /** Receives the frames and the close of a connection, on its event loop. */
    interface Listener {

        void onFrame(Channel channel, PeerFrame frame);

        void onClosed(Channel channel);
    }

    static void configure(Channel channel, Listener listener) {
        MessageFraming.addTo(channel.pipeline(), PeerFrame.parser());
        channel.pipeline().addLast(new FrameReader(listener));
    }

    /**
     * Sends a frame, or discards it if the connection is closed or its peer reads too slowly.
     *
     * @return whether it was handed to the connection
     */
    static boolean send(Channel channel, PeerFrame frame) {
        boolean writable = channel.isActive() && channel.isWritable();
        if (writable) {
            channel.writeAndFlush(frame);
        }
        return writable;
    }

    private static final class FrameReader extends SimpleChannelInboundHandler<PeerFrame> {

        private final Listener listener;

        FrameReader(Listener listener) {
            super(PeerFrame.class);
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            listener.onFrame(context.channel(), frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.onClosed(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.info(
                    "peer: connection failed from={} reason={}",
                    context.channel().remoteAddress(),
                    cause.getMessage());
            context.close();
        }
    }
}
