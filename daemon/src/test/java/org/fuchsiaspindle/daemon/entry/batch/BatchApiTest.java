package org.fuchsiaspindle.daemon.entry.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Random;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.daemon.http.ApiServer;
import org.fuchsiaspindle.platform.memory.InMemoryObjects;
import org.fuchsiaspindle.platform.memory.InMemoryTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against deviations from the formats of the batch API and against access to another
 * customer's files and jobs.
 */
final class BatchApiTest {

    private static final long MAX_BODY_BYTES = 1024;
    private static final String BOUNDARY = "----boundary";

    private final HttpClient client = HttpClient.newHttpClient();
    private final InMemoryObjects objects = InMemoryObjects.create();
    private BatchComponent component;
    private ApiServer server;

    @BeforeEach
    void start() {
        ConfigSource config =
                ConfigSource.fixed(
                        BatchFixture.config(
                                BatchFixture.contract("one", 1), BatchFixture.contract("two", 1)));
        FrameDispatcher frames = FrameDispatcher.create();
        component =
                BatchComponent.start(
                        new BatchContext(
                                "entry-1",
                                "a",
                                InMemoryTable.create(),
                                objects,
                                BatchFixture.emptyFleet(),
                                frames,
                                LoadReports.create(frames, Clock.system()),
                                () -> false,
                                config,
                                CallerAuthentication.create(config, ""),
                                Clock.system(),
                                new Random(1),
                                new PrometheusRegistry()));
        server =
                ApiServer.start(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        MAX_BODY_BYTES,
                        1,
                        component.endpoints());
    }

    @AfterEach
    void stop() {
        server.close();
        component.stop();
        client.close();
    }

    @Test
    void uploadLargerThanTheBodyLimitIsStoredInPartsAndReadBack() throws Exception {
        String content = BatchFixture.lines(700);
        JsonNode file = json(upload("one", "batch", content), 200);
        assertThat(file.path("object").asText()).isEqualTo("file");
        assertThat(file.path("bytes").asInt()).isEqualTo(content.length());
        assertThat(file.path("purpose").asText()).isEqualTo("batch");
        String id = file.path("id").asText();
        assertThat(get("one", "/v1/files/" + id + "/content").body()).isEqualTo(content);
        assertThat(json(get("one", "/v1/files"), 200).path("data").get(0).path("id").asText())
                .isEqualTo(id);
        json(send("one", "DELETE", "/v1/files/" + id, "", ""), 200);
        json(get("one", "/v1/files/" + id), 404);
    }

    @Test
    void otherCustomersFilesAndJobsAreNotFound() throws Exception {
        String file = json(upload("one", "batch", BatchFixture.lines(3)), 200).path("id").asText();
        String job = json(submit("one", file, ""), 200).path("id").asText();
        json(get("two", "/v1/files/" + file), 404);
        json(get("two", "/v1/files/" + file + "/content"), 404);
        json(send("two", "DELETE", "/v1/files/" + file, "", ""), 404);
        json(get("two", "/v1/batches/" + job), 404);
        json(send("two", "POST", "/v1/batches/" + job + "/cancel", "", ""), 404);
        json(submit("two", file, ""), 404);
        assertThat(json(get("two", "/v1/batches"), 200).path("data")).isEmpty();
        json(get("none", "/v1/batches"), 401);
    }

    @Test
    void retriedSubmissionReturnsTheSameJobAndOtherContentConflicts() throws Exception {
        String file = json(upload("one", "batch", BatchFixture.lines(3)), 200).path("id").asText();
        String other = json(upload("one", "batch", BatchFixture.lines(4)), 200).path("id").asText();
        JsonNode first = json(submit("one", file, "k1"), 200);
        JsonNode again = json(submit("one", file, "k1"), 200);
        assertThat(again.path("id")).isEqualTo(first.path("id"));
        JsonNode conflict = json(submit("one", other, "k1"), 409);
        assertThat(conflict.path("error").path("number").asInt()).isEqualTo(5001);
        assertThat(json(get("one", "/v1/batches"), 200).path("data")).hasSize(1);
    }

    @Test
    void openJobsAreLimitedByTheContract() throws Exception {
        String file = json(upload("one", "batch", BatchFixture.lines(3)), 200).path("id").asText();
        for (int i = 0; i < 3; i++) {
            json(submit("one", file, ""), 200);
        }
        JsonNode refused = json(submit("one", file, ""), 429);
        assertThat(refused.path("error").path("code").asText()).isEqualTo("job_limited");
        String large =
                json(upload("two", "batch", BatchFixture.lines(1001)), 200).path("id").asText();
        json(submit("two", large, ""), 429);
    }

    @Test
    void listsAreReadInPages() throws Exception {
        String file = json(upload("one", "batch", BatchFixture.lines(1)), 200).path("id").asText();
        for (int i = 0; i < 3; i++) {
            json(submit("one", file, ""), 200);
        }
        JsonNode firstPage = json(get("one", "/v1/batches?limit=2"), 200);
        assertThat(firstPage.path("data")).hasSize(2);
        assertThat(firstPage.path("has_more").asBoolean()).isTrue();
        String after = firstPage.path("last_id").asText();
        JsonNode secondPage = json(get("one", "/v1/batches?limit=2&after=" + after), 200);
        assertThat(secondPage.path("data")).hasSize(1);
        assertThat(secondPage.path("has_more").asBoolean()).isFalse();
    }

