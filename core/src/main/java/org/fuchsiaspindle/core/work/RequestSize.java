package org.fuchsiaspindle.core.work;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.math.IntMath;

/**
 * What is known of the size of a request before it runs.
 *
 * @param kind requests of one kind have similar lengths of output: the name of the route
 * @param promptTokens the tokens of the prompt, 0 if unknown
 * @param maxOutputTokens the largest number of tokens of output, 0 if unknown
 * @param hintedOutputTokens the caller's estimate of the tokens of output, 0 if it gave none; often
 *     far off
 * @param sharedParts the parts of the prompt that other requests may share, in order
 */
public record RequestSize(
        String kind,
        int promptTokens,
        int maxOutputTokens,
        int hintedOutputTokens,
        ImmutableList<Part> sharedParts) {

    /** The size of a request of which nothing is known. */
    public static final RequestSize UNKNOWN = new RequestSize("", 0, 0, 0, ImmutableList.of());

    /**
     * A part of a prompt.
     *
     * @param id identifies the part among those of a service
     * @param tokens its length, in tokens
     */
    public record Part(String id, int tokens) {

        /** Validates the components. */
        public Part {
            checkNotNull(id, "id");
            checkArgument(tokens >= 0, "negative tokens: %s", tokens);
        }
    }

    /** Validates the components. */
    public RequestSize {
        checkNotNull(kind, "kind");
        checkArgument(promptTokens >= 0, "negative prompt: %s", promptTokens);
        checkArgument(maxOutputTokens >= 0, "negative output: %s", maxOutputTokens);
        checkArgument(hintedOutputTokens >= 0, "negative hint: %s", hintedOutputTokens);
        checkNotNull(sharedParts, "sharedParts");
    }

    /**
     * Returns the memory of a target that the request can occupy at most, in tokens; 0 if unknown.
     */
    public int maxTokens() {
        return IntMath.saturatedAdd(promptTokens, maxOutputTokens);
    }
}
