package org.fuchsiaspindle.testbed.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The deterministic output of a request: token {@code i} depends only on the model, the prompt and
 * {@code i}.
 *
 * <p>The output of a prompt that contains {@code [[tokens=N]]} has N tokens; otherwise its length
 * is between 8 and 127 and derived from the prompt. The request's {@code max_tokens} and {@code
 * max_completion_tokens} limit the length.
 */
public final class EngineOutput {

    private static final Pattern LENGTH = Pattern.compile("\\[\\[tokens=(\\d{1,6})]]");
    private static final int TOKEN_LETTERS = 5;
    private static final int ALPHABET_SIZE = 26;
    private static final int MIN_LENGTH = 8;
    private static final int LENGTH_RANGE = 120;
    private static final int CHARS_PER_TOKEN = 4;
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private final long seed;
    private final int length;
    private final boolean truncated;

    private EngineOutput(long seed, int length, boolean truncated) {
        this.seed = seed;
        this.length = length;
        this.truncated = truncated;
    }

    /**
     * Returns the output of a request.
     *
     * @param body body of a completion or chat request, including {@code model}
     */
    public static EngineOutput of(JsonNode body) {
        String prompt = prompt(body);
        long seed =
                Hashing.murmur3_128()
                        .newHasher()
                        .putUnencodedChars(body.path("model").asText())
                        .putChar('\0')
                        .putUnencodedChars(prompt)
                        .hash()
                        .asLong();
        int natural = naturalLength(prompt, seed);
        int max = maxTokens(body);
        return new EngineOutput(seed, Math.min(natural, max), max < natural);
    }

    /** Returns the complete text that an uninterrupted run of a request produces. */
    public static String expectedText(JsonNode body) {
        EngineOutput output = of(body);
        return output.text(0, output.length);
    }

    /** Returns the prompt of a request; each chat message is one line {@code role: content}. */
    public static String prompt(JsonNode body) {
        if (!body.has("messages")) {
            return content(body.path("prompt"));
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            prompt.append(message.path("role").asText())
                    .append(": ")
                    .append(content(message.path("content")))
                    .append('\n');
        }
        return prompt.toString();
    }

    /** Returns the number of tokens of a text: a quarter of its characters, rounded up. */
    public static int tokens(CharSequence text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /** Returns the number of tokens of the complete output. */
    public int length() {
        return length;
    }

    /**
     * Returns {@code length} if the output was truncated by the token limit of the request, and
     * {@code stop} otherwise.
     */
    public String finishReason() {
        return truncated ? "length" : "stop";
    }

    /** Returns the text of one token, which ends with a space. */
    public String token(int index) {
        checkArgument(index >= 0, "negative index: %s", index);
        long bits = mix(seed + index * GOLDEN_GAMMA) >>> 1;
        StringBuilder token = new StringBuilder(TOKEN_LETTERS + 1);
        for (int i = 0; i < TOKEN_LETTERS; i++) {
            token.append((char) ('a' + bits % ALPHABET_SIZE));
            bits /= ALPHABET_SIZE;
        }
        return token.append(' ').toString();
    }

    /** Returns the text of the tokens from one index up to, not including, another. */
    public String text(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i < to; i++) {
            text.append(token(i));
        }
        return text.toString();
    }

    private static String content(JsonNode node) {
        if (!node.isArray()) {
            return node.asText();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode part : node) {
            text.append(part.isTextual() ? part.asText() : part.path("text").asText());
        }
        return text.toString();
    }

    private static int naturalLength(String prompt, long seed) {
        Matcher marker = LENGTH.matcher(prompt);
        return marker.find()
                ? Math.max(1, Integer.parseInt(marker.group(1)))
                : MIN_LENGTH + (int) Math.floorMod(seed, (long) LENGTH_RANGE);
    }

    private static int maxTokens(JsonNode body) {
        int max = body.path("max_tokens").asInt(Integer.MAX_VALUE);
        return Math.max(1, Math.min(max, body.path("max_completion_tokens").asInt(max)));
    }

    private static long mix(long value) {
        return Hashing.murmur3_128().hashLong(value).asLong();
    }
}
