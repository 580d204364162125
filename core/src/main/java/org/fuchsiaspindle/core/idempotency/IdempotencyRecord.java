package org.fuchsiaspindle.core.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;

/**
 * The record of the first call with an idempotency key. Immutable.
 *
 * @param state progress of the call
 * @param digest digest of the request's content
 * @param nonce random value by which the writer recognises its own write
 * @param instance the entry that runs the call
 * @param incarnation that entry's incarnation
 * @param startedAt wall-clock time of the start, for deciding that a record is stale
 * @param timeLimit time that the call may take
 * @param response the response of a completed call; its body is empty if it is stored as an object
 * @param object name of the object that holds the response's body, or empty
 */
public record IdempotencyRecord(
        State state,
        String digest,
        String nonce,
        String instance,
        String incarnation,
        Instant startedAt,
        Duration timeLimit,
        Optional<StoredResponse> response,
        String object) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Progress of a call. */
    public enum State {
        /** The call may be running, or its entry was lost. */
        STARTED,
        /** The call ran and its response is stored. */
        COMPLETED,
        /** The call certainly did not run. */
        NOT_EXECUTED,
        /** The call may have run; its outcome cannot be determined any more. */
        UNKNOWN
    }

    /** Validates the components. */
    public IdempotencyRecord {
        checkNotNull(state, "state");
        checkNotNull(digest, "digest");
        checkNotNull(nonce, "nonce");
        checkNotNull(instance, "instance");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(startedAt, "startedAt");
        checkNotNull(timeLimit, "timeLimit");
        checkNotNull(response, "response");
        checkNotNull(object, "object");
    }

    /** Returns a record of a call that is about to be sent. */
    public static IdempotencyRecord started(
            String digest,
            String nonce,
            String instance,
            String incarnation,
            Instant startedAt,
            Duration timeLimit) {
        return new IdempotencyRecord(
                State.STARTED,
                digest,
                nonce,
                instance,
                incarnation,
                startedAt,
                timeLimit,
                Optional.empty(),
                "");
    }

    /**
     * Returns this record with the response.
     *
     * @param storedResponse the response; its body is empty if it is stored as an object
     * @param objectName name of the object with the body, or empty
     */
    public IdempotencyRecord completed(StoredResponse storedResponse, String objectName) {
        return ended(State.COMPLETED, Optional.of(storedResponse), objectName);
    }

    /**
     * Returns this record in the state {@code NOT_EXECUTED} or {@code UNKNOWN}, without a response.
     */
    public IdempotencyRecord ended(State endState) {
        return ended(endState, Optional.empty(), "");
    }

    private IdempotencyRecord ended(
            State endState, Optional<StoredResponse> storedResponse, String objectName) {
        return new IdempotencyRecord(
                endState,
                digest,
                nonce,
                instance,
                incarnation,
                startedAt,
                timeLimit,
                storedResponse,
                objectName);
    }

    /** Returns the record as the value of a table row. */
    public byte[] encode() {
        ObjectNode root =
                JSON.createObjectNode()
                        .put("state", state.name().toLowerCase(Locale.ROOT))
                        .put("digest", digest)
                        .put("nonce", nonce)
                        .put("instance", instance)
                        .put("incarnation", incarnation)
                        .put("started_at_ms", startedAt.toEpochMilli())
                        .put("time_limit_ms", timeLimit.toMillis())
                        .put("object", object);
        response.ifPresent(value -> encode(root.putObject("answer"), value));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads the value of a table row.
     *
     * @throws UncheckedIOException if the value is not the JSON of a record
     */
    public static IdempotencyRecord decode(byte[] value) {
        try {
            JsonNode root = JSON.readTree(value);
            return new IdempotencyRecord(
                    State.valueOf(root.path("state").asText().toUpperCase(Locale.ROOT)),
                    root.path("digest").asText(),
                    root.path("nonce").asText(),
                    root.path("instance").asText(),
                    root.path("incarnation").asText(),
                    Instant.ofEpochMilli(root.path("started_at_ms").asLong()),
                    Duration.ofMillis(root.path("time_limit_ms").asLong()),
                    root.has("answer")
                            ? Optional.of(decodeResponse(root.path("answer")))
                            : Optional.empty(),
                    root.path("object").asText());
        } catch (IOException e) {
            throw new UncheckedIOException("the row is not an idempotency record", e);
        }
    }

    private static void encode(ObjectNode node, StoredResponse response) {
        node.put("status", response.status()).put("body", response.body());
        ArrayNode headers = node.putArray("headers");
        response.headers()
                .forEach(header -> headers.addArray().add(header.name()).add(header.value()));
    }

    private static StoredResponse decodeResponse(JsonNode node) throws IOException {
        ImmutableList.Builder<StoredResponse.Header> headers = ImmutableList.builder();
        node.path("headers")
                .forEach(
                        pair ->
                                headers.add(
                                        new StoredResponse.Header(
                                                pair.path(0).asText(), pair.path(1).asText())));
        return new StoredResponse(
                node.path("status").asInt(), headers.build(), node.path("body").binaryValue());
    }
}
