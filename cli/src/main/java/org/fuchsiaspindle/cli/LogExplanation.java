package org.fuchsiaspindle.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Extracts from gateway logs the lines that explain the outcome of a request, a job or an item.
 *
 * <p>Besides the lines that mention the identifier, it selects those that show the state of the
 * processes that made the decisions: the configuration in force, failures of the store or of a
 * target that was used, quarantines of prompts if one was the reason, and notices of omitted log
 * lines. Immutable.
 */
final class LogExplanation {

    /**
     * Time before and after the lines with the identifier from which context lines are selected.
     */
    private static final Duration CONTEXT_MARGIN = Duration.ofSeconds(3);

    private static final String PROMPT_QUARANTINED = "PROMPT_QUARANTINED";

    /** Why a line is part of the explanation. */
    enum Reason {
        DECISION,
        CONFIGURATION,
        STORE,
        TARGET,
        PROMPT,
        PROCESS,
        LEFT_OUT
    }

    /**
     * A selected line.
     *
     * @param reason why it was selected
     * @param line the line
     */
    record Step(Reason reason, LogLine line) {}

    private final List<Step> steps;

    private LogExplanation(List<Step> steps) {
        this.steps = List.copyOf(steps);
    }

    /**
     * Selects the lines that explain an identifier.
     *
     * @param lines the lines of all logs, in any order
     * @param id the identifier of a request, a job or an item
     * @return the explanation, without steps if no line mentions the identifier
     */
    static LogExplanation of(List<LogLine> lines, String id) {
        checkNotNull(id, "id");
        List<LogLine> sorted = lines.stream().sorted(Comparator.comparing(LogLine::time)).toList();
        List<LogLine> decisions = sorted.stream().filter(line -> line.mentions(id)).toList();
        List<Step> steps = new ArrayList<>();
        decisions.forEach(line -> steps.add(new Step(Reason.DECISION, line)));
        decisions.stream()
                .map(LogLine::process)
                .distinct()
                .forEach(process -> addContext(steps, sorted, decisions, process));
        steps.sort(Comparator.comparing(step -> step.line().time()));
        return new LogExplanation(steps);
    }

    /** Returns the selected lines in chronological order. */
    List<Step> steps() {
        return steps;
    }

    /** Returns what the last decision means for the caller, empty if no outcome was logged. */
    Optional<String> verdict() {
        return steps.stream()
                .filter(step -> step.reason() == Reason.DECISION)
                .map(Step::line)
                .flatMap(line -> OutcomeDescriptions.describe(line).stream())
                .reduce((earlier, later) -> later);
    }

    private static void addContext(
            List<Step> steps, List<LogLine> sorted, List<LogLine> decisions, String process) {
        List<LogLine> processDecisions = ofProcess(decisions, process).toList();
        LogLine first = processDecisions.getFirst();
        LogLine last = processDecisions.getLast();
        Set<String> targets = new HashSet<>();
        processDecisions.forEach(line -> line.field("target").ifPresent(targets::add));
        ofProcess(sorted, process)
                .filter(line -> line.part().equals("config"))
                .filter(line -> line.message().startsWith("in force"))
                .filter(line -> !line.time().isAfter(first.time()))
                .reduce((earlier, later) -> later)
                .ifPresent(line -> steps.add(new Step(Reason.CONFIGURATION, line)));
        addQuarantines(steps, sorted, processDecisions, process);
        ofProcess(sorted, process)
                .filter(line -> !decisions.contains(line))
                .filter(line -> !line.time().isBefore(first.time().minus(CONTEXT_MARGIN)))
                .filter(line -> !line.time().isAfter(last.time().plus(CONTEXT_MARGIN)))
                .forEach(
                        line ->
                                contextReason(line, targets)
                                        .ifPresent(reason -> steps.add(new Step(reason, line))));
    }

    /** Adds the quarantines of prompts that the process knew when it refused a request for one. */
    private static void addQuarantines(
            List<Step> steps, List<LogLine> sorted, List<LogLine> decisions, String process) {
        for (LogLine decision : decisions) {
            if (decision.field("reason").equals(Optional.of(PROMPT_QUARANTINED))) {
                ofProcess(sorted, process)
                        .filter(line -> line.part().equals("prompt"))
                        .filter(line -> line.field("service").equals(decision.field("service")))
                        .filter(line -> !line.time().isAfter(decision.time()))
                        .forEach(line -> steps.add(new Step(Reason.PROMPT, line)));
            }
        }
    }

    private static Optional<Reason> contextReason(LogLine line, Set<String> targets) {
        return switch (line.part()) {
            case "store" -> Optional.of(Reason.STORE);
            case "gateway", "peer" -> Optional.of(Reason.PROCESS);
            case "log" -> Optional.of(Reason.LEFT_OUT);
            case "target", "discovery" ->
                    line.field("target")
                            .filter(targets::contains)
                            .filter(target -> line.field("request").isEmpty())
                            .map(target -> Reason.TARGET);
            default -> Optional.empty();
        };
    }

    private static Stream<LogLine> ofProcess(List<LogLine> lines, String process) {
        return lines.stream().filter(line -> line.process().equals(process));
    }
}
