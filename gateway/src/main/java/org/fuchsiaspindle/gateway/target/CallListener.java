package org.fuchsiaspindle.gateway.target;

import io.netty.buffer.ByteBuf;
import org.fuchsiaspindle.platform.target.TargetResponse;

/** Receives what becomes of a call; after its end nothing more is called. */
public interface CallListener {

    /** Receives the head of the answer. */
    void onAnswer(TargetResponse answer);

    /** Receives a piece of the body; the buffer is released after the call. */
    void onData(ByteBuf data);

    /** Called when the answer is complete. */
    void onComplete();

    /** Called when the answer cannot be completed. */
    void onFailure(CallFailure failure);
}
