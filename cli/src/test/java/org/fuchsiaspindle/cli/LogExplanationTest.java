package org.fuchsiaspindle.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.cli.LogExplanation.Reason;
import org.junit.jupiter.api.Test;

/** Tests that explanations include the cause of an outcome and no unrelated lines. */
final class LogExplanationTest {

    private static final String LOG =
            """
            2026-04-20T10:58:20.000Z INFO  config: in force version=3 source=store routes=40
            2026-04-20T10:58:41.100Z INFO  config: in force version=7 source=peer routes=41
            2026-04-20T10:58:42.000Z WARN  store: lost reason=no answer in time
            2026-04-20T10:58:42.900Z INFO  target: silent target=i-1 calls=3
            2026-04-20T10:58:42.950Z INFO  target: silent target=i-9 calls=1
            2026-04-20T10:58:43.000Z INFO  online: request=aa11 route=r-1 service=s target=i-1 \
            outcome=resent reason=silent attempts=1 elapsed=800ms
            2026-04-20T10:58:43.100Z INFO  online: request=aa112 route=r-1 service=s target=i-2 \
            outcome=answered reason=200 attempts=0 elapsed=70ms
            2026-04-20T10:58:43.500Z INFO  online: request=aa11 route=r-1 service=s target=i-2 \
            outcome=refused reason=OVERLOADED attempts=1 elapsed=1300ms
            2026-04-20T10:58:50.000Z INFO  store: regained after=8000ms
            not a gateway log line
            """;

    @Test
    void explanation_includesStateOfTheDecidingProcess() {
        LogExplanation explanation = explain(LOG, "aa11");
        assertThat(explanation.steps())
                .extracting(LogExplanation.Step::reason)
                .containsExactly(
                        Reason.CONFIGURATION,
                        Reason.STORE,
                        Reason.TARGET,
                        Reason.DECISION,
                        Reason.DECISION);
        assertThat(explanation.steps().getFirst().line().field("version")).contains("7");
        assertThat(explanation.steps().get(2).line().field("target")).contains("i-1");
        assertThat(explanation.verdict().orElseThrow())
                .contains("did not run")
                .contains("ahead of it");
    }

    /** An identifier must not match another one of which it is a prefix. */
    @Test
    void linesOfOtherRequests_areExcluded() {
        assertThat(explain(LOG, "aa112").steps())
                .filteredOn(step -> step.reason() == Reason.DECISION)
                .hasSize(1);
        assertThat(explain(LOG, "aa").steps()).isEmpty();
    }

    /** The state of one process does not explain the decisions of another one. */
    @Test
    void stateOfOtherProcesses_isExcluded() {
        String log =
                """
                 12.1000 front-a-1 2026-04-20T10:58:40.000Z INFO  config: in force version=3 \
                source=store
                 12.1500 front-b-1 2026-04-20T10:58:40.050Z INFO  config: in force version=4 \
                source=store
                 13.0000 front-a-1 2026-04-20T10:58:41.000Z INFO  batch: job=j1 item=- \
                outcome=accepted reason=new items=3
                 14.0000 front-b-1 2026-04-20T10:58:42.000Z WARN  store: lost reason=reset
                """;
        LogExplanation explanation = explain(log, "j1");
        assertThat(explanation.steps())
                .extracting(step -> step.line().process())
                .containsOnly("front-a-1");
        assertThat(explanation.steps()).hasSize(2);
    }

    /** Guards against a refusal for a prompt whose cause lies long before. */
    @Test
    void refusalForAPrompt_isExplainedByTheQuarantinesOfItsService() {
        String log =
                """
                2026-04-20T10:57:00.000Z WARN  prompt: quarantined service=s part=57dc source=self \
                time=120s
                2026-04-20T10:57:10.000Z WARN  prompt: quarantined service=other part=11aa \
                source=peer time=120s
                2026-04-20T10:58:43.000Z INFO  online: request=bb22 route=r-1 service=s target=- \
                outcome=refused reason=PROMPT_QUARANTINED attempts=0 elapsed=0ms
                """;
        LogExplanation explanation = explain(log, "bb22");
        assertThat(explanation.steps())
                .extracting(LogExplanation.Step::reason)
                .containsExactly(Reason.PROMPT, Reason.DECISION);
        assertThat(explanation.steps().getFirst().line().field("part")).contains("57dc");
        assertThat(explanation.verdict().orElseThrow()).contains("part of its prompt");
    }

    /** Guards against a success whose explanation hides that other answers came before it. */
    @Test
    void irregularAnswers_areShownForTheRequestsThatTheyName() {
        String log =
                """
                2026-04-20T10:58:43.000Z INFO  target: answer passed over target=i-1 request=cc33 \
                answer_request=none status=500 exchanges=2 after=40ms
                2026-04-20T10:58:43.100Z INFO  target: answer accepted after others target=i-1 \
                request=cc33 status=200 passed_over=1 exchanges=2 after=140ms
                2026-04-20T10:58:43.100Z INFO  online: request=cc33 route=r-1 service=s target=i-1 \
                outcome=answered reason=200 attempts=0 elapsed=141ms
                2026-04-20T10:58:43.200Z INFO  target: answer passed over target=i-1 request=dd44 \
                answer_request=cc33 status=200 exchanges=3 after=2ms
                2026-04-20T10:58:43.300Z INFO  target: answer passed over target=i-1 request=dd44 \
                answer_request=ee55 status=200 exchanges=3 after=102ms
                2026-04-20T10:58:43.400Z INFO  target: request repeated on its connection \
                target=i-1 request=cc33 exchanges=4
                2026-04-20T10:58:43.500Z INFO  target: bytes after a complete answer target=i-1 \
                request=cc33 exchanges=4
                """;
        LogExplanation explanation = explain(log, "cc33");
        assertThat(explanation.steps())
                .extracting(LogExplanation.Step::reason)
                .hasSize(6)
                .containsOnly(Reason.DECISION);
        assertThat(explanation.steps()).noneMatch(step -> step.line().message().contains("ee55"));
        assertThat(explanation.verdict().orElseThrow()).contains("status 200");
    }

    @Test
    void lineWithoutProcess_isParsed() {
        Optional<LogLine> line =
                LogLine.parse(
                        "2026-04-20T10:58:41.100Z INFO  peer: lost ip=10.1.0.3 reason=silent");
        assertThat(line).isPresent();
        assertThat(line.get().process()).isEmpty();
        assertThat(line.get().field("ip")).contains("10.1.0.3");
        assertThat(line.get().field("p")).isEmpty();
    }

    private static LogExplanation explain(String log, String id) {
        List<LogLine> lines = log.lines().map(LogLine::parse).flatMap(Optional::stream).toList();
        return LogExplanation.of(lines, id);
    }
}
