package org.fuchsiaspindle.daemon.agent.target;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.fuchsiaspindle.wire.proto.Header;

/**
 * Receives the events of one exchange, in order, on the client's event loop; must not block.
 *
 * <p>Exactly one of {@link #onEnd} and {@link #onFailure} is called, unless the exchange is aborted
 * first.
 */
public interface ResponseListener {

    /**
     * Called before the first byte is written; afterwards the target may have run the request.
     *
     * @return false if the request must no longer be sent; no further event follows
     */
    default boolean onSending() {
        return true;
    }

    /** Called when the response's status and headers have arrived. */
    void onHead(int status, ImmutableList<Header> headers);

    /**
     * Called for each part of the response's body; the buffer is valid only during the call.
     *
     * @throws IOException if the data is not acceptable; the exchange then fails with this
     *     exception
     */
    void onBody(ByteBuffer data) throws IOException;

    /** Called when the response is complete. */
    void onEnd();

    /** Called when the exchange fails; its connection is not reused. */
    void onFailure(IOException cause);
}
