package org.fuchsiaspindle.testbed.demo;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fuchsiaspindle.platform.http.HttpResponse;
import org.fuchsiaspindle.testbed.engine.EngineOutput;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import org.fuchsiaspindle.testbed.ledger.ServiceLedger;

/** Sends one request of each kind and compares each result with the expected one. */
final class DemoScenario {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CHAT = "/v1/chat/completions";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final int MAX_POLLS = 600;
    private static final int ITEMS = 40;
    private static final int TOKENS = 12;
    private static final int MAX_SHOWN_CHARS = 48;
    private static final int OK = 200;
    private static final int CREATED = 201;

    private final FleetCaller caller;
    private final FleetCaller other;
    private final ServiceLedger services;
    private final PrintWriter out;
    private int failures;

    /**
     * Creates a scenario.
     *
     * @param caller client of the entry that receives most requests
     * @param other client of another entry, used to repeat requests and to read results
     * @param services ledger of the calls that the services executed
     * @param out receives one line per result
     */
    DemoScenario(FleetCaller caller, FleetCaller other, ServiceLedger services, PrintWriter out) {
        this.caller = caller;
        this.other = other;
        this.services = services;
        this.out = out;
    }

    /** Runs all steps; returns the number of missing or incorrect results. */
    int run() {
        runStep("chat small", () -> chat(DemoFleet.SMALL));
        runStep("chat large", () -> chat(DemoFleet.LARGE));
        runStep("completion", this::completion);
        runStep("stream", this::stream);
        runStep("service", this::repeatableCall);
        runStep("order", this::order);
        runStep("batch", this::batch);
        return failures;
    }

