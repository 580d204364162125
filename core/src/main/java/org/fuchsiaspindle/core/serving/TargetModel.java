package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The model engines of a service, as the configuration describes them.
 *
 * @param memoryTokens how many tokens the requests that run on one target and the prompts that it
 *     keeps occupy together at most, 0 if unknown
 * @param tokensPerEvent how many tokens of output one event of a stream holds at most, positive
 */
public record TargetModel(int memoryTokens, int tokensPerEvent) {

    /** Validates the components. */
    public TargetModel {
        checkArgument(memoryTokens >= 0, "negative memory: %s", memoryTokens);
        checkArgument(tokensPerEvent > 0, "tokens of an event not positive: %s", tokensPerEvent);
    }

    /**
     * Returns whether a target has the memory for a request that runs there alone.
     *
     * @param tokens the memory that the request can occupy at most, in tokens; 0 if unknown
     */
    public boolean hasMemoryFor(int tokens) {
        return memoryTokens == 0 || tokens <= memoryTokens;
    }
}
