package org.fuchsiaspindle.wire.transport;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/** Encodes protobuf messages with a four-byte length prefix on connections between processes. */
public final class MessageFraming {

    private MessageFraming() {}

    /**
     * Adds the codec to the pipeline of a connection.
     *
     * @param pipeline the pipeline of the connection, not null
     * @param parser parses the messages that arrive, not null
     */
    public static void addTo(ChannelPipeline pipeline, Parser<? extends MessageLite> parser) {
        pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                FleetTransport.MAX_FRAME_BYTES, 0, Integer.BYTES, 0, Integer.BYTES))
                .addLast(new MessageDecoder(parser))
                .addLast(new MessageEncoder());
    }

    /** Parses the bytes of one message. */
    private static final class MessageDecoder extends MessageToMessageDecoder<ByteBuf> {

        private final Parser<? extends MessageLite> parser;

        MessageDecoder(Parser<? extends MessageLite> parser) {
            super(ByteBuf.class);
            this.parser = parser;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
                throws IOException {
            out.add(parser.parseFrom(new ByteBufInputStream(bytes)));
        }
    }

    /** Writes a message after its length. */
    private static final class MessageEncoder extends MessageToByteEncoder<MessageLite> {

        MessageEncoder() {
            super(MessageLite.class);
        }

        @Override
        protected void encode(ChannelHandlerContext context, MessageLite message, ByteBuf out)
                throws IOException {
            int size = message.getSerializedSize();
            if (size > FleetTransport.MAX_FRAME_BYTES) {
                throw new FuchsiaspindleException(
                        ResultCode.FRAME_TOO_LARGE, "message of " + size + " bytes");
            }
            out.ensureWritable(Integer.BYTES + size);
            out.writeInt(size);
            try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
                message.writeTo(stream);
            }
        }
    }
}