    @Test
    void invalidLinesAreReportedByNumber() throws Exception {
        String content =
                BatchFixture.line("a")
                        + "\nnot json\n"
                        + BatchFixture.line("a")
                        + "\n"
                        + BatchFixture.line("b", "model-x")
                        + "\n"
                        + BatchFixture.line("c").replace("/v1/chat/completions", "/v1/other")
                        + "\n";
        String file = json(upload("one", "batch", content), 200).path("id").asText();
        JsonNode job = json(submit("one", file, ""), 200);
        assertThat(job.path("status").asText()).isEqualTo("failed");
        JsonNode errors = job.path("errors").path("data");
        assertThat(errors.findValuesAsText("line")).containsExactly("2", "3", "4", "5");
        assertThat(errors.findValuesAsText("code"))
                .containsExactly(
                        "invalid_json_line",
                        "duplicate_custom_id",
                        "model_not_allowed",
                        "invalid_url");
    }

    @Test
    void malformedRequestsAreRefused() throws Exception {
        json(upload("one", "assistants", BatchFixture.lines(1)), 400);
        json(send("one", "POST", "/v1/files", "", "text/plain"), 400);
        json(send("one", "POST", "/v1/batches", "{}", "application/json"), 400);
        String large = "x".repeat(100_000);
        json(send("one", "POST", "/v1/batches", large, "application/json"), 413);
        json(send("one", "PUT", "/v1/batches", "{}", "application/json"), 405);
    }

    @Test
    void cancelledJobEndsWithAnErrorFileThatOnlyItsOwnerReads() throws Exception {
        String file = json(upload("one", "batch", BatchFixture.lines(3)), 200).path("id").asText();
        String path = "/v1/batches/" + json(submit("one", file, ""), 200).path("id").asText();
        JsonNode job = json(send("one", "POST", path + "/cancel", "", ""), 200);
        assertThat(job.path("status").asText()).isIn("cancelling", "cancelled");
        while (!job.path("status").asText().equals("cancelled")) {
            Thread.sleep(20);
            job = json(get("one", path), 200);
        }
        assertThat(job.at("/request_counts/failed").asInt()).isEqualTo(3);
        assertThat(job.path("output_file_id").isNull()).isTrue();
        String errors = "/v1/files/" + job.path("error_file_id").asText();
        JsonNode errorFile = json(get("one", errors), 200);
        HttpResponse<String> content = get("one", errors + "/content");
        assertThat(content.body().length()).isEqualTo(errorFile.path("bytes").asInt());
        assertThat(content.body().lines())
                .hasSize(3)
                .allMatch(line -> line.contains("\"code\":\"item_cancelled\""));
        json(get("two", errors), 404);
        json(get("two", errors + "/content"), 404);
    }

    /**
     * Guards against a response in which the lines read before a failure are followed by an error
     * object.
     */
    @Test
    void contentReadFailureIsNotMixedIntoTheFile() throws Exception {
        String id = json(upload("one", "batch", BatchFixture.lines(600)), 200).path("id").asText();
        String path = "/v1/files/" + id + "/content";
        objects.delete("file/" + id + "/part/000001");
        assertThatThrownBy(() -> get("one", path)).isInstanceOf(IOException.class);
        objects.delete("file/" + id + "/part/000000");
        assertThat(json(get("one", path), 404).path("error").path("number").asInt())
                .isEqualTo(1004);
    }

    private HttpResponse<String> submit(String customer, String file, String key) throws Exception {
        String body =
                """
                {"input_file_id":"%s","endpoint":"/v1/chat/completions","completion_window":"24h"}
                """
                        .formatted(file);
        HttpRequest.Builder request =
                request(customer, "/v1/batches").POST(BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        return client.send(request.build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> upload(String customer, String purpose, String content)
            throws Exception {
        String form =
                """
                --%s\r
                Content-Disposition: form-data; name="purpose"\r
                \r
                %s\r
                --%s\r
                Content-Disposition: form-data; name="file"; filename="in.jsonl"\r
                Content-Type: application/octet-stream\r
                \r
                %s\r
                --%s--\r
                """
                        .formatted(BOUNDARY, purpose, BOUNDARY, content, BOUNDARY);
        return send(
                customer, "POST", "/v1/files", form, "multipart/form-data; boundary=" + BOUNDARY);
    }

    private HttpResponse<String> get(String customer, String path) throws Exception {
        return client.send(request(customer, path).GET().build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> send(
            String customer, String method, String path, String body, String type)
            throws Exception {
        HttpRequest.Builder request =
                request(customer, path).method(method, BodyPublishers.ofString(body));
        if (!type.isEmpty()) {
            request.header("Content-Type", type);
        }
        return client.send(request.build(), BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String customer, String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + server.address().getPort() + path))
                .header("Authorization", "Bearer key-" + customer);
    }

    private static JsonNode json(HttpResponse<String> response, int status) throws Exception {
        assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
        return BatchJson.MAPPER.readTree(response.body());
    }
}
