package org.fuchsiaspindle.testbed.load;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.platform.http.HttpResponse;
import org.fuchsiaspindle.testbed.engine.EngineOutput;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import org.fuchsiaspindle.testbed.fleet.StandIns;
import org.fuchsiaspindle.testbed.ledger.EngineRun;
import org.fuchsiaspindle.testbed.ledger.ServiceLedger.ServiceCall;

/**
 * An online call with a unique marker, by which its runs can be found in the ledgers.
 *
 * @param kind the kind of call
 * @param id unique among the calls of a fleet
 * @param target name of the model or service
 * @param tokens number of output tokens of a completion
 */
public record MarkedCall(CallKind kind, String id, String target, int tokens) {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SUCCESS_CLASS = 2;
    private static final int STATUS_CLASS_SIZE = 100;

    /**
     * Result of a call as observed by its caller.
     *
     * @param outcome the outcome
     * @param detail the text of the response or error
     */
    public record Result(CallOutcome outcome, String detail) {}

    /**
     * Sends the call and waits for its result. Every kind except {@link CallKind#UNKEYED_CALL} may
     * be sent more than once.
     */
    public Result send(FleetCaller caller) {
        try {
            return switch (kind) {
                case STREAMED_COMPLETION -> streamCompletion(caller);
                case REPEATABLE_CALL -> parse(caller.get(path("/status/" + id)));
                case KEYED_CALL ->
                        parse(
                                caller.post(
                                        path("/orders"),
                                        order(),
                                        ImmutableListMultimap.of("Idempotency-Key", id)));
                case UNKEYED_CALL -> parse(caller.post(path("/orders"), order()));
            };
        } catch (IOException e) {
            return new Result(CallOutcome.CLOSED, String.valueOf(e.getMessage()));
        }
    }

    /**
     * Returns the number of runs of the call at its targets, without runs that an engine rejected.
     */
    public int runs(StandIns standIns) {
        return kind == CallKind.STREAMED_COMPLETION
                ? engineRuns(standIns).size()
                : serviceCalls(standIns).size();
    }

    /** Returns the runs of the call at engines, without those that an engine rejected. */
    public List<EngineRun> engineRuns(StandIns standIns) {
        return standIns.engineLedger().runsWithPrompt(marker()).stream()
                .filter(run -> run.state() != EngineRun.State.REJECTED)
                .toList();
    }

    /**
     * Compares the result of the call with the ledgers; returns a description of the contradiction,
     * or empty if they agree.
     */
    public Optional<String> contradiction(Result result, StandIns standIns) {
        int runs = runs(standIns);
        boolean wrong =
                switch (result.outcome()) {
                    case WRONG -> true;
                    case NOT_EXECUTED -> runs > 0;
                    case WHOLE -> runs == 0 || !matchesLedger(result, standIns);
                    case EXECUTED -> runs == 0;
                    case UNKNOWN, CLOSED -> false;
                };
        return wrong || kind.isAtMostOnce() && runs > 1
                ? Optional.of(
                        this + " ran " + runs + " times, result observed by the caller: " + result)
                : Optional.empty();
    }

    private boolean matchesLedger(Result result, StandIns standIns) {
        return !kind.isAtMostOnce()
                || serviceCalls(standIns).stream()
                        .anyMatch(
                                call ->
                                        result.detail()
                                                .contains("\"order\":" + call.number() + ","));
    }

    private List<ServiceCall> serviceCalls(StandIns standIns) {
        return kind == CallKind.REPEATABLE_CALL
                ? standIns.serviceLedger().calls().stream()
                        .filter(call -> call.path().equals("/status/" + id))
                        .toList()
                : standIns.serviceLedger().callsWithBody(marker());
    }

    private Result streamCompletion(FleetCaller caller) throws IOException {
        ObjectNode body = FleetCaller.chat(target, marker() + " [[tokens=" + tokens + "]]", tokens);
        FleetCaller.Streamed streamed = caller.stream("/v1/chat/completions", body);
        String expected = EngineOutput.expectedText(body);
        if (streamed.complete() && streamed.error().isMissingNode()) {
            return new Result(
                    streamed.text().equals(expected) ? CallOutcome.WHOLE : CallOutcome.WRONG,
                    streamed.text());
        }
        if (!expected.startsWith(streamed.text())) {
            return new Result(CallOutcome.WRONG, streamed.text());
        }
        return streamed.error().isMissingNode()
                ? new Result(CallOutcome.CLOSED, "the stream ended early")
                : parseError(streamed.error());
    }

    private Result parse(HttpResponse response) throws IOException {
        String text = new String(response.body(), UTF_8);
        if (response.status() / STATUS_CLASS_SIZE != SUCCESS_CLASS) {
            return parseError(JSON.readTree(response.body()).path("error"));
        }
        JsonNode body = JSON.readTree(response.body());
        boolean expected =
                kind == CallKind.REPEATABLE_CALL
                        ? body.path("id").asText().equals(id)
                        : body.path("request").asText().equals(order().toString());
        return new Result(expected ? CallOutcome.WHOLE : CallOutcome.WRONG, text);
    }

    private static Result parseError(JsonNode error) {
        CallOutcome outcome =
                switch (error.path("executed").asText()) {
                    case "no" -> CallOutcome.NOT_EXECUTED;
                    case "yes" -> CallOutcome.EXECUTED;
                    case "unknown" -> CallOutcome.UNKNOWN;
                    default -> CallOutcome.WRONG;
                };
        return new Result(outcome, error.toString());
    }

    private ObjectNode order() {
        return JSON.createObjectNode().put("article", marker());
    }

    private String path(String servicePath) {
        return "/services/" + target + servicePath;
    }

    /** Returns the marker; the brackets ensure that no marker is a substring of another one. */
    private String marker() {
        return "<" + id + ">";
    }
}
