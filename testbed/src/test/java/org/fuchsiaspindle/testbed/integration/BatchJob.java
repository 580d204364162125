package org.fuchsiaspindle.testbed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.SegmentRecord;
import org.fuchsiaspindle.platform.http.HttpResponse;
import org.fuchsiaspindle.platform.table.StoreTable;
import org.fuchsiaspindle.testbed.engine.EngineOutput;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;

/** A batch job and the expected content of its output file. */
final class BatchJob {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    private final String name;
    private final int tokens;
    private final Map<String, String> expected = new LinkedHashMap<>();
    private final StringBuilder input = new StringBuilder();
    private String id = "";

    private BatchJob(String name, int tokens) {
        this.name = name;
        this.tokens = tokens;
    }

    /**
     * Creates a job without items.
     *
     * @param name the name, which is part of every item's prompt so that its runs can be found in
     *     the ledger
     * @param tokens number of tokens that each item generates
     */
    static BatchJob create(String name, int tokens) {
        return new BatchJob(name, tokens);
    }

    /** Adds items that are expected to succeed. */
    BatchJob items(int count) {
        int end = expected.size() + count;
        for (int i = expected.size(); i < end; i++) {
            ObjectNode body = FleetCaller.chat(TestFleet.MODEL, prompt("item " + i), tokens);
            expected.put("item-" + i, EngineOutput.expectedText(body));
            input.append(FleetCaller.item("item-" + i, body));
        }
        return this;
    }

    /** Adds an item whose prompt contains a directive to the simulated engine. */
    BatchJob item(String customId, String directive) {
        ObjectNode body = FleetCaller.chat(TestFleet.MODEL, prompt(directive), tokens);
        input.append(FleetCaller.item(customId, body));
        return this;
    }

    /** Uploads the input file and submits the job, retrying until the job is accepted. */
    BatchJob submit(FleetCaller caller) throws IOException {
        HttpResponse fileResponse = caller.upload(name + ".jsonl", input.toString());
        assertThat(fileResponse.status()).as("%s", body(fileResponse)).isEqualTo(OK);
        String fileId = body(fileResponse).path("id").asText();
        Await.until(
                () -> {
                    // Due to the idempotency key, a repeated submission does not create a second
                    // job.
                    try {
                        HttpResponse response =
                                caller.submit(
                                        fileId, ImmutableListMultimap.of("Idempotency-Key", name));
                        id = body(response).path("id").asText();
                        return response.status() == OK ? "" : "submit " + body(response);
                    } catch (IOException e) {
                        return "submit " + e.getMessage();
                    }
                });
        return this;
    }

    String id() {
        return id;
    }

    String name() {
        return name;
    }

    int size() {
        return expected.size();
    }

    /** Waits until the job has ended and returns its status. */
    String awaitEnd(FleetCaller caller) {
        Await.until(
                () -> {
                    Optional<JsonNode> job = read(caller);
                    boolean ended = job.map(j -> isEnded(j.path("status").asText())).orElse(false);
                    return ended ? "" : "end of job: " + job;
                });
        return read(caller).orElseThrow().path("status").asText();
    }

    /** Returns the job as reported by an entry, or empty if the request fails. */
    Optional<JsonNode> read(FleetCaller caller) {
        try {
            HttpResponse response = caller.get("/v1/batches/" + id);
            return response.status() == OK ? Optional.of(body(response)) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the holders of the unfinished segments by row key. */
    Map<String, String> openSegments(TestFleet fleet) {
        Map<String, String> holders = new HashMap<>();
        segments(fleet)
                .forEach(
                        (key, segment) -> {
                            if (!segment.isDone()) {
                                holders.put(key, segment.holder());
                            }
                        });
        return holders;
    }

    /** Returns the number of segments that were taken over from another holder. */
    long takenOverSegments(TestFleet fleet) {
        return segments(fleet).values().stream().filter(segment -> segment.epoch() > 1).count();
    }

    /** Waits until an entry holds an unfinished segment; returns the identifier of the entry. */
    String awaitHolder(TestFleet fleet) {
        Await.until(() -> openSegments(fleet).isEmpty() ? "a held segment of " + name : "");
        return openSegments(fleet).values().iterator().next().split("/")[1];
    }

    /**
     * Verifies that each item has exactly one record and that each output has the expected text;
     * returns the errors by custom identifier.
     */
    ImmutableMap<String, JsonNode> verifyFiles(FleetCaller caller) throws IOException {
        JsonNode job = read(caller).orElseThrow();
        Map<String, String> missing = new HashMap<>(expected);
        for (JsonNode line : lines(caller, job.path("output_file_id").asText(""))) {
            String customId = line.path("custom_id").asText();
            assertThat(FleetCaller.text(line.path("response").path("body")))
                    .as("output of %s", customId)
                    .isEqualTo(missing.remove(customId));
        }
        ImmutableMap.Builder<String, JsonNode> errors = ImmutableMap.builder();
        for (JsonNode line : lines(caller, job.path("error_file_id").asText(""))) {
            String customId = line.path("custom_id").asText();
            missing.remove(customId);
            errors.put(customId, line.path("error"));
        }
        assertThat(missing).as("items without a record").isEmpty();
        return errors.buildOrThrow();
    }

    private Map<String, SegmentRecord> segments(TestFleet fleet) {
        Map<String, SegmentRecord> segments = new HashMap<>();
        String prefix = BatchKeys.segments(id);
        fleet.processes()
                .standIns()
                .store()
                .values(StoreTable.TABLE, prefix)
                .forEach(
                        (key, value) ->
                                segments.put(key, BatchJson.read(value, SegmentRecord.class)));
        return segments;
    }

    private String prompt(String text) {
        return "<" + name + "> " + text + " [[tokens=" + tokens + "]]";
    }

    private static Iterable<JsonNode> lines(FleetCaller caller, String fileId) throws IOException {
        if (fileId.isEmpty() || fileId.equals("null")) {
            return List.of();
        }
        HttpResponse contentResponse = caller.get("/v1/files/" + fileId + "/content");
        assertThat(contentResponse.status()).isEqualTo(OK);
        return FleetCaller.lines(contentResponse.body());
    }

    private static JsonNode body(HttpResponse response) throws IOException {
        return JSON.readTree(response.body());
    }

    private static boolean isEnded(String status) {
        return switch (status) {
            case "validating", "in_progress", "finalizing", "cancelling" -> false;
            default -> true;
        };
    }
}
