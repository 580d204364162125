package org.fuchsiaspindle.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Frames protobuf messages with a length on connections between gateways. */
final class PeerChannels {

    private static final Logger LOG = LoggerFactory.getLogger(PeerChannels.class);
    private static final int MAX_FRAME_BYTES = 8 << 20;
    private static final int LENGTH_BYTES = 4;

    private PeerChannels() {}

    /** Receives the messages and the end of a connection, on its event loop. */
    interface Listener {

        void onFrame(Channel channel, PeerFrame frame);

        void onClosed(Channel channel);
    }

    static void configure(Channel channel, Listener listener) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new FrameReader(listener));
    }

    /** Sends a frame unless the peer reads too slowly; returns whether it was sent. */
    static boolean send(Channel channel, PeerFrame frame) {
        if (!channel.isActive() || !channel.isWritable()) {
            return false;
        }
        byte[] bytes = frame.toByteArray();
        ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + bytes.length);
        buffer.writeInt(bytes.length).writeBytes(bytes);
        channel.writeAndFlush(buffer);
        return true;
    }

    private static final class FrameReader extends ChannelInboundHandlerAdapter {

        private final Listener listener;

        FrameReader(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf buffer = (ByteBuf) message;
            try {
                PeerFrame frame = PeerFrame.parseFrom(new ByteBufInputStream(buffer));
                listener.onFrame(context.channel(), frame);
            } catch (InvalidProtocolBufferException failure) {
                LOG.warn("peer: unreadable message from={}", context.channel().remoteAddress());
                context.close();
            } catch (IOException failure) {
                LOG.warn("peer: message not read reason={}", failure.getMessage());
                context.close();
            } finally {
                ReferenceCountUtil.release(buffer);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.onClosed(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