    /** A step of the scenario; an exception counts as a missing result. */
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private void runStep(String name, Step step) {
        try {
            step.run();
        } catch (IOException | RuntimeException e) {
            report(name, false, "no result: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            report(name, false, "interrupted");
        }
    }

    private void report(String name, boolean correct, String detail) {
        if (!correct) {
            failures++;
        }
        out.printf("%-5s%-12s%s%n", correct ? "ok" : "FAIL", name, detail);
        out.flush();
    }

    private void chat(String model) throws IOException {
        ObjectNode body = FleetCaller.chat(model, "Name five rivers.", TOKENS);
        HttpResponse response = caller.post(CHAT, body);
        JsonNode completion = JSON.readTree(response.body());
        String text = FleetCaller.text(completion);
        boolean correct =
                response.status() == OK
                        && text.equals(EngineOutput.expectedText(body))
                        && completion.path("usage").path("completion_tokens").asInt() == TOKENS;
        report("chat " + model, correct, describe(response, text));
    }

    private void completion() throws IOException {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("model", DemoFleet.SMALL)
                        .put("prompt", "Once upon a time")
                        .put("max_tokens", TOKENS);
        HttpResponse response = caller.post("/v1/completions", body);
        String text = FleetCaller.text(JSON.readTree(response.body()));
        boolean correct = response.status() == OK && text.equals(EngineOutput.expectedText(body));
        report("completion", correct, describe(response, text));
    }

    private void stream() throws IOException {
        ObjectNode body = FleetCaller.chat(DemoFleet.LARGE, "Count to twelve.", TOKENS);
        FleetCaller.Streamed streamed = caller.stream(CHAT, body);
        boolean correct =
                streamed.status() == OK
                        && streamed.complete()
                        && streamed.text().equals(EngineOutput.expectedText(body));
        report(
                "stream",
                correct,
                streamed.status()
                        + " "
                        + streamed.chunks()
                        + " chunks: "
                        + shorten(streamed.text()));
    }

    private void repeatableCall() throws IOException {
        HttpResponse response = caller.get("/services/" + DemoFleet.SERVICE + "/status/7");
        String text = new String(response.body(), UTF_8);
        boolean correct =
                response.status() == OK && text.equals("{\"id\":\"7\",\"status\":\"open\"}");
        report("service", correct, describe(response, text));
    }

    private void order() throws IOException {
        ObjectNode body = JSON.createObjectNode().put("article", "pen").put("count", 3);
        ImmutableListMultimap<String, String> headers =
                ImmutableListMultimap.of(IDEMPOTENCY_KEY, "order-of-the-demo");
        String path = "/services/" + DemoFleet.SERVICE + "/orders";
        HttpResponse firstResponse = caller.post(path, body, headers);
        HttpResponse secondResponse = other.post(path, body, headers);
        String text = new String(firstResponse.body(), UTF_8);
        report("order", firstResponse.status() == CREATED, describe(firstResponse, text));
        boolean sameResponse =
                secondResponse.status() == firstResponse.status()
                        && new String(secondResponse.body(), UTF_8).equals(text);
        report(
                "order again",
                sameResponse,
                describe(secondResponse, new String(secondResponse.body(), UTF_8)));
        int runs = services.callsWithBody("\"pen\"").size();
        report("order runs", runs == 1, "the service executed the order " + runs + " time(s)");
    }

    private void batch() throws IOException, InterruptedException {
        Map<String, String> expected = new LinkedHashMap<>();
        StringBuilder input = new StringBuilder();
        for (int i = 0; i < ITEMS; i++) {
            ObjectNode body = FleetCaller.chat(DemoFleet.SMALL, "Item " + i, 1 + i % TOKENS);
            expected.put("item-" + i, EngineOutput.expectedText(body));
            input.append(FleetCaller.item("item-" + i, body));
        }
        HttpResponse fileResponse = caller.upload("demo.jsonl", input.toString());
        String fileId = JSON.readTree(fileResponse.body()).path("id").asText();
        report("file", fileResponse.status() == OK, describe(fileResponse, fileId));
        HttpResponse submitResponse =
                caller.submit(fileId, ImmutableListMultimap.of(IDEMPOTENCY_KEY, "job-of-the-demo"));
        JsonNode job = JSON.readTree(submitResponse.body());
        report(
                "batch",
                submitResponse.status() == OK,
                describe(submitResponse, job.path("id").asText()));
        job = awaitEnd(job);
        report(
                "batch end",
                job.path("status").asText().equals("completed"),
                job.path("status").asText() + " " + job.path("request_counts"));
        compareOutput(job, expected);
    }

    private JsonNode awaitEnd(JsonNode submitted) throws IOException, InterruptedException {
        JsonNode job = submitted;
        for (int i = 0; i < MAX_POLLS && !isEnded(job); i++) {
            Thread.sleep(POLL_INTERVAL);
            job = JSON.readTree(other.get("/v1/batches/" + job.path("id").asText()).body());
        }
        return job;
    }

    private static boolean isEnded(JsonNode job) {
        return switch (job.path("status").asText()) {
            case "validating", "in_progress", "finalizing", "cancelling" -> false;
            default -> true;
        };
    }

    /** Compares the output file with the expected texts; each item must occur exactly once. */
    private void compareOutput(JsonNode job, Map<String, String> expected) throws IOException {
        String fileId = job.path("output_file_id").asText();
        HttpResponse contentResponse = other.get("/v1/files/" + fileId + "/content");
        Map<String, String> missing = new HashMap<>(expected);
        int incorrect = 0;
        for (JsonNode line : FleetCaller.lines(contentResponse.body())) {
            String text = FleetCaller.text(line.path("response").path("body"));
            String expectedText = missing.remove(line.path("custom_id").asText());
            if (!text.equals(expectedText)) {
                incorrect++;
            }
        }
        report(
                "output",
                contentResponse.status() == OK && incorrect == 0 && missing.isEmpty(),
                expected.size()
                        + " items, "
                        + incorrect
                        + " incorrect or duplicate, "
                        + missing.size()
                        + " missing");
    }

    private static String describe(HttpResponse response, String text) {
        boolean error = response.status() != OK && response.status() != CREATED;
        return response.status()
                + " "
                + (error ? new String(response.body(), UTF_8) : shorten(text));
    }

    private static String shorten(String text) {
        return text.length() <= MAX_SHOWN_CHARS ? text : text.substring(0, MAX_SHOWN_CHARS) + "...";
    }
}
