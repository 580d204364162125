package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Implements {@code explain}, which shows the decisions on a request as reported by an entry or as
 * recorded in gateway logs.
 */
@Command(
        name = "explain",
        description =
                "Shows the decisions of an entry on a recent request, or with --log those that"
                        + " gateway logs record for a request, a job or an item.")
final class ExplainCommand implements Callable<Integer> {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Mixin private AdminOptions admin = new AdminOptions();

    @Parameters(paramLabel = "ID", description = "Identifier of the request, job or item.")
    private String id;

    @Option(
            names = "--log",
            paramLabel = "FILE",
            description =
                    "Gateway log file to search instead of querying an entry; may be repeated.")
    private List<Path> logs = List.of();

    @Override
    public Integer call() {
        if (logs.isEmpty()) {
            JsonNode response =
                    admin.withClient(client -> client.get("/explain/" + Documents.pathSegment(id)));
            admin.output().write(response, () -> Output.pretty(response) + "\n");
            return ExitCodes.OK;
        }
        LogExplanation explanation = LogExplanation.of(lines(), id);
        if (explanation.steps().isEmpty()) {
            throw new CliException(
                    ExitCodes.REFUSED,
                    "no log line mentions " + id,
                    List.of("gateways log at most 100 lines per second about single requests"),
                    null);
        }
        admin.output().write(json(explanation), () -> text(explanation));
        return ExitCodes.OK;
    }

    private List<LogLine> lines() {
        List<LogLine> lines = new ArrayList<>();
        for (Path log : logs) {
            try (Stream<String> content = Files.lines(log)) {
                content.forEach(line -> LogLine.parse(line).ifPresent(lines::add));
            } catch (IOException e) {
                throw unreadable(log, e);
            } catch (UncheckedIOException e) {
                throw unreadable(log, e.getCause());
            }
        }
        return lines;
    }

    private static CliException unreadable(Path log, IOException cause) {
        String reason =
                cause instanceof MalformedInputException
                        ? "it is not UTF-8 text"
                        : cause.toString();
        return new CliException(
                ExitCodes.USAGE, "cannot read " + log + ": " + reason, List.of(), cause);
    }

    private static String text(LogExplanation explanation) {
        TextTable table = new TextTable("TIME", "PROCESS", "WHY", "LINE");
        for (LogExplanation.Step step : explanation.steps()) {
            LogLine line = step.line();
            table.add(
                    line.time().toString(),
                    line.process().isEmpty() ? "-" : line.process(),
                    reasonText(step.reason()),
                    line.part() + ": " + line.message());
        }
        return table.render() + explanation.verdict().map(verdict -> verdict + "\n").orElse("");
    }

    private static JsonNode json(LogExplanation explanation) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode steps = root.putArray("steps");
        for (LogExplanation.Step step : explanation.steps()) {
            steps.addObject()
                    .put("time", step.line().time().toString())
                    .put("process", step.line().process())
                    .put("why", reasonText(step.reason()))
                    .put("part", step.line().part())
                    .put("message", step.line().message());
        }
        root.put("verdict", explanation.verdict().orElse(""));
        return root;
    }

    private static String reasonText(LogExplanation.Reason reason) {
        return Ascii.toLowerCase(reason.name()).replace('_', ' ');
    }
}
