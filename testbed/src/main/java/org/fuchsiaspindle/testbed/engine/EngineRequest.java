package org.fuchsiaspindle.testbed.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A completion or chat request to an engine.
 *
 * @param requestId the identifier that the agent assigned
 * @param chat true for a chat request
 * @param model the model
 * @param prompt the prompt
 * @param output the complete output of the request
 * @param continueText the output that an earlier run has generated, or empty for a first run
 * @param continueTokens the number of tokens of {@code continueText}
 */
record EngineRequest(
        String requestId,
        boolean chat,
        String model,
        String prompt,
        EngineOutput output,
        String continueText,
        int continueTokens) {

    private static final String POISON = "[[poison]]";
    private static final String REJECT = "[[reject]]";

    static EngineRequest of(JsonNode body, boolean chat) {
        return new EngineRequest(
                body.path("request_id").asText(),
                chat,
                body.path("model").asText(),
                EngineOutput.prompt(body),
                EngineOutput.of(body),
                body.path("continue_text").asText(),
                body.path("continue_tokens").asInt());
    }

    boolean isPoisoned() {
        return prompt.contains(POISON);
    }

    /** Describes why the request is invalid; empty if it is valid. */
    String validationError() {
        if (requestId.isEmpty()) {
            return "request_id is missing";
        }
        if (prompt.isEmpty()) {
            return "the prompt is empty";
        }
        if (prompt.contains(REJECT)) {
            return "the prompt is rejected";
        }
        if (continueTokens < 0
                || continueTokens > output.length()
                || !continueText.equals(output.text(0, continueTokens))) {
            return "continue_text is not a prefix of the output";
        }
        return "";
    }

    int promptTokens() {
        return EngineOutput.tokens(prompt);
    }

    /** Returns the number of tokens to compute before the first new token if nothing is cached. */
    int prefillTokens() {
        return promptTokens() + continueTokens;
    }
}
