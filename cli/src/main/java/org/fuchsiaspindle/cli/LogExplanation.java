package org.fuchsiaspindle.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Finds in the logs of gateways what became of a request, a job or an item, and why.
 *
 * <p>Besides the lines that name the identifier it selects what the deciding processes believed at
 * that time: their configuration, losses of the store or of a target that was used, and lines that
 * the log left out. Immutable.
 */
final class LogExplanation {

    /** How long before and after the lines of the identifier other lines may matter. */
    private static final Duration MARGIN = Duration.ofSeconds(3);

    /** Why a line belongs to the explanation. */
    enum Reason {
        DECISION,
        CONFIGURATION,
        STORE,
        TARGET,
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
     * @return the explanation, without steps if no line names the identifier
     */
    static LogExplanation of(List<LogLine> lines, String id) {
        checkNotNull(id, "id");
        List<LogLine> sorted = lines.stream().sorted(Comparator.comparing(LogLine::time)).toList();
        List<LogLine> decisions = sorted.stream().filter(line -> line.names(id)).toList();
        List<Step> steps = new ArrayList<>();
        decisions.forEach(line -> steps.add(new Step(Reason.DECISION, line)));
        decisions.stream()
                .map(LogLine::process)
                .distinct()
                .forEach(process -> addContext(steps, sorted, id, process));
        steps.sort(Comparator.comparing(step -> step.line().time()));
        return new LogExplanation(steps);
    }

    /** Returns the steps in the order of their times. */
    List<Step> steps() {
        return steps;
    }

    /** Returns what the last decision means for the caller. */
    Optional<String> verdict() {
        return steps.stream()
                .filter(step -> step.reason() == Reason.DECISION)
                .map(Step::line)
                .flatMap(line -> Outcomes.meaning(line).stream())
                .reduce((earlier, later) -> later);
    }

    private static void addContext(
            List<Step> steps, List<LogLine> sorted, String id, String process) {
        List<LogLine> ofProcess =
                sorted.stream().filter(line -> line.process().equals(process)).toList();
        List<LogLine> own = ofProcess.stream().filter(line -> line.names(id)).toList();
        LogLine first = own.getFirst();
        LogLine last = own.getLast();
        Set<String> targets = new HashSet<>();
        own.forEach(line -> line.field("target").ifPresent(targets::add));
        ofProcess.stream()
                .filter(line -> line.part().equals("config"))
                .filter(line -> line.message().startsWith("in force"))
                .filter(line -> !line.time().isAfter(first.time()))
                .reduce((earlier, later) -> later)
                .ifPresent(line -> steps.add(new Step(Reason.CONFIGURATION, line)));
        ofProcess.stream()
                .filter(line -> !line.names(id))
                .filter(line -> !line.time().isBefore(first.time().minus(MARGIN)))
                .filter(line -> !line.time().isAfter(last.time().plus(MARGIN)))
                .forEach(
                        line ->
                                context(line, targets)
                                        .ifPresent(reason -> steps.add(new Step(reason, line))));
    }

    private static Optional<Reason> context(LogLine line, Set<String> targets) {
        return switch (line.part()) {
            case "store" -> Optional.of(Reason.STORE);
            case "gateway", "peer" -> Optional.of(Reason.PROCESS);
            case "log" -> Optional.of(Reason.LEFT_OUT);
            case "target", "discovery" ->
                    line.field("target").filter(targets::contains).map(target -> Reason.TARGET);
            default -> Optional.empty();
        };
    }
}
