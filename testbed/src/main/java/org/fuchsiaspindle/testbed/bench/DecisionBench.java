package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.Callable;
import org.fuchsiaspindle.testbed.bench.decision.AdmissionDecision;
import org.fuchsiaspindle.testbed.bench.decision.RoutingDecision;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Measures the duration of routing and admission decisions with JMH, without forking. */
@Command(
        name = "decision",
        mixinStandardHelpOptions = true,
        description = "Measures the duration of a routing and of an admission decision.")
final class DecisionBench implements Callable<Integer> {

    private static final double ROUTING_MICROS_GOAL = 20;
    private static final double ADMISSION_MICROS_GOAL = 5;

    @Mixin private BenchOptions options = new BenchOptions();

    @Override
    public Integer call() throws IOException, RunnerException {
        int iterations = options.quick() ? 3 : 10;
        Collection<RunResult> results =
                new Runner(
                                new OptionsBuilder()
                                        .include(RoutingDecision.class.getName())
                                        .include(AdmissionDecision.class.getName())
                                        .forks(0)
                                        .warmupIterations(iterations)
                                        .warmupTime(TimeValue.seconds(1))
                                        .measurementIterations(iterations)
                                        .measurementTime(TimeValue.seconds(1))
                                        .build())
                        .run();
        Figures figures = Figures.of("decision");
        figures.row("decision", "mean us", "error us");
        for (RunResult result : results) {
            String name = result.getPrimaryResult().getLabel();
            double mean = result.getPrimaryResult().getScore();
            figures.row(name, mean, result.getPrimaryResult().getScoreError());
            figures.atMost(
                    name + "_mean_us",
                    mean,
                    name.equals("route") ? ROUTING_MICROS_GOAL : ADMISSION_MICROS_GOAL);
        }
        return options.report(figures);
    }
}
