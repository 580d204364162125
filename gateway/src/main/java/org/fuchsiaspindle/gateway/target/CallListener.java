package org.fuchsiaspindle.gateway.target;

import io.netty.buffer.ByteBuf;
import org.fuchsiaspindle.platform.target.TargetResponse;

/**
 * Receives the response to a call.
 *
 * <p>{@link #onComplete} or {@link #onFailure} is the last method called, unless the call is
 * cancelled; a cancelled call reports nothing more.
 */
public interface CallListener {

    /** Receives the head of the response. */
    void onResponse(TargetResponse response);

    /** Receives a part of the body; the buffer is released when this method returns. */
    void onData(ByteBuf data);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when no complete response will arrive. */
    void onFailure(CallFailure failure);
}
