package org.fuchsiaspindle.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.approvaltests.Approvals;
import org.fuchsiaspindle.core.config.FleetSettings;
import org.fuchsiaspindle.core.config.ModelParser;
import org.fuchsiaspindle.core.config.ServiceParser;
import org.fuchsiaspindle.core.config.SettingsParser;
import org.fuchsiaspindle.core.contract.ContractParser;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.core.document.DocumentReader.UnknownFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Tests that commands report the correct outcome and that their output does not change
 * unintentionally.
 */
final class MainTest {

    private static final String ACCEPTED = "{\"version\":7,\"change_id\":\"c-1\"}";

    @TempDir private Path directory;
    private StubEntry entry;

    private record CommandResult(int exitCode, String out, String err) {}

    @BeforeEach
    void start() throws IOException {
        entry = new StubEntry();
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    @Test
    void help_ofEveryCommand_isAsApproved() {
        StringBuilder help = new StringBuilder();
        appendHelp(Main.commandLine(Map.of()), help);
        Approvals.verify(help.toString());
    }

    @Test
    void tables_areAsApproved() {
        entry.setResponse(
                "GET /admin/v1/status",
                200,
                """
                {"config_version":12,"ready":true,"table_reachable":false,
                 "processes":[
                  {"instance":"entry-1","role":"entry","data_centre":"dc-1","connected":false,
                   "config_version":12,"config_lag":0},
                  {"instance":"agent-10","role":"agent","data_centre":"dc-2","connected":true,
                   "config_version":null}],
                 "targets":[
                  {"instance":"agent-10","kind":"engine","name":"engine-10","data_centre":"dc-2",
                   "state":"live","load":{"online_running":3,"online_waiting":1,"batch_running":4,
                   "batch_waiting":16,"capacity":8,"models":["m-1","m-2"]}},
                  {"instance":"agent-2","kind":"service","name":"s-1","data_centre":"dc-1",
                   "state":"drained"}],
                 "jobs_at_risk":[{"id":"batch_1","customer":"acme","model":"m-1",
                 "status":"in_progress","expires_at":1767322800,
                 "at_risk":true,"request_counts":{"total":100}}]}\
                """);
        entry.setResponse(
                "GET /admin/v1/history?limit=100&kind=contract&name=acme",
                200,
                """
                {"changes":[
                 {"version":9,"kind":"contract","name":"acme","change_id":"c-9","operator":"ab12",
                  "accepted_at":"2026-01-02T03:04:05Z","document":null},
                 {"version":8,"kind":"contract","name":"acme","change_id":"c-8","operator":"ab12",
                  "accepted_at":"2026-01-02T03:00:00Z","document":{}}]}\
                """);
        entry.setResponse(
                "GET /admin/v1/diff?from=3&to=9",
                200,
                """
                {"from":3,"to":9,"differences":[
                 {"kind":"contract","name":"acme","change":"changed",
                  "before":{"weight":1,"online":{"burst":2}},
                  "after":{"weight":5,"online":{"burst":2,"concurrency":3}}},
                 {"kind":"model","name":"m-1","change":"deleted","before":{},"after":null}]}\
                """);
        entry.setResponse(
                "GET /admin/v1/jobs",
                200,
                """
                {"jobs":[{"id":"batch_1","customer":"acme","model":"m-1",
                 "status":"in_progress","expires_at":1767322800,
                 "at_risk":true,"request_counts":{"total":100}}]}\
                """);
        Approvals.verify(
                run("status").out()
                        + "\n"
                        + run("contract", "history", "acme").out()
                        + "\n"
                        + run("contract", "diff", "--from", "3", "--to", "9").out()
                        + "\n"
                        + run("job", "list").out());
    }

    @Test
    void contractApply_withKeys_sendsOnlyTheirDigests() throws IOException {
        entry.setResponse("POST /admin/v1/changes", 200, ACCEPTED);
        Path file = write("contract.json", "{\"weight\":2}");
        Path keys = write("keys", "second-key\n\n");
        CommandResult run =
                run(
                        "contract",
                        "apply",
                        "acme",
                        "--file",
                        file.toString(),
                        "--key",
                        "first-key",
                        "--key-file",
                        keys.toString(),
                        "--base-version",
                        "6");
        assertThat(run.exitCode()).isZero();
        assertThat(run.out()).isEqualTo("contract/acme: version 7 accepted\n");
        assertThat(entry.requests().getFirst())
                .contains(KeyDigest.ofKey("first-key").hex(), KeyDigest.ofKey("second-key").hex())
                .contains("\"base_version\":6")
                .doesNotContain("first-key", "second-key");
    }

    @Test
    void apply_afterLostResponses_isRetriedWithTheSameChangeId() throws IOException {
        entry.setResponse("POST /admin/v1/changes", 200, ACCEPTED);
        entry.dropNext(2);
        Path file = write("model.json", "{\"version\":\"1\"}");
        CommandResult run = run("config", "apply", "model", "m-1", "--file", file.toString());
        assertThat(run.exitCode()).isZero();
        assertThat(entry.requests().stream().distinct()).hasSize(1);
    }

    @Test
    void exitCodes_reflectOutcomes() throws IOException {
        String file = write("model.json", "{\"version\":\"1\"}").toString();
        String[] apply = {"config", "apply", "model", "m-1", "--file", file};
        entry.setResponse("POST /admin/v1/changes", 422, error(6002, "invalid_document"));
        assertThat(run(apply).exitCode()).isEqualTo(ExitCodes.REFUSED);
        entry.setResponse("POST /admin/v1/changes", 409, error(6001, "config_conflict"));
        assertThat(run(apply).exitCode()).isEqualTo(ExitCodes.CONFLICT);
        entry.setResponse("POST /admin/v1/changes?wait_ms=17000", 504, error(6004, "not_in_force"));
        CommandResult applyWithWait =
                run("config", "apply", "model", "m-1", "--file", file, "--wait");
        assertThat(applyWithWait.exitCode()).isEqualTo(ExitCodes.NOT_IN_FORCE);
        assertThat(applyWithWait.err())
                .contains("agent-1 has version 3", "agent-2 has version unknown");
        assertThat(run("config", "apply", "model", "m-1", "--file", file + "x").exitCode())
                .isEqualTo(ExitCodes.USAGE);
        assertThat(run("config", "apply", "engine", "m-1", "--file", file).exitCode())
                .isEqualTo(ExitCodes.USAGE);
        assertThat(run("contract", "get", "../status").exitCode()).isEqualTo(ExitCodes.USAGE);
        assertThat(run("status", "--url", "nonsense").exitCode()).isEqualTo(ExitCodes.USAGE);
        entry.close();
        assertThat(run("status").exitCode()).isEqualTo(ExitCodes.UNREACHABLE);
    }

    @Test
    void jobCancel_showsTheNewState_andRefusesEndedJobs() {
        entry.setResponse("POST /admin/v1/jobs/batch_1/cancel", 200, "{\"status\":\"cancelling\"}");
        entry.setResponse("POST /admin/v1/jobs/batch_2/cancel", 409, error(5002, "job_finished"));
        assertThat(run("job", "cancel", "batch_1").out()).isEqualTo("job batch_1: cancelling\n");
        assertThat(run("job", "cancel", "batch_2").exitCode()).isEqualTo(ExitCodes.REFUSED);
        assertThat(run("job", "show", "batch_3").exitCode()).isEqualTo(ExitCodes.REFUSED);
    }

    @Test
    void options_defaultToEnvironmentVariables() {
        entry.setResponse("GET /admin/v1/targets", 200, "{\"targets\":[]}");
        StringWriter out = new StringWriter();
        CommandLine line =
                Main.commandLine(
                        Map.of(
                                "FUCHSIASPINDLE_URL",
                                entry.url(),
                                "FUCHSIASPINDLE_OPERATOR_KEY",
                                "key",
                                "FUCHSIASPINDLE_OUTPUT",
                                "json"));
        assertThat(line.setOut(new PrintWriter(out)).execute("target", "list")).isZero();
        assertThat(out.toString()).contains("\"targets\"");
    }

    @Test
    void completionScript_containsCommandsAndOptions() {
        assertThat(run("completion").out()).contains("complete -F", "undrain", "--operator-key");
    }

    @Test
    void documentation_listsEveryCommandAndExitCode() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "cli.md"));
        CommandLine line = Main.commandLine(Map.of());
        line.getSubcommands()
                .forEach(
                        (name, command) -> {
                            assertThat(page).contains("`" + name);
                            for (String subcommand : command.getSubcommands().keySet()) {
                                assertThat(page).contains(subcommand);
                            }
                        });
        line.getCommandSpec()
                .usageMessage()
                .exitCodeList()
                .keySet()
                .forEach(code -> assertThat(page).contains("| " + code + " |"));
    }

    @Test
    void documentation_showsValidDocuments() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "cli.md"));
        List<String> examples =
                Pattern.compile("```json\\n(.*?)```", Pattern.DOTALL)
                        .matcher(page)
                        .results()
                        .map(match -> match.group(1))
                        .toList();
        ContractParser.parse("acme", examples.get(0), UnknownFields.REFUSE);
        ModelParser.parse("m-1", examples.get(1), UnknownFields.REFUSE);
        ServiceParser.parse("s-1", examples.get(2), UnknownFields.REFUSE);
        assertThat(SettingsParser.parse("fleet", examples.get(3), UnknownFields.REFUSE))
                .isEqualTo(FleetSettings.DEFAULT);
    }

    private static String error(int number, String code) {
        return """
        {"error":{"message":"refused","code":"%s","number":%d},
         "lagging":[{"instance":"agent-1","config_version":3},
                    {"instance":"agent-2","config_version":null}]}\
        """
                .formatted(code, number);
    }

    private Path write(String name, String content) throws IOException {
        return Files.writeString(directory.resolve(name), content);
    }

    /** Log files must be searchable while no entry is running. */
    @Test
    void explain_withSavedLogs_needsNoEntry() throws IOException {
        Path log = directory.resolve("front.log");
        Files.writeString(
                log,
                "2026-04-20T10:58:43.500Z INFO  online: request=aa11 route=r-1 service=s target=-"
                        + " outcome=refused reason=OVERLOADED attempts=0 elapsed=2ms\n");
        entry.close();
        CommandResult result = run("explain", "aa11", "--log", log.toString());
        assertThat(result.exitCode()).isEqualTo(ExitCodes.OK);
        assertThat(result.out()).contains("decision", "reason=OVERLOADED", "it did not run");
        // The identifier after the option must not be parsed as another value of the option.
        assertThat(run("explain", "--log", log.toString(), "aa11").out()).isEqualTo(result.out());
        assertThat(run("explain", "bb22", "--log", log.toString()).exitCode())
                .isEqualTo(ExitCodes.REFUSED);
        assertThat(run("explain", "aa11", "--log", directory.resolve("none").toString()).exitCode())
                .isEqualTo(ExitCodes.USAGE);
    }

    private CommandResult run(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        List<String> all = new ArrayList<>(List.of(arguments));
        Map<String, String> environment =
                Map.of("FUCHSIASPINDLE_URL", entry.url(), "FUCHSIASPINDLE_OPERATOR_KEY", "key");
        int exitCode =
                Main.commandLine(environment)
                        .setOut(new PrintWriter(out))
                        .setErr(new PrintWriter(err))
                        .execute(all.toArray(String[]::new));
        return new CommandResult(exitCode, out.toString(), err.toString());
    }

    private static void appendHelp(CommandLine line, StringBuilder help) {
        help.append(line.getUsageMessage(CommandLine.Help.Ansi.OFF)).append('\n');
        line.getSubcommands().values().forEach(subcommand -> appendHelp(subcommand, help));
    }
}
