package org.fuchsiaspindle.core.slot;

import java.time.Duration;

/** Receives what a pool expected of requests and what came of it, for logs and metrics. */
public interface WorkListener {

    /** Ignores everything. */
    WorkListener NONE =
            new WorkListener() {
                @Override
                public void onStart(
                        SlotRequest request,
                        String target,
                        Duration expected,
                        int readTokens,
                        int running,
                        double slowness) {}

                @Override
                public void onEnd(Duration expected, Duration held) {}
            };

    /**
     * Called when a request of known size gets a slot.
     *
     * @param request the request
     * @param target the target that was chosen
     * @param expected how long the request is expected to take there
     * @param readTokens the tokens of the prompt that the target must read
     * @param running how many other requests and items run there
     * @param slowness how many times as long as an average target it needs now
     */
    void onStart(
            SlotRequest request,
            String target,
            Duration expected,
            int readTokens,
            int running,
            double slowness);

    /**
     * Called when a request of known size is complete.
     *
     * @param expected how long it was expected to take
     * @param held how long it took, positive
     */
    void onEnd(Duration expected, Duration held);
}
