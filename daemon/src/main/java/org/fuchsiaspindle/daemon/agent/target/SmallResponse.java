package org.fuchsiaspindle.daemon.agent.target;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import org.fuchsiaspindle.wire.proto.Header;

/** Buffers a response of at most 1 MiB and passes the complete response to a handler. */
public final class SmallResponse implements ResponseListener {

    /** Status passed to the handler if the exchange failed. */
    public static final int EXCHANGE_FAILED = 0;

    private static final int MAX_BODY_BYTES = 1024 * 1024;

    private final BiConsumer<Integer, ByteString> handler;
    private final ByteString.Output body = ByteString.newOutput();
    private int status;

    private SmallResponse(BiConsumer<Integer, ByteString> handler) {
        this.handler = handler;
    }

    /**
     * Creates a listener for one exchange.
     *
     * @param handler receives the status, or {@link #EXCHANGE_FAILED} if the exchange failed, and
     *     the body; runs on an I/O thread and must not block
     */
    public static SmallResponse of(BiConsumer<Integer, ByteString> handler) {
        return new SmallResponse(checkNotNull(handler, "handler"));
    }

    @Override
    public void onHead(int responseStatus, ImmutableList<Header> headers) {
        status = responseStatus;
    }

    @Override
    public void onBody(ByteBuffer data) throws IOException {
        if (body.size() + data.remaining() > MAX_BODY_BYTES) {
            throw new IOException("response larger than " + MAX_BODY_BYTES + " bytes");
        }
        body.write(data.array(), data.arrayOffset() + data.position(), data.remaining());
    }

    @Override
    public void onEnd() {
        handler.accept(status, body.toByteString());
    }

    @Override
    public void onFailure(IOException cause) {
        handler.accept(EXCHANGE_FAILED, ByteString.EMPTY);
    }
}
