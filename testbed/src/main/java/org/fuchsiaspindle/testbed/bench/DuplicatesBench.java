package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.fuchsiaspindle.testbed.bench.AnswerChecker.Rule;
import org.fuchsiaspindle.testbed.bench.AnswerChecker.Violation;
import org.fuchsiaspindle.testbed.bench.DuplicatesLoad.ItemOutcome;
import org.fuchsiaspindle.testbed.bench.DuplicatesLoad.Outcome;
import org.fuchsiaspindle.testbed.emulator.AnswerHabit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs gateway processes on engines that answer twice, and checks what callers get. */
@Command(
        name = "duplicates",
        mixinStandardHelpOptions = true,
        description =
                "Sends requests to gateway processes whose engines answer twice, and checks the"
                        + " answers; ends with code 1 if a rule was broken.")
final class DuplicatesBench implements Callable<Integer> {

    private static final int EXIT_RULE_BROKEN = 1;
    private static final int QUICK_DIVISOR = 4;

    @Mixin private BenchOptions options = new BenchOptions();

    @Option(names = "--habit", description = "Habit of the engines (default: all in turn).")
    private AnswerHabit habit;

    @Option(
            names = "--requests",
            defaultValue = "1000",
            description = "Number of online requests per habit (default: 1000).")
    private int requests;

    @Option(
            names = "--gateways",
            defaultValue = "2",
            description = "Number of gateway processes (default: 2).")
    private int gateways;

    @Option(
            names = "--logs",
            description = "Folder for the logs of plays that broke a rule; must exist.")
    private Path logs;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Figures figures = Figures.of("duplicates");
        addHeader(figures);
        int broken = 0;
        for (AnswerHabit next : habit == null ? AnswerHabit.values() : new AnswerHabit[] {habit}) {
            int count = options.quick() ? requests / QUICK_DIVISOR : requests;
            DuplicatesPlay.Spec spec =
                    new DuplicatesPlay.Spec(next, options.seed(), count, gateways);
            DuplicatesPlay.Result result = DuplicatesPlay.play(spec);
            report(figures, next, result);
            if (!result.violations().isEmpty()) {
                writeLog(next, result);
            }
            broken += result.violations().size();
        }
        int exitCode = options.report(figures);
        return broken > 0 ? EXIT_RULE_BROKEN : exitCode;
    }

    private static void addHeader(Figures figures) {
        List<Object> cells =
                new ArrayList<>(
                        List.of("habit", "requests", "success", "refused", "items", "completed"));
        for (Rule rule : Rule.values()) {
            cells.add(rule.name().toLowerCase(Locale.ROOT));
        }
        cells.add("runs");
        cells.add("irregular");
        figures.row(cells.toArray());
    }

    private static void report(Figures figures, AnswerHabit habit, DuplicatesPlay.Result result) {
        String name = habit.name().toLowerCase(Locale.ROOT);
        long successes = result.outcomes().stream().filter(Outcome::isSuccess).count();
        long refusals = result.outcomes().stream().filter(AnswerChecker::isRefusal).count();
        long completed =
                result.items().stream().map(ItemOutcome::state).filter("completed"::equals).count();
        List<Object> cells = new ArrayList<>();
        cells.add(name);
        cells.add(result.outcomes().size());
        cells.add(successes);
        cells.add(refusals);
        cells.add(result.items().size());
        cells.add(completed);
        for (Rule rule : Rule.values()) {
            int count = result.count(rule);
            cells.add(count);
            figures.atMost(name + "_" + rule.name().toLowerCase(Locale.ROOT), count, 0);
        }
        cells.add(result.runs());
        cells.add(result.irregularAnswers());
        figures.row(cells.toArray());
        figures.figure(name + "_refused_share", (double) refusals / result.outcomes().size());
    }

    private void writeLog(AnswerHabit habit, DuplicatesPlay.Result result) throws IOException {
        if (logs == null) {
            return;
        }
        List<String> lines = new ArrayList<>();
        result.violations().stream().map(Violation::toString).forEach(lines::add);
        lines.addAll(result.log());
        String file = habit.name().toLowerCase(Locale.ROOT) + "-" + options.seed() + ".log";
        Files.write(logs.resolve(file), lines);
    }
}
