package org.fuchsiaspindle.testbed.bench;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line that runs an experiment and compares its figures with their goals. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Runs an experiment and compares its figures with their goals.",
        subcommands = {
            MixedBench.class,
            BurstBench.class,
            BatchBench.class,
            FaultsBench.class,
            OverheadBench.class,
            FootprintBench.class,
            SlopesBench.class,
            DecisionBench.class,
            PlatformBench.class,
            DuplicatesBench.class,
            GrowthBench.class,
            StartupBench.class,
            StartupTraining.class
        })
public final class Bench {

    private Bench() {}

    /** Runs the experiment named in the arguments and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Bench()).execute(args));
    }
}
