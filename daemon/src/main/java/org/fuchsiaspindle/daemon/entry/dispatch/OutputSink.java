package org.fuchsiaspindle.daemon.entry.dispatch;

import java.io.IOException;

/** Receives the output of a request; called from the request's own thread only. */
public interface OutputSink {

    /**
     * Accepts the next part of the output; may block while the caller reads slowly.
     *
     * @param text the text, not null
     * @throws IOException if the caller's connection broke
     */
    void accept(String text) throws IOException;

    /** Returns true if the caller closed its connection. */
    boolean isCallerDisconnected();
}
