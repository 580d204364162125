package org.fuchsiaspindle.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.function.Consumer;
import org.fuchsiaspindle.platform.memory.InMemoryTable;
import org.junit.jupiter.api.Test;

/** Guards against responses and errors that standard client libraries cannot read. */
final class CompletionsTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CHAT =
            "{\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]%s}";
    private static final Consumer<FakeAgent.Exchange> HELLO =
            exchange -> exchange.started().tokens(0, "Hel", "lo").finished(2);

    @Test
    void chat_withoutStream_isOneCompletionObject() throws Exception {
        try (FakeAgent agent = FakeAgent.engine("engine-1", "small", HELLO);
                TestEntry entry = TestEntry.start("entry-1", InMemoryTable.create(), agent)) {
            String body = CHAT.formatted(",\"temperature\":0.5");
            HttpResponse<String> response = entry.post("/v1/chat/completions", body);
            JsonNode root = JSON.readTree(response.body());
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(root.path("object").asText()).isEqualTo("chat.completion");
            assertThat(root.path("id").asText()).startsWith("chatcmpl-");
            JsonNode choice = root.path("choices").get(0);
            assertThat(choice.path("message").path("role").asText()).isEqualTo("assistant");
            assertThat(choice.path("message").path("content").asText()).isEqualTo("Hello");
            assertThat(choice.path("finish_reason").asText()).isEqualTo("stop");
            assertThat(root.path("usage").path("total_tokens").asInt()).isEqualTo(9);
            assertThat(agent.received().getFirst().getBody().toStringUtf8()).isEqualTo(body);
        }
    }

    @Test
    void chat_withStream_isChunksWithRoleUsageAndDone() throws Exception {
        try (FakeAgent agent = FakeAgent.engine("engine-1", "small", HELLO);
                TestEntry entry = TestEntry.start("entry-1", InMemoryTable.create(), agent)) {
            HttpResponse<String> response =
                    entry.post(
                            "/v1/chat/completions",
                            CHAT.formatted(
                                    ",\"stream\":true,"
                                            + "\"stream_options\":{\"include_usage\":true}"));
            assertThat(response.headers().firstValue("Content-Type").orElseThrow())
                    .startsWith("text/event-stream");
            List<String> events = List.of(response.body().split("\n\n"));
            assertThat(events).hasSize(6).allMatch(event -> event.startsWith("data: "));
            assertThat(delta(events.get(0)).path("role").asText()).isEqualTo("assistant");
            assertThat(delta(events.get(1)).path("content").asText()).isEqualTo("Hel");
            assertThat(delta(events.get(2)).path("content").asText()).isEqualTo("lo");
            assertThat(json(events.get(3)).path("choices").get(0).path("finish_reason").asText())
                    .isEqualTo("stop");
            assertThat(json(events.get(4)).path("choices")).isEmpty();
            assertThat(json(events.get(4)).path("usage").path("completion_tokens").asInt())
                    .isEqualTo(2);
            assertThat(events.get(5)).isEqualTo("data: [DONE]");
        }
    }

    @Test
    void text_withAndWithoutStream_isATextCompletion() throws Exception {
        try (FakeAgent agent = FakeAgent.engine("engine-1", "small", HELLO);
                TestEntry entry = TestEntry.start("entry-1", InMemoryTable.create(), agent)) {
            String body = "{\"model\":\"small\",\"prompt\":\"hi\"%s}";
            JsonNode completion =
                    JSON.readTree(entry.post("/v1/completions", body.formatted("")).body());
            assertThat(completion.path("object").asText()).isEqualTo("text_completion");
            assertThat(completion.path("choices").get(0).path("text").asText()).isEqualTo("Hello");
            String stream =
                    entry.post("/v1/completions", body.formatted(",\"stream\":true")).body();
            assertThat(stream).contains("\"text\":\"Hel\"").endsWith("data: [DONE]\n\n");
        }
    }

    @Test
    void models_listOnlyThoseOfTheContract() throws Exception {
        try (TestEntry entry = TestEntry.start("entry-1", InMemoryTable.create())) {
            assertThat(entry.get("/v1/models").body())
                    .contains("\"id\":\"small\"")
                    .doesNotContain("large");
            assertThat(entry.get("/v1/models/small").statusCode()).isEqualTo(200);
            assertThat(entry.get("/v1/models/large").statusCode()).isEqualTo(404);
        }
    }

    @Test
    void badRequests_areNumberedErrors() throws Exception {
        try (TestEntry entry = TestEntry.start("entry-1", InMemoryTable.create())) {
            String path = "/v1/chat/completions";
            assertError(entry.post(path, "{\"model\":"), 400, 1001);
            assertError(entry.post(path, "[]"), 400, 1001);
            assertError(entry.post(path, "{\"model\":\"small\"}"), 400, 1001);
            assertError(entry.post(path, CHAT.formatted(",\"n\":2")), 400, 1009);
            assertError(
                    entry.post(path, CHAT.formatted("").replace("small", "nothing")), 404, 1010);
            assertError(entry.post(path, CHAT.formatted("").replace("small", "large")), 403, 1003);
            assertError(entry.post(path, " ".repeat(TestEntry.MAX_BODY_BYTES + 1)), 413, 1006);
            assertError(entry.get(path), 405, 1005);
            assertError(entry.post(path + "/more", CHAT.formatted("")), 404, 1004);
            assertError(entry.get("/nothing"), 404, 1004);
            assertError(
                    entry.send(
                            entry.builder(path)
                                    .setHeader("Authorization", "Bearer wrong")
                                    .POST(HttpRequest.BodyPublishers.ofString("{}"))),
                    401,
                    1002);
        }
    }

    @Test
    void requestWithoutTarget_isRefusedAsNotExecutedWithRetryAfter() throws Exception {
        try (TestEntry entry = TestEntry.start("entry-1", InMemoryTable.create())) {
            HttpResponse<String> response =
                    entry.post("/v1/chat/completions", CHAT.formatted(",\"stream\":true"));
            assertError(response, 503, 3002);
            assertThat(response.body()).contains("\"executed\":\"no\"");
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
        }
    }

    @Test
    void routingDecision_canBeExplainedByTheRequestId() throws Exception {
        try (FakeAgent agent = FakeAgent.engine("engine-1", "small", HELLO);
                TestEntry entry = TestEntry.start("entry-1", InMemoryTable.create(), agent)) {
            String id =
                    entry.post("/v1/chat/completions", CHAT.formatted(""))
                            .headers()
                            .firstValue("x-request-id")
                            .orElseThrow();
            HttpResponse<String> explanation =
                    entry.send(
                            entry.builder("/admin/v1/explain/" + id)
                                    .setHeader("Authorization", "Bearer " + TestEntry.OPERATOR_KEY)
                                    .GET());
            JsonNode attempt = JSON.readTree(explanation.body()).path("attempts").get(0);
            assertThat(attempt.path("target").asText()).isEqualTo("engine-1");
            assertThat(attempt.path("candidates")).hasSize(1);
        }
    }

    @Test
    void metrics_countRequestsRefusalsAndTokenTimes() throws Exception {
        try (FakeAgent agent = FakeAgent.engine("engine-1", "small", HELLO);
                TestEntry entry = TestEntry.start("entry-1", InMemoryTable.create(), agent)) {
            entry.post("/v1/chat/completions", CHAT.formatted(""));
            entry.post("/v1/chat/completions", "{}");
            assertThat(entry.metrics())
                    .contains("fuchsiaspindle_entry_requests_total{kind=\"chat\"} 1.0")
                    .contains("fuchsiaspindle_entry_refusals_total{code=\"malformed_request\"} 1.0")
                    .contains("fuchsiaspindle_entry_attempts_total{outcome=\"answered\"} 1.0")
                    .contains("time_to_first_token_seconds_count{model=\"small\"} 1")
                    .contains("time_between_tokens_seconds_count{model=\"small\"} 1")
                    .doesNotContain(TestEntry.KEY);
        }
    }

    private static void assertError(HttpResponse<String> response, int status, int number)
            throws Exception {
        assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
        assertThat(JSON.readTree(response.body()).path("error").path("number").asInt())
                .isEqualTo(number);
    }

    private static JsonNode delta(String event) throws Exception {
        return json(event).path("choices").get(0).path("delta");
    }

    private static JsonNode json(String event) throws Exception {
        return JSON.readTree(event.substring("data: ".length()));
    }
}
