package org.fuchsiaspindle.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.routing.RouteCandidate;
import org.fuchsiaspindle.core.routing.RouteRecord;

/** Renders routing decisions for operators. */
final class RouteExplanation {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int NANOS_PER_MICRO = 1000;

    private RouteExplanation() {}

    /** Returns the decisions for one request as JSON, empty if none is retained. */
    static Optional<JsonNode> of(List<RouteRecord> records) {
        if (records.isEmpty()) {
            return Optional.empty();
        }
        ObjectNode root =
                JSON.createObjectNode()
                        .put("request", records.getFirst().requestId())
                        .put("customer", records.getFirst().customer())
                        .put("service", records.getFirst().service());
        ArrayNode attempts = root.putArray("attempts");
        records.forEach(record -> render(attempts.addObject(), record));
        return Optional.of(root);
    }

    private static void render(ObjectNode node, RouteRecord record) {
        node.put("attempt", record.attempt())
                .put("time", record.time().toString())
                .put(
                        "target",
                        record.decision()
                                .chosen()
                                .map(chosen -> chosen.target().id())
                                .orElse("none"))
                .put("reason", record.decision().reason().wireName());
        ArrayNode candidates = node.putArray("candidates");
        record.decision()
                .candidates()
                .forEach(candidate -> render(candidates.addObject(), candidate));
    }

    private static void render(ObjectNode node, RouteCandidate candidate) {
        node.put("target", candidate.target().id())
                .put("reason", candidate.reason().wireName())
                .put("score_us", candidate.scoreNanos() / NANOS_PER_MICRO)
                .put("wait_us", candidate.waitNanos() / NANOS_PER_MICRO)
                .put("prefill_us", candidate.prefillNanos() / NANOS_PER_MICRO)
                .put("distance_us", candidate.penaltyNanos() / NANOS_PER_MICRO)
                .put("cached_tokens", candidate.cachedTokens());
    }
}
